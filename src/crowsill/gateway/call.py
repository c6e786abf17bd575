"""A single HTTP call to a replica, for control members: orders and reports."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from crowsill.clock import monotonic_s, wall_s
from crowsill.events import Event
from crowsill.gateway.availability import Availability
from crowsill.gateway.headers import HeaderNames, Headers
from crowsill.gateway.pool import ConnectError, ConnectionPool
from crowsill.gateway.replica_connection import Break
from crowsill.gateway.replica_signals import read_signals
from crowsill.logs import log_event
from crowsill.model.instances import Instance

# Lives whose rests are remembered; the largest site has 1,200 replicas.
REMEMBERED_RESTS = 4000


@dataclass(frozen=True, slots=True)
class CallResponse:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes


class _Collector:
    """Collects one answer; implements `ResponseSink`."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.ended: asyncio.Future[CallResponse | None] = loop.create_future()
        self._status = 0
        self._headers: Headers = []
        self._body: list[bytes] = []

    def on_head(self, status: int, reason: bytes, headers: Headers) -> None:
        self._status = status
        self._headers = headers

    def on_data(self, data: bytes) -> None:
        self._body.append(data)

    def on_end(self) -> None:
        self._end(CallResponse(self._status, self._headers, b"".join(self._body)))

    def on_break(self, reason: Break) -> None:
        self._end(None)

    def _end(self, answer: CallResponse | None) -> None:
        if not self.ended.done():
            self.ended.set_result(answer)


class ReplicaCaller:
    """Sends single calls to replicas, and hears what these say of themselves.

    Attributes:
        on_draining: Receives the ids of lives that said that they leave, with each such answer.
    """

    def __init__(self, names: HeaderNames) -> None:
        self.on_draining: Callable[[list[str]], None] = lambda _ids: None
        self._names = names
        self._pool = ConnectionPool(names)
        self._availability: OrderedDict[str, Availability] = OrderedDict()

    def is_backing_off(self, instance: Instance) -> bool:
        """Whether a replica asked this process for rest, so that nothing is to be sent there."""
        known = self._availability.get(instance.instance_id)
        return known is not None and known.is_backing_off(monotonic_s())

    async def call(
        self, instance: Instance, message: bytes, timeout_s: float
    ) -> CallResponse | None:
        """Send one whole HTTP message and return the answer; None when none came in time.

        Nothing is sent to a replica that rests; that, too, brings no answer.
        """
        if self.is_backing_off(instance):
            return None
        answer = await self._exchange(instance, message, timeout_s)
        if answer is not None:
            self._take_signals(instance, answer)
        return answer

    def _take_signals(self, instance: Instance, answer: CallResponse) -> None:
        signals = read_signals(answer.status, answer.headers, self._names, wall_s())
        if signals.backoff_s > 0.0:
            self._note_rest(instance, answer.status, signals.backoff_s)
        if signals.is_draining:
            self.on_draining([instance.instance_id])

    def _note_rest(self, instance: Instance, status: int, rest_s: float) -> None:
        life = instance.instance_id
        known = self._availability.setdefault(life, Availability())
        self._availability.move_to_end(life)
        if len(self._availability) > REMEMBERED_RESTS:
            self._availability.popitem(last=False)
        if known.note_backoff(rest_s, monotonic_s()):
            log_event(Event.REPLICA_RESTS, replica=life, status=status, rest_s=round(rest_s, 3))

    async def _exchange(
        self, instance: Instance, message: bytes, timeout_s: float
    ) -> CallResponse | None:
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        try:
            connection = await self._pool.acquire(instance, timeout_s)
        except ConnectError:
            return None
        collector = _Collector()
        answer: CallResponse | None = None
        try:
            # The connection may have taken a second to come up.
            if self.is_backing_off(instance):
                return None
            connection.send(message, b"", False, collector)
            async with asyncio.timeout_at(deadline_s):
                answer = await collector.ended
        except TimeoutError:
            pass
        finally:
            self._pool.release(instance.instance_id, connection, answer is not None)
        return answer
