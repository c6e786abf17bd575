"""Reports from back ends, orders to them, and the platform's list of machines, over HTTP."""

import asyncio

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from crowsill.backends.interface import CallFailure, FailureReason, OrderReply
from crowsill.backends.wire import PATH_MACHINES, PATH_ORDERS, PATH_REPORT, MachineList, OrderBody
from crowsill.errors import Outcome
from crowsill.model.fleet import ReplicaDescription, ReplicaReport
from crowsill.state.orders import Order
from crowsill.transport.bounded_read import read_bounded

REPORT_TIMEOUT_S = 1.0
# A report of one back end, or the list of all machines.
MAX_REPORT_BYTES = 16 * 1024 * 1024
ORDER_TIMEOUT_S = 2.0
_ORDER_REPLIES = {
    200: OrderReply.ACCEPTED,
    202: OrderReply.ACCEPTED,
    409: OrderReply.STALE,
    410: OrderReply.OTHER_INCARNATION,
    507: OrderReply.REJECTED,
}


_CALL_ERRORS = (
    aiohttp.ClientError,
    OSError,
    TimeoutError,
    msgspec.DecodeError,
    RecursionError,
)


class HttpControl:
    """Implements `EnginePort` and `PlatformPort`."""

    def __init__(self, platform_list: str) -> None:
        """Create an adapter.

        Args:
            platform_list: `IP:port` of the service that serves the platform's list of machines.
        """
        self._platform_list = platform_list
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar()
        )

    async def _get(self, url: str) -> bytes:
        async with asyncio.timeout(REPORT_TIMEOUT_S), self._session.get(url) as response:
            response.raise_for_status()
            return await read_bounded(response, MAX_REPORT_BYTES)

    async def report(self, replica: ReplicaDescription) -> Result[ReplicaReport, CallFailure]:
        """Read the report of a back end."""
        try:
            content = await self._get(f"http://{replica.address}{PATH_REPORT}")
            return Success(msgspec.json.decode(content, type=ReplicaReport))
        except _CALL_ERRORS as error:
            failure = CallFailure(Outcome.NOT_RUN, FailureReason.UNREACHABLE, repr(error))
            return Failure(failure)

    async def order(self, replica: ReplicaDescription, order: Order) -> OrderReply:
        """Send an order; return `UNKNOWN` without a conclusive response."""
        body = OrderBody(
            order.order_id,
            order.term,
            order.incarnation,
            order.kind,
            order.resource,
            order.memory_mib,
        )
        url = f"http://{replica.address}{PATH_ORDERS}"
        content = msgspec.json.encode(body)
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                async with self._session.post(url, data=content) as response:
                    return _ORDER_REPLIES.get(response.status, OrderReply.UNKNOWN)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return OrderReply.UNKNOWN

    async def machines(self) -> Result[list[ReplicaDescription], str]:
        """Read the platform's list of machines."""
        try:
            content = await self._get(f"http://{self._platform_list}{PATH_MACHINES}")
            return Success(msgspec.json.decode(content, type=MachineList).machines)
        except _CALL_ERRORS as error:
            return Failure(repr(error))

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
