"""Sends callers' requests to engines and services over HTTP, with aiohttp.

This module never sends a request twice: redirects are disabled, and each request that must not be
repeated uses a new connection, because aiohttp resends idempotent methods when a kept-alive
connection turns out to be closed.
"""

import asyncio

import aiohttp
from returns.result import Failure, Result, Success

from crowsill.backends.interface import (
    BackendResponse,
    CallFailure,
    FailureReason,
    TruncatedResponseError,
)
from crowsill.backends.wire import (
    CONTENT_TYPE_STREAM,
    HEADER_NOT_RUN,
    HEADER_PREFIX_HASH,
    HEADER_PRIORITY,
    PATH_STREAMS,
    PRIORITY_PATIENT,
    PRIORITY_URGENT,
    STREAM_END,
)
from crowsill.clock import wall_s
from crowsill.constants import HEADER_IDEMPOTENCY_KEY, HEADER_REQUEST_ID
from crowsill.errors import Outcome
from crowsill.model.configuration import Urgency
from crowsill.model.fleet import ReplicaDescription
from crowsill.model.request import ClassifiedRequest
from crowsill.routing.retry_after import REJECTION_STATUSES, parse_longest_delay_s

CONNECT_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 1.0
MIN_SERVER_ERROR_STATUS = 500
_REASONS = {reason.value: reason for reason in FailureReason}


class HttpBackendResponse:
    """A response on an open HTTP connection."""

    def __init__(self, response: aiohttp.ClientResponse, expects_end_marker: bool) -> None:
        self._response = response
        self._content = response.content
        self._expects_end_marker = expects_end_marker
        self._tail = b""

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._response.status

    @property
    def content_type(self) -> str:
        """Content type of the body."""
        return self._response.headers.get("Content-Type", "application/octet-stream")

    async def read(self) -> bytes:
        """Return the next part; a body that lacks bytes or its end marker is truncated."""
        try:
            chunk: bytes = await self._content.readany()
        except (aiohttp.ClientError, OSError) as error:
            raise TruncatedResponseError(str(error)) from error
        if not chunk:
            self._finish()
        elif self._expects_end_marker:
            is_long_enough = len(chunk) >= len(STREAM_END)
            self._tail = chunk if is_long_enough else self._tail[-len(STREAM_END) :] + chunk
        return chunk

    def _finish(self) -> None:
        if self._expects_end_marker and not self._tail.endswith(STREAM_END):
            raise TruncatedResponseError("the stream ended without its end marker")
        self._response.release()

    def close(self) -> None:
        """Close the connection, unless the body was read to its end."""
        self._response.close()


class HttpCalls:
    """Implements `CallPort`."""

    def __init__(self) -> None:
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        options = {"timeout": timeout, "auto_decompress": False}
        jar = aiohttp.DummyCookieJar()
        pooled = aiohttp.TCPConnector(limit=0, keepalive_timeout=30)
        unpooled = aiohttp.TCPConnector(limit=0, force_close=True)
        self._pooled = aiohttp.ClientSession(connector=pooled, cookie_jar=jar, **options)  # type: ignore[arg-type]
        self._unpooled = aiohttp.ClientSession(connector=unpooled, cookie_jar=jar, **options)  # type: ignore[arg-type]

    async def send(
        self, replica: ReplicaDescription, request: ClassifiedRequest, timeout_s: float
    ) -> Result[BackendResponse, CallFailure]:
        """Send a request once and wait for the head of the response."""
        session = self._unpooled if request.unsafe else self._pooled
        urgent = request.urgency is Urgency.URGENT
        headers = {
            HEADER_REQUEST_ID: request.request_id,
            HEADER_PRIORITY: PRIORITY_URGENT if urgent else PRIORITY_PATIENT,
        }
        if request.content_type:
            headers["Content-Type"] = request.content_type
        if request.prefix_hash:
            headers[HEADER_PREFIX_HASH] = str(request.prefix_hash)
        if request.idempotency_key is not None:
            headers[HEADER_IDEMPOTENCY_KEY] = request.idempotency_key
        url = f"http://{replica.address}{request.path}"
        pending = session.request(
            request.method, url, data=request.body or None, headers=headers, allow_redirects=False
        )
        return await self._receive_head(pending, request.request_id, request.unsafe, timeout_s)

    async def _receive_head(
        self,
        pending: "aiohttp.client._RequestContextManager",
        request_id: str,
        unsafe: bool,
        timeout_s: float,
    ) -> Result[BackendResponse, CallFailure]:
        try:
            async with asyncio.timeout(timeout_s):
                response = await pending
        except aiohttp.ClientConnectorError as error:
            return Failure(CallFailure(Outcome.NOT_RUN, FailureReason.UNREACHABLE, str(error)))
        except TimeoutError as error:
            # aiohttp raises its own subclass on a connect timeout; then nothing was sent.
            connecting = isinstance(error, aiohttp.ConnectionTimeoutError)
            outcome = Outcome.NOT_RUN if connecting else Outcome.UNKNOWN
            return Failure(CallFailure(outcome, FailureReason.TIMED_OUT))
        except (aiohttp.ClientError, OSError) as error:
            return Failure(CallFailure(Outcome.UNKNOWN, FailureReason.CONNECTION_LOST, repr(error)))
        return _check_head(response, request_id, unsafe)

    async def resume(
        self, replica: ReplicaDescription, request_id: str, offset: int, timeout_s: float
    ) -> Result[BackendResponse, CallFailure]:
        """Continue a stream at a byte offset."""
        url = f"http://{replica.address}{PATH_STREAMS}/{request_id}?offset={offset}"
        pending = self._unpooled.get(url, headers={HEADER_REQUEST_ID: request_id})
        return await self._receive_head(pending, request_id, False, timeout_s)

    async def cancel(self, replica: ReplicaDescription, request_id: str) -> None:
        """Cancel a stream at an engine; best effort, since a lost cancellation is harmless."""
        url = f"http://{replica.address}{PATH_STREAMS}/{request_id}"
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_S), self._pooled.delete(url):
                return
        except (aiohttp.ClientError, OSError, TimeoutError):
            return

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled.close()
        await self._unpooled.close()


def _backoff_s(response: aiohttp.ClientResponse) -> float:
    """Return the backoff in seconds that a back end requests with a rejection; 0 if none."""
    if response.status not in REJECTION_STATUSES:
        return 0.0
    backoff_s, _ = parse_longest_delay_s(response.headers.getall("Retry-After", []), wall_s())
    return backoff_s


def _check_head(
    response: aiohttp.ClientResponse, request_id: str, unsafe: bool
) -> Result[BackendResponse, CallFailure]:
    rejection = response.headers.get(HEADER_NOT_RUN)
    backoff_s = _backoff_s(response)
    if rejection is not None:
        response.close()
        reason = _REASONS.get(rejection, FailureReason.FULL)
        return Failure(CallFailure(Outcome.NOT_RUN, reason, backoff_s=backoff_s))
    response_id = response.headers.get(HEADER_REQUEST_ID)
    if response_id != request_id:
        response.close()
        detail = f"response to another request: {response_id!r}"
        return Failure(CallFailure(Outcome.UNKNOWN, FailureReason.MISMATCHED, detail))
    if response.status >= MIN_SERVER_ERROR_STATUS and not unsafe:
        response.close()
        detail = f"status {response.status}"
        return Failure(CallFailure(Outcome.UNKNOWN, FailureReason.FAILED, detail, backoff_s))
    content_type = response.headers.get("Content-Type", "")
    return Success(HttpBackendResponse(response, content_type.startswith(CONTENT_TYPE_STREAM)))
