"""Callers' requests to engines and services over HTTP, by aiohttp.

Nothing here is ever sent twice on its own: redirects are off, and calls that may not be repeated
use a new connection each, because aiohttp resends idempotent methods on a stale kept-alive one.
"""

import asyncio

import aiohttp
from returns.result import Failure, Result, Success

from crowsill.backends.interface import (
    BackendAnswer,
    CallFailure,
    RefusalReason,
    TruncatedAnswerError,
)
from crowsill.backends.wire import (
    CONTENT_TYPE_STREAM,
    HEADER_PREFIX,
    HEADER_PRIORITY,
    HEADER_REFUSAL,
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
FIRST_SERVER_ERROR = 500
_REFUSALS = {reason.value: reason for reason in RefusalReason}


class HttpBackendAnswer:
    """An answer on an open HTTP connection."""

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
        """Return the next part; a body without its length or end marker is truncated."""
        try:
            chunk: bytes = await self._content.readany()
        except (aiohttp.ClientError, OSError) as error:
            raise TruncatedAnswerError(str(error)) from error
        if not chunk:
            self._finish()
        elif self._expects_end_marker:
            long_enough = len(chunk) >= len(STREAM_END)
            self._tail = chunk if long_enough else self._tail[-len(STREAM_END) :] + chunk
        return chunk

    def _finish(self) -> None:
        if self._expects_end_marker and not self._tail.endswith(STREAM_END):
            raise TruncatedAnswerError("the stream has no end marker")
        self._response.release()

    def close(self) -> None:
        """Close the connection, unless the body was read whole."""
        self._response.close()


class HttpCalls:
    """Implements `CallPort`."""

    def __init__(self) -> None:
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        options = {"timeout": timeout, "auto_decompress": False}
        jar = aiohttp.DummyCookieJar()
        kept = aiohttp.TCPConnector(limit=0, keepalive_timeout=30)
        single = aiohttp.TCPConnector(limit=0, force_close=True)
        self._kept = aiohttp.ClientSession(connector=kept, cookie_jar=jar, **options)  # type: ignore[arg-type]
        self._single = aiohttp.ClientSession(connector=single, cookie_jar=jar, **options)  # type: ignore[arg-type]

    async def send(
        self, replica: ReplicaDescription, request: ClassifiedRequest, timeout_s: float
    ) -> Result[BackendAnswer, CallFailure]:
        """Send a request once and wait for the head of the answer."""
        session = self._single if request.unsafe else self._kept
        urgent = request.urgency is Urgency.URGENT
        headers = {
            HEADER_REQUEST_ID: request.request_id,
            HEADER_PRIORITY: PRIORITY_URGENT if urgent else PRIORITY_PATIENT,
        }
        if request.content_type:
            headers["Content-Type"] = request.content_type
        if request.prefix_hash:
            headers[HEADER_PREFIX] = str(request.prefix_hash)
        if request.idempotency_key is not None:
            headers[HEADER_IDEMPOTENCY_KEY] = request.idempotency_key
        url = f"http://{replica.address}{request.path}"
        pending = session.request(
            request.method, url, data=request.body or None, headers=headers, allow_redirects=False
        )
        return await self._head(pending, request.request_id, request.unsafe, timeout_s)

    async def _head(
        self,
        pending: "aiohttp.client._RequestContextManager",
        request_id: str,
        unsafe: bool,
        timeout_s: float,
    ) -> Result[BackendAnswer, CallFailure]:
        try:
            async with asyncio.timeout(timeout_s):
                response = await pending
        except aiohttp.ClientConnectorError as error:
            return Failure(CallFailure(Outcome.NOT_RUN, RefusalReason.UNREACHABLE, str(error)))
        except TimeoutError as error:
            # aiohttp reports a connect time-out by its own subclass: then nothing was sent.
            connecting = isinstance(error, aiohttp.ConnectionTimeoutError)
            outcome = Outcome.NOT_RUN if connecting else Outcome.UNKNOWN
            return Failure(CallFailure(outcome, RefusalReason.TIMED_OUT))
        except (aiohttp.ClientError, OSError) as error:
            return Failure(CallFailure(Outcome.UNKNOWN, RefusalReason.BROKEN, repr(error)))
        return _check_head(response, request_id, unsafe)

    async def resume(
        self, replica: ReplicaDescription, request_id: str, offset: int, timeout_s: float
    ) -> Result[BackendAnswer, CallFailure]:
        """Continue a stream at a byte offset."""
        url = f"http://{replica.address}{PATH_STREAMS}/{request_id}?offset={offset}"
        pending = self._single.get(url, headers={HEADER_REQUEST_ID: request_id})
        return await self._head(pending, request_id, False, timeout_s)

    async def cancel(self, replica: ReplicaDescription, request_id: str) -> None:
        """Tell an engine that nobody waits for a stream any more; losing this is harmless."""
        url = f"http://{replica.address}{PATH_STREAMS}/{request_id}"
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_S), self._kept.delete(url):
                return
        except (aiohttp.ClientError, OSError, TimeoutError):
            return

    async def close(self) -> None:
        """Close all connections."""
        await self._kept.close()
        await self._single.close()


def _rest_s(response: aiohttp.ClientResponse) -> float:
    """Return for how long a back end that turns a request away wants no other one."""
    if response.status not in REJECTION_STATUSES:
        return 0.0
    rest_s, _ = parse_longest_delay_s(response.headers.getall("Retry-After", []), wall_s())
    return rest_s


def _check_head(
    response: aiohttp.ClientResponse, request_id: str, unsafe: bool
) -> Result[BackendAnswer, CallFailure]:
    refusal = response.headers.get(HEADER_REFUSAL)
    rest_s = _rest_s(response)
    if refusal is not None:
        response.close()
        reason = _REFUSALS.get(refusal, RefusalReason.FULL)
        return Failure(CallFailure(Outcome.NOT_RUN, reason, rest_s=rest_s))
    answered_id = response.headers.get(HEADER_REQUEST_ID)
    if answered_id != request_id:
        response.close()
        detail = f"answer to request {answered_id!r}"
        return Failure(CallFailure(Outcome.UNKNOWN, RefusalReason.FOREIGN, detail))
    if response.status >= FIRST_SERVER_ERROR and not unsafe:
        response.close()
        detail = f"status {response.status}"
        return Failure(CallFailure(Outcome.UNKNOWN, RefusalReason.FAILED, detail, rest_s))
    content_type = response.headers.get("Content-Type", "")
    return Success(HttpBackendAnswer(response, content_type.startswith(CONTENT_TYPE_STREAM)))
