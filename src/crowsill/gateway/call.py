"""Single HTTP calls of control members to replicas, for orders and reports."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from crowsill.clock import monotonic_s, wall_s
from crowsill.events import Event
from crowsill.gateway.availability import Availability
from crowsill.gateway.headers import HeaderNames
from crowsill.gateway.pool import ConnectError, ConnectionPool
from crowsill.gateway.replica_signals import read_signals
from crowsill.gateway.response_collector import CallResponse, ResponseCollector
from crowsill.logs import log_event
from crowsill.model.instances import Instance

# Instances whose backoff is remembered; the largest deployment has 1,200 replicas.
MAX_REMEMBERED_BACKOFFS = 4000


class ReplicaCaller:
    """Sends single calls to replicas and reads the signals in their responses.

    Attributes:
        on_draining: Receives the id of the instance at each response that reports draining.
    """

    def __init__(self, names: HeaderNames) -> None:
        self.on_draining: Callable[[list[str]], None] = lambda _ids: None
        self._names = names
        self._pool = ConnectionPool(names)
        self._availability: OrderedDict[str, Availability] = OrderedDict()

    def is_backing_off(self, instance: Instance) -> bool:
        """Whether the replica requested a backoff that is in effect: nothing may be sent to it."""
        known = self._availability.get(instance.instance_id)
        return known is not None and known.is_backing_off(monotonic_s())

    async def call(
        self, instance: Instance, message: bytes, timeout_s: float
    ) -> CallResponse | None:
        """Send an HTTP request and return the response, or None if there was none in time.

        Nothing is sent to a replica that is backing off; the result is None, too.

        Args:
            instance: The replica.
            message: The complete HTTP request.
            timeout_s: Time for connecting, sending and receiving.
        """
        if self.is_backing_off(instance):
            return None
        response = await self._exchange(instance, message, timeout_s)
        if response is not None:
            self._handle_signals(instance, response)
        return response

    def _handle_signals(self, instance: Instance, response: CallResponse) -> None:
        signals = read_signals(response.status, response.headers, self._names, wall_s())
        if signals.backoff_s > 0.0:
            self._note_backoff(instance, response.status, signals.backoff_s)
        if signals.is_draining:
            self.on_draining([instance.instance_id])

    def _note_backoff(self, instance: Instance, status: int, backoff_s: float) -> None:
        instance_id = instance.instance_id
        known = self._availability.setdefault(instance_id, Availability())
        self._availability.move_to_end(instance_id)
        if len(self._availability) > MAX_REMEMBERED_BACKOFFS:
            self._availability.popitem(last=False)
        if known.note_backoff(backoff_s, monotonic_s()):
            log_event(
                Event.REPLICA_RESTS, replica=instance_id, status=status, rest_s=round(backoff_s, 3)
            )

    async def _exchange(
        self, instance: Instance, message: bytes, timeout_s: float
    ) -> CallResponse | None:
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        try:
            connection = await self._pool.acquire(instance, timeout_s)
        except ConnectError:
            return None
        collector = ResponseCollector()
        response: CallResponse | None = None
        try:
            # Checked again: opening the connection may have taken a second.
            if self.is_backing_off(instance):
                return None
            connection.send(message, b"", False, collector)
            async with asyncio.timeout_at(deadline_s):
                response = await collector.ended
        except TimeoutError:
            pass
        finally:
            self._pool.release(instance.instance_id, connection, response is not None)
        return response
