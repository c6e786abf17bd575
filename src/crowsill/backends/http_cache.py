"""Access to the prompt caches of engines over HTTP, with aiohttp."""

import asyncio

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from crowsill.backends.interface import CacheEvents, CallFailure, FailureReason
from crowsill.backends.wire import PATH_CACHE_EVENTS, PATH_KV
from crowsill.errors import Outcome
from crowsill.model.fleet import ReplicaDescription
from crowsill.transport.bounded_read import read_bounded

EVENTS_TIMEOUT_S = 1.0
KV_TIMEOUT_S = 10.0
MAX_EVENTS_BYTES = 16 * 1024 * 1024
# The KV cache of a long prompt.
MAX_KV_BYTES = 1024 * 1024 * 1024


class HttpCache:
    """Implements `CachePort`."""

    def __init__(self) -> None:
        self._session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())

    async def _exchange(
        self, method: str, url: str, data: bytes | None, timeout_s: float, max_bytes: int
    ) -> Result[bytes, CallFailure]:
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.request(method, url, data=data) as response:
                    response.raise_for_status()
                    return Success(await read_bounded(response, max_bytes))
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Failure(CallFailure(Outcome.UNKNOWN, FailureReason.FAILED, repr(error)))

    async def cache_events(
        self, replica: ReplicaDescription, after: int
    ) -> Result[CacheEvents, CallFailure]:
        """Return the events after number `after` that the engine still keeps."""
        url = f"http://{replica.address}{PATH_CACHE_EVENTS}?after={after}"
        response = await self._exchange("GET", url, None, EVENTS_TIMEOUT_S, MAX_EVENTS_BYTES)
        if not isinstance(response, Success):
            return Failure(response.failure())
        try:
            return Success(msgspec.json.decode(response.unwrap(), type=CacheEvents))
        except msgspec.DecodeError as error:
            return Failure(CallFailure(Outcome.UNKNOWN, FailureReason.FAILED, str(error)))

    async def export_kv(
        self, replica: ReplicaDescription, request_id: str
    ) -> Result[bytes, CallFailure]:
        """Return the KV cache of a request, in the engine's own format."""
        url = f"http://{replica.address}{PATH_KV}/{request_id}"
        return await self._exchange("GET", url, None, KV_TIMEOUT_S, MAX_KV_BYTES)

    async def import_kv(
        self, replica: ReplicaDescription, request_id: str, data: bytes
    ) -> Result[None, CallFailure]:
        """Import the KV cache of a request into an engine, which can then continue the request."""
        url = f"http://{replica.address}{PATH_KV}/{request_id}"
        response = await self._exchange("PUT", url, data, KV_TIMEOUT_S, MAX_EVENTS_BYTES)
        return response.map(lambda _body: None)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
