"""Watches replicas that are sent nothing, until they are reachable, open again or removed.

A replica that can't be reached may have failed, or this gateway may have lost its own links. So a
few others are checked at the same time, and all of a service once two of it have failed. No
caller's request is spent on that.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from random import Random

from crowsill.events import Event
from crowsill.gateway.failure_sharing import FailureSharing
from crowsill.gateway.link_state import LinkState
from crowsill.gateway.pool import ConnectError, ConnectionPool
from crowsill.gateway.recent_failures import RECENT_S, RecentFailures
from crowsill.gateway.replica_check import (
    LONG_MIN_OPEN_S,
    MIN_OPEN_S,
    CheckReason,
    CheckResult,
    ReplicaChecker,
)
from crowsill.gateway.replica_connection import ReplicaConnection
from crowsill.gateway.replica_registry import ReplicaRecord, ReplicaRegistry
from crowsill.logs import log_event
from crowsill.model.instances import Instance
from crowsill.model.replica_reach import ReachedReplica, SuspectedReplica
from crowsill.settings import LoadControlSettings
from crowsill.transport.replica_messages import SuspectInstances

RECONNECT_INTERVAL_S = 0.5
# While many replicas are unreachable, this gateway tries at most so many of them in a second. The
# first one that is reached again wakes the others.
MAX_RECONNECTS_PER_S = 8.0
# Reached again, replicas are taken back at random times within this one, not all at once, and at
# most so many in a second.
RESTORE_SPREAD_S = 0.3
MAX_RESTORED_PER_S = 300.0
# So many new connections in a row that were reset before any response count as refused.
MAX_EARLY_RESETS = 3
# Replicas that are checked when a first one fails, of its service and of each other one.
CHECKED_REPLICAS = 2
CHECKED_OF_OTHER_SERVICES = 1
# A replica that takes longer than this to answer a check may fail it, so others are checked, too.
LATE_RESPONSE_S = 0.2
# Connections that are lost within this time are lost at the same moment.
SIMULTANEOUS_S = 0.3
# A replica that refuses new connections needs no check if it sent anything within this time: each
# failure of another one would be a reason to check its open ones again.
RECENT_OPEN_ONLY_S = 2.0


class ReplicaWatch:
    """The replicas of one gateway that are excluded for now."""

    def __init__(
        self,
        registry: ReplicaRegistry,
        pool: ConnectionPool,
        links: LinkState,
        checker: ReplicaChecker,
        *,
        notify: Callable[[SuspectInstances], bool],
        on_change: Callable[[], None],
        random: Random,
        load_control: LoadControlSettings | None = None,
        identity: str = "",
    ) -> None:
        """Create a watch.

        Args:
            registry: The known replicas.
            pool: Connections to them.
            links: Services that this gateway does not reach.
            checker: Checks replicas.
            notify: Sends a notice to the control group; returns whether it could be sent.
            on_change: Called when a replica may be sent requests again, or no longer.
            random: Source of the replicas that are checked.
            load_control: Decisions under load that are switched on; None for none.
            identity: Identity of this gateway.
        """
        settings = load_control or LoadControlSettings()
        self.sharing = FailureSharing(
            registry, pool, links, notify, settings=settings, identity=identity, random=random
        )
        self._registry = registry
        self._pool = pool
        self._links = links
        self._checker = checker
        self._on_change = on_change
        self._random = random
        self._tasks: set[asyncio.Task[None]] = set()
        self._checked: set[str] = set()
        # Set for an excluded replica that may be reached again.
        self._watched: dict[str, asyncio.Event] = {}
        self._failures = RecentFailures()
        self._early_resets: Counter[str] = Counter()

    # Failures.

    def note_connect_failed(self, record: ReplicaRecord, error: ConnectError) -> None:
        """Exclude a replica to which no connection could be opened, and check others."""
        record.availability.note_not_silent()
        if error.is_refused:
            self._close_to_new_connections(record)
            self._start_check(record, CheckReason.REFUSED)
        else:
            self._exclude(record)
        self._check_others(record)

    def watch_unreachable(self, record: ReplicaRecord) -> None:
        """Exclude a replica that crashed or was silent, until a connection to it succeeds."""
        if self._exclude(record):
            # Other idle connections to it are as old as the one that failed or was silent. Each
            # would cost a request its deadline, and would count as proof that it is reachable.
            self._pool.close_idle(record.instance.instance_id)

    def note_first_request(
        self, record: ReplicaRecord, connection: ReplicaConnection, is_broken: bool
    ) -> None:
        """Record how the first request on a new connection ended.

        Args:
            record: The replica.
            connection: The connection.
            is_broken: Whether the connection was lost before the response was complete.
        """
        instance_id = record.instance.instance_id
        if connection.has_received:
            self._early_resets.pop(instance_id, None)
        elif is_broken:
            self._early_resets[instance_id] += 1
            if self._early_resets[instance_id] >= MAX_EARLY_RESETS:
                self._close_to_new_connections(record)
                self._check_others(record)

    def _close_to_new_connections(self, record: ReplicaRecord) -> None:
        """Use only the open connections to a replica, or exclude it if there is none."""
        if self._pool.has_open(record.instance.instance_id):
            record.availability.note_refuses_connections()
            self._watch(record)
        else:
            self._exclude(record)

    def check_if_silent(self, record: ReplicaRecord, since_s: float) -> None:
        """Check a replica that has sent nothing since a monotonic time."""
        if self._pool.received_at_s(record.instance.instance_id) < since_s:
            self._start_check(record, CheckReason.SILENT)

    def check(self, record: ReplicaRecord) -> None:
        """Check a replica that interrupted a response."""
        self._start_check(record, CheckReason.INTERRUPTED)

    def check_lost_connection(self, instance_id: str) -> None:
        """Check a replica whose idle connection was lost with an error."""
        record = self._registry.find(instance_id)
        if record is not None and len(self._checked) < CHECKED_REPLICAS:
            self._start_check(record, CheckReason.IDLE_LOST)

    def _exclude(self, record: ReplicaRecord, is_silent: bool = False) -> bool:
        """Exclude a replica; return whether it was not excluded before."""
        # A removed record is not watched, so nothing would clear the mark if its incarnation were
        # listed again.
        if self._registry.find(record.instance.instance_id) is not record:
            return False
        if record.availability.is_unreachable:
            return False
        record.availability.note_unreachable(is_silent)
        self._links.update_service(record.instance.service)
        self._report_suspect(record)
        self._watch(record)
        self._on_change()
        return True

    def _report_suspect(self, record: ReplicaRecord) -> None:
        """Report a replica to the group, unless the failure shows nothing about the replica."""
        if not self._links.has_lost_links(record.instance.service):
            self.sharing.report_failed(record, asyncio.get_running_loop().time())

    # Checks.

    def _check_others(self, failed: ReplicaRecord) -> None:
        """Check whether other replicas fail as well.

        A first failure starts checks of a few replicas, a second one of the same service those of
        all its replicas.
        """
        now_s = asyncio.get_running_loop().time()
        service = failed.instance.service
        if self.sharing.is_on:
            others = self.sharing.others_to_check(failed, self._failures, self._unproven, now_s)
            self._start_checks(others)
            return
        if self._failures.is_second(failed.instance.instance_id, service, now_s):
            if self._failures.begin_check_of(service, now_s):
                # What was received before the first failure may have come before the links failed.
                since_s = self._failures.first_failed_at_s(service)
                self._start_checks(self._unproven(service, since_s, now_s))
            return
        for name in {record.instance.service for record in self._registry.listed()}:
            unproven = self._unproven(name, now_s - RECENT_S, now_s)
            count = CHECKED_REPLICAS if name == service else CHECKED_OF_OTHER_SERVICES
            self._start_checks(self._random.sample(unproven, min(count, len(unproven))))

    def _start_checks(self, records: list[ReplicaRecord]) -> None:
        for record in records:
            self._start_check(record, CheckReason.OTHERS_FAILED)

    def _unproven(self, service: str, since_s: float, now_s: float) -> list[ReplicaRecord]:
        """Return the replicas of a service that may fail as another one has failed.

        Args:
            service: The service.
            since_s: Monotonic time; what was received later shows that a replica is reached.
            now_s: Current monotonic time.
        """
        return [
            record
            for record in self._registry.of_service(service)
            if not record.availability.is_draining
            and self._links.is_reachable(record)
            and not self._has_proof(record, since_s, now_s)
        ]

    def _has_proof(self, record: ReplicaRecord, since_s: float, now_s: float) -> bool:
        """Whether a replica is known not to fail as another one has failed."""
        if record.availability.refuses_connections:
            since_s = min(since_s, now_s - RECENT_OPEN_ONLY_S)
        return self._pool.received_at_s(record.instance.instance_id) > since_s

    def _start_check(self, record: ReplicaRecord, reason: CheckReason) -> None:
        instance_id = record.instance.instance_id
        if instance_id in self._checked or not self._links.is_reachable(record):
            return
        self._checked.add(instance_id)
        self._start_task(self._check(record, reason))

    async def _check(self, record: ReplicaRecord, reason: CheckReason) -> None:
        loop = asyncio.get_running_loop()
        late = loop.call_later(LATE_RESPONSE_S, self._check_others, record)
        try:
            result = await self._run_check(record, reason)
        finally:
            late.cancel()
            self._checked.discard(record.instance.instance_id)
        if result is CheckResult.REACHED:
            return
        if result is CheckResult.OPEN_ONLY:
            self._close_to_new_connections(record)
        elif result is CheckResult.REFUSED:
            self.watch_unreachable(record)
        else:
            self._exclude(record, result is CheckResult.UNANSWERED)
        self._check_others(record)

    async def _run_check(self, record: ReplicaRecord, reason: CheckReason) -> CheckResult:
        is_suspect = self._early_resets[record.instance.instance_id] > 0
        min_open_s = LONG_MIN_OPEN_S if is_suspect else MIN_OPEN_S
        result = await self._checker.check(record, reason, min_open_s)
        if result is not CheckResult.UNANSWERED:
            record.availability.note_not_silent()
        return result

    async def is_running(self, record: ReplicaRecord) -> bool:
        """Whether a replica that has closed a connection is still running.

        The connections of a process that crashes are closed like those that it closes itself. That
        holds while it drains, too.
        """
        instance = record.instance
        return await self._checker.is_running(
            instance, lambda: self._registry.find(instance.instance_id) is record
        )

    async def find_lost_beside(
        self, instance: Instance, has_crashed: Callable[[str], bool]
    ) -> list[str]:
        """Return the ids of instances that show that the links of this gateway failed.

        Then no other replica is reached either, and another one was lost at the same moment.
        Replicas that a request has crashed one after the other were lost before.

        Args:
            instance: The instance that is lost.
            has_crashed: Whether an instance is known to have crashed, which shows nothing about
                the links.

        Returns:
            The replicas that were tried and not reached; none if the links work.
        """
        others = [
            record
            for record in self._registry.listed()
            if record.instance.instance_id != instance.instance_id
            and not has_crashed(record.instance.instance_id)
        ]
        lost_at_s = self._pool.lost_at_s(instance.instance_id)
        if not any(self._was_lost_at(item.instance.instance_id, lost_at_s) for item in others):
            return []
        sample = self._random.sample(others, min(CHECKED_REPLICAS, len(others)))
        reached = await asyncio.gather(
            *(self._is_reached(record, CheckReason.CRASH) for record in sample)
        )
        return [] if any(reached) else [record.instance.instance_id for record in sample]

    def _was_lost_at(self, instance_id: str, at_s: float) -> bool:
        """Whether a connection to a replica was lost, or failed to open, at about a given time."""
        times = (self._pool.lost_at_s(instance_id), self._failures.failed_at_s(instance_id))
        return any(abs(lost_at_s - at_s) <= SIMULTANEOUS_S for lost_at_s in times)

    async def _is_reached(self, record: ReplicaRecord, reason: CheckReason) -> bool:
        result = await self._run_check(record, reason)
        return result in (CheckResult.REACHED, CheckResult.OPEN_ONLY)

    # Return.

    def _watch(self, record: ReplicaRecord) -> None:
        instance_id = record.instance.instance_id
        if instance_id not in self._watched:
            self._watched[instance_id] = asyncio.Event()
            self._start_task(self._reconnect(record))

    async def _reconnect(self, record: ReplicaRecord) -> None:
        """Try to connect until it succeeds or the replica is removed or drains."""
        instance_id = record.instance.instance_id
        try:
            while self._registry.find(instance_id) is record and record.instance.accepts_work:
                if not await self._wait_to_reconnect(record):
                    continue
                result = await self._run_check(record, CheckReason.EXCLUDED)
                if result is CheckResult.REACHED:
                    break
                if result is not CheckResult.OPEN_ONLY and self._links.is_reachable(record):
                    self.watch_unreachable(record)
                self._report_suspect(record)
            else:
                return
        finally:
            del self._watched[instance_id]
        record.availability.note_reachable()
        self._links.note_reached(record)
        self.sharing.report_reached({instance_id: 0.0})
        for is_back in self._watched.values():
            is_back.set()
        self._on_change()

    def note_group_word(
        self,
        suspected: list[SuspectedReplica],
        reached: list[ReachedReplica],
        sent_at_s: float,
        gateways: int,
    ) -> None:
        """Apply what the group says about failed replicas; see `FailureSharing.adopt`."""
        now_s = asyncio.get_running_loop().time()
        for instance_id in self.sharing.adopt(suspected, reached, sent_at_s, now_s):
            if instance_id in self._watched:
                self._watched[instance_id].set()
        self._start_checks(self.sharing.to_verify(gateways, now_s))

    async def _wait_to_reconnect(self, record: ReplicaRecord) -> bool:
        """Wait for the next check, or until any is reached; return whether to make the check."""
        instance_id = record.instance.instance_id
        # Moved to the end: those that have waited longest are woken first.
        is_back = self._watched[instance_id] = self._watched.pop(instance_id)
        is_back.clear()
        mean_s = max(RECONNECT_INTERVAL_S, len(self._watched) / MAX_RECONNECTS_PER_S)
        # Replicas that were excluded at the same moment are not all checked at the same moment.
        spread_s = 2.0 * (mean_s - RECONNECT_INTERVAL_S)
        try:
            async with asyncio.timeout(RECONNECT_INTERVAL_S + self._random.random() * spread_s):
                await is_back.wait()
        except TimeoutError:
            pass
        else:
            restore_s = max(RESTORE_SPREAD_S, len(self._watched) / MAX_RESTORED_PER_S)
            await asyncio.sleep(self._random.random() * restore_s)
        return not self.sharing.skips_check(record, mean_s, asyncio.get_running_loop().time())

    # Backoffs.

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

    def _start_task(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
