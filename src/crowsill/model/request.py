"""A caller's request after classification."""

from dataclasses import dataclass
from enum import StrEnum

from crowsill.model.configuration import Urgency


class RequestTarget(StrEnum):
    """Kind of back end that a request is sent to."""

    MODEL = "model"
    SERVICE = "service"


@dataclass(slots=True)
class ClassifiedRequest:
    """A request with everything that routing needs.

    Attributes:
        request_id: Unique id, set by the caller or generated.
        tenant: Authenticated tenant.
        target: Model or service.
        resource: `model`, `model:adapter` or the service's name.
        pool: Pool of replicas that may serve the request.
        method: HTTP method of the request to the back end.
        path: Path and query of the request to the back end.
        content_type: Content type of the body.
        body: The complete body.
        urgency: Queue in which the request waits.
        target_ms: Target for the time to the first byte.
        deadline_at_s: Monotonic time after which the request is abandoned.
        arrived_at_s: Monotonic time of its arrival.
        unsafe: Whether the request must run at most once.
        idempotency_key: The caller's idempotency key; always set if `unsafe` is true.
        streamed: Whether the response is a stream of server-sent events.
        prefix_hash: Hash of the start of the prompt, for prefix affinity; 0 for none.
    """

    request_id: str
    tenant: str
    target: RequestTarget
    resource: str
    pool: str
    method: str
    path: str
    content_type: str
    body: bytes
    urgency: Urgency
    target_ms: int
    deadline_at_s: float
    arrived_at_s: float
    unsafe: bool = False
    idempotency_key: str | None = None
    streamed: bool = False
    prefix_hash: int = 0
