"""Requests that enter the pipeline and responses that leave it."""

from collections.abc import AsyncGenerator
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A caller's request as the HTTP layer received it.

    Attributes:
        request_id: Unique id, set by the caller or generated.
        method: HTTP method.
        path: Path without the query.
        query: Query string without the question mark.
        authorization: The `Authorization` header, or an empty string.
        content_type: The `Content-Type` header, or an empty string.
        idempotency_key: The `Idempotency-Key` header, if present.
        deadline_ms: The deadline header, if present, as sent.
        urgency: The urgency header, if present, as sent.
        unsafe: Whether the caller marked the request as unsafe to repeat.
        body: The complete body.
    """

    request_id: str
    method: str
    path: str
    query: str
    authorization: str
    content_type: str
    idempotency_key: str | None
    deadline_ms: str | None
    urgency: str | None
    unsafe: bool
    body: bytes


@dataclass(frozen=True, slots=True)
class CompleteResponse:
    """A response whose body has been received completely.

    Attributes:
        status: HTTP status.
        content_type: Content type of the body.
        body: The body.
        replayed: Whether it is the recorded response of an earlier attempt.
    """

    status: int
    content_type: str
    body: bytes
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class StreamedResponse:
    """A response that is relayed as it arrives; `chunks` raises if it can't be completed."""

    status: int
    content_type: str
    chunks: AsyncGenerator[bytes, None]


PipelineResponse = CompleteResponse | StreamedResponse
