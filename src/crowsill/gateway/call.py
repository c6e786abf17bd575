"""A single HTTP call to a replica, for control members: orders and reports."""

import asyncio
from dataclasses import dataclass

from crowsill.gateway.dialect import Headers
from crowsill.gateway.pool import ConnectError, ConnectionPool
from crowsill.gateway.replica_connection import Break
from crowsill.model.instances import Instance


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes


class _Collector:
    """Collects one answer; implements `AnswerSink`."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.ended: asyncio.Future[CallAnswer | None] = loop.create_future()
        self._status = 0
        self._headers: Headers = []
        self._body: list[bytes] = []

    def on_head(self, status: int, reason: bytes, headers: Headers) -> None:
        self._status = status
        self._headers = headers

    def on_data(self, data: bytes) -> None:
        self._body.append(data)

    def on_end(self) -> None:
        self._end(CallAnswer(self._status, self._headers, b"".join(self._body)))

    def on_break(self, why: Break) -> None:
        self._end(None)

    def _end(self, answer: CallAnswer | None) -> None:
        if not self.ended.done():
            self.ended.set_result(answer)


async def call(
    pool: ConnectionPool, instance: Instance, message: bytes, timeout_s: float
) -> CallAnswer | None:
    """Send one whole HTTP message and return the answer; None when none came in time."""
    deadline_s = asyncio.get_running_loop().time() + timeout_s
    try:
        connection = await pool.acquire(instance, timeout_s)
    except ConnectError:
        return None
    collector = _Collector()
    answer: CallAnswer | None = None
    try:
        connection.send(message, b"", False, collector)
        async with asyncio.timeout_at(deadline_s):
            answer = await collector.ended
    except TimeoutError:
        pass
    finally:
        pool.release(instance.instance_id, connection, answer is not None)
    return answer
