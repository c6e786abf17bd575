"""Watches replicas that are sent nothing, until they are reachable, open again or removed."""

import asyncio
from collections.abc import Callable, Coroutine

from crowsill.events import Event
from crowsill.gateway.pool import ConnectError, ConnectionPool
from crowsill.gateway.replica_registry import ReplicaRecord, ReplicaRegistry
from crowsill.logs import log_event
from crowsill.model.instances import InstanceState
from crowsill.transport.replica_messages import DrainingInstances, SuspectInstances

RECONNECT_INTERVAL_S = 0.5
RECONNECT_TIMEOUT_S = 1.0
# The control group records that a replica drains and informs all gateways within half this time.
DRAIN_REPORT_INTERVAL_S = 0.5


class ReplicaWatch:
    """The replicas of one gateway that are excluded for now."""

    def __init__(
        self,
        registry: ReplicaRegistry,
        pool: ConnectionPool,
        notify: Callable[[SuspectInstances | DrainingInstances], bool],
        on_change: Callable[[], None],
    ) -> None:
        """Create a watch.

        Args:
            registry: The known replicas.
            pool: Connections to them.
            notify: Sends a notice to the control group; returns whether it could be sent.
            on_change: Called when a replica may be sent requests again.
        """
        self._registry = registry
        self._pool = pool
        self._notify = notify
        self._on_change = on_change
        self._tasks: set[asyncio.Task[None]] = set()

    def watch_unreachable(self, record: ReplicaRecord) -> None:
        """Exclude a replica until a connection to it succeeds, and report it as a suspect."""
        # Nobody watches a removed record, and its incarnation may be listed again.
        is_known = self._registry.find(record.instance.instance_id) is record
        if not is_known or record.availability.is_unreachable:
            return
        record.availability.note_unreachable()
        # Other idle connections to it are as old as the one that failed or was silent. Each would
        # cost a request its deadline, and would count as proof that the replica is reachable.
        self._pool.close_idle(record.instance.instance_id)
        self._notify(SuspectInstances([record.instance.instance_id]))
        self._start_task(self._reconnect(record))

    async def _reconnect(self, record: ReplicaRecord) -> None:
        """Try to connect until it succeeds or the replica is removed or drains."""
        instance_id = record.instance.instance_id
        while self._registry.find(instance_id) is record and record.instance.accepts_work:
            await asyncio.sleep(RECONNECT_INTERVAL_S)
            try:
                connection = await self._pool.acquire(record.instance, RECONNECT_TIMEOUT_S)
            except ConnectError:
                self._notify(SuspectInstances([instance_id]))
                continue
            self._pool.release(instance_id, connection, True)
            record.availability.note_reachable()
            self._on_change()
            return

    def watch_backoff(self, record: ReplicaRecord) -> None:
        """Schedule a check for the end of a replica's backoff."""
        asyncio.get_running_loop().call_at(
            record.availability.backoff_ends_at_s, self._end_backoff, record
        )

    def _end_backoff(self, record: ReplicaRecord) -> None:
        availability = record.availability
        if availability.is_backing_off(asyncio.get_running_loop().time()):
            # The backoff was extended meanwhile.
            self.watch_backoff(record)
            return
        log_event(
            Event.REPLICA_RESTED,
            replica=record.instance.instance_id,
            sent=availability.sent_in_backoff,
        )
        self._on_change()

    def report_draining(self, record: ReplicaRecord) -> None:
        """Report to the control group that a replica drains."""
        self._start_task(self._repeat_drain_report(record))

    async def _repeat_drain_report(self, record: ReplicaRecord) -> None:
        """Repeat the report until the directory lists the replica as draining or it is removed."""
        instance_id = record.instance.instance_id
        while (
            self._registry.find(instance_id) is record
            and record.listed_state is InstanceState.READY
        ):
            self._notify(DrainingInstances([instance_id]))
            await asyncio.sleep(DRAIN_REPORT_INTERVAL_S)

    def _start_task(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
