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
from crowsill.clock import monotonic_s, wall_s
from crowsill.constants import HEADER_IDEMPOTENCY_KEY, HEADER_REQUEST_ID
from crowsill.errors import Outcome
from crowsill.model.configuration import Urgency
from crowsill.model.fleet import ReplicaDescription
from crowsill.model.request import ClassifiedRequest
from crowsill.routing.retry_after import REJECTION_STATUSES, parse_longest_delay_s
from crowsill.transport.leader_client import parse_address

CONNECT_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 1.0
MIN_CONFIRMATION_S = 0.01
NO_CONTENT_STATUSES = (204, 304)
MIN_SERVER_ERROR_STATUS = 500
_REASONS = {reason.value: reason for reason in FailureReason}


class HttpBackendResponse:
    """A response on an open HTTP connection."""

    def __init__(self, response: aiohttp.ClientResponse, expects_end_marker: bool) -> None:
        self._response = response
        self._address = f"{response.url.host}:{response.url.port}"
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
            await self._finish()
        elif self._expects_end_marker:
            is_long_enough = len(chunk) >= len(STREAM_END)
            self._tail = chunk if is_long_enough else self._tail[-len(STREAM_END) :] + chunk
        return chunk

    async def _finish(self) -> None:
        if self._expects_end_marker:
            if not self._tail.endswith(STREAM_END):
                raise TruncatedResponseError("the stream ended without its end marker")
        elif _is_framed_by_close(self._response) and not await _is_running(self._address):
            raise TruncatedResponseError(
                f"the connection closed, and {self._address} accepts no other one"
            )
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


def _is_framed_by_close(response: aiohttp.ClientResponse) -> bool:
    """Whether the body ends with the connection, as it also does if the back end crashes."""
    if response.status in NO_CONTENT_STATUSES:
        return False
    headers = response.headers
    return "Content-Length" not in headers and "Transfer-Encoding" not in headers


async def _is_running(address: str) -> bool:
    """Whether a back end that has closed a connection accepts another one and keeps it open."""
    started_s = monotonic_s()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            target = parse_address(address)
            reader, writer = await asyncio.open_connection(target.host, target.port)
    except (OSError, TimeoutError):
        return False
    try:
        # A connection that was opened while the back end crashed is reset within a round trip.
        async with asyncio.timeout(max(MIN_CONFIRMATION_S, monotonic_s() - started_s)):
            return bool(await reader.read(1))
    except TimeoutError:
        return True
    except OSError:
        return False
    finally:
        writer.close()


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
    expects_end_marker = content_type.startswith(CONTENT_TYPE_STREAM)
    return Success(HttpBackendResponse(response, expects_end_marker))
