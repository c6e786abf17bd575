"""The leader's view of the back ends, merged from the platform's list and their own reports.

Three signals show that a back end drains, and each may lag: the list, its own report, and its
rejection of calls (which entries detect themselves). Draining is permanent for one incarnation.
"""

import asyncio
from collections.abc import Callable
from random import Random

import msgspec
from returns.result import Success

from crowsill.backends.interface import EnginePort, PlatformPort
from crowsill.constants import (
    ENGINE_POLL_INTERVAL_S,
    FLEET_PUSH_INTERVAL_S,
    PLATFORM_POLL_INTERVAL_S,
)
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.model.fleet import (
    FleetDelta,
    FleetView,
    LoadUpdate,
    ReplicaDescription,
    ReplicaReport,
    ReplicaState,
)

UNREACHABLE_AFTER_FAILURES = 3
LOAD_CHANGE_THRESHOLD = 0.25
MAX_LOAD_UPDATES = 50
MAX_POLLS_PER_S = 300.0


def _is_equal_except_load(old: ReplicaState | None, new: ReplicaState) -> bool:
    if old is None:
        return False
    report = msgspec.structs.replace(
        new.report, running=old.report.running, waiting=old.report.waiting
    )
    return old == msgspec.structs.replace(new, report=report)


class _ObservedReplica:
    """One back end under observation."""

    def __init__(self, description: ReplicaDescription) -> None:
        self.description = description
        self.report: ReplicaReport | None = None
        self.failures = 0
        self.draining_incarnation: str | None = None

    def state(self, number: int) -> ReplicaState | None:
        """The merged state, or None before the first report."""
        if self.report is None:
            return None
        if self.report.draining or self.description.draining:
            self.draining_incarnation = self.report.incarnation
        draining = self.draining_incarnation == self.report.incarnation
        report = msgspec.structs.replace(self.report, draining=draining)
        reachable = self.failures < UNREACHABLE_AFTER_FAILURES
        return ReplicaState(self.description, report, reachable, number)


class FleetObserver:
    """Polls back ends while this member leads, and publishes deltas of the fleet view."""

    def __init__(
        self,
        platform: PlatformPort,
        engines: EnginePort,
        view: FleetView,
        publish: Callable[[FleetDelta], None],
    ) -> None:
        """Make an observer.

        Args:
            platform: The platform's list.
            engines: Reports of back ends.
            view: The fleet view of this process; deltas are applied to it.
            publish: Receives each delta.
        """
        self._platform = platform
        self._engines = engines
        self._view = view
        self._publish = publish
        self._observed: dict[str, _ObservedReplica] = {}
        self._pollers: dict[str, asyncio.Task[None]] = {}
        self._random = Random()
        self._replica_numbers: dict[str, int] = {}
        self._published_loads: dict[int, int] = {}

    async def run(self, epoch: int) -> None:
        """Observe until cancelled.

        Args:
            epoch: Leadership term; the first delta of a term replaces the whole view.
        """
        first = True
        platform_task = asyncio.create_task(self._poll_platform())
        try:
            while True:
                await asyncio.sleep(FLEET_PUSH_INTERVAL_S)
                if self._all_polled():
                    self._publish_delta(epoch, full=first)
                    first = False
        finally:
            platform_task.cancel()
            for poller in self._pollers.values():
                poller.cancel()

    def _all_polled(self) -> bool:
        """Whether every listed back end has reported or failed to report."""
        if not self._observed:
            return False
        return all(item.report is not None or item.failures for item in self._observed.values())

    def _publish_delta(self, epoch: int, full: bool) -> None:
        if full:
            self._replica_numbers = {}
            self._published_loads = {}
        states = self._states()
        known = {} if full else self._view.replicas
        changed = [
            state
            for name, state in states.items()
            if not _is_equal_except_load(known.get(name), state)
        ]
        removed = [name for name in known if name not in states]
        loads = self._load_updates(states, {state.number for state in changed})
        if not (full or changed or removed or loads):
            return
        self._log_changes(changed, removed)
        sequence = 1 if full else self._view.sequence + 1
        delta = FleetDelta(epoch, sequence, full, changed, removed, loads)
        self._view.adopt(delta)
        self._publish(delta)

    def _states(self) -> dict[str, ReplicaState]:
        states: dict[str, ReplicaState] = {}
        for replica_id, observed in self._observed.items():
            number = self._replica_numbers.setdefault(replica_id, len(self._replica_numbers) + 1)
            state = observed.state(number)
            if state is not None:
                states[replica_id] = state
        return states

    def _load_updates(
        self, states: dict[str, ReplicaState], published_in_full: set[int]
    ) -> list[LoadUpdate]:
        """Return loads that differ enough from those published last.

        Entries adjust loads by their own requests, so small differences aren't published.
        """
        differing: list[tuple[int, LoadUpdate]] = []
        for state in states.values():
            in_flight = state.report.running + state.report.waiting
            published = self._published_loads.get(state.number, 0)
            difference = abs(in_flight - published)
            if state.number in published_in_full:
                self._published_loads[state.number] = in_flight
            elif difference >= max(1, LOAD_CHANGE_THRESHOLD * published):
                differing.append((difference, LoadUpdate(state.number, in_flight)))
        # The largest differences first, limited by an entry's share of bandwidth.
        differing.sort(key=lambda item: -item[0])
        updates = [update for _, update in differing[:MAX_LOAD_UPDATES]]
        for update in updates:
            self._published_loads[update.number] = update.in_flight
        return updates

    def _log_changes(self, changed: list[ReplicaState], removed: list[str]) -> None:
        for state in changed:
            old = self._view.replicas.get(state.description.replica_id)
            if old is None or old.accepts_work != state.accepts_work:
                log_event(
                    Event.FLEET_CHANGED,
                    replica=state.description.replica_id,
                    accepts_work=state.accepts_work,
                    incarnation=state.report.incarnation,
                )
        for replica_id in removed:
            log_event(Event.FLEET_CHANGED, replica=replica_id, accepts_work=False, gone=True)

    async def _poll_platform(self) -> None:
        while True:
            listed = await self._platform.machines()
            if isinstance(listed, Success):
                self._update_listed(listed.unwrap())
            await asyncio.sleep(PLATFORM_POLL_INTERVAL_S)

    def _update_listed(self, machines: list[ReplicaDescription]) -> None:
        listed = {machine.replica_id: machine for machine in machines}
        for replica_id in set(self._observed) - set(listed):
            del self._observed[replica_id]
            self._pollers.pop(replica_id).cancel()
        for replica_id, machine in listed.items():
            observed = self._observed.get(replica_id)
            if observed is not None:
                observed.description = machine
                continue
            self._observed[replica_id] = observed = _ObservedReplica(machine)
            self._pollers[replica_id] = asyncio.create_task(self._poll_report(observed))

    async def _poll_report(self, observed: _ObservedReplica) -> None:
        # Polls are spread over the period: simultaneous polls would queue and time out.
        await asyncio.sleep(self._random.uniform(0.0, self._period_s()))
        while True:
            reported = await self._engines.report(observed.description)
            if isinstance(reported, Success):
                observed.report = reported.unwrap()
                observed.failures = 0
            else:
                observed.failures += 1
            await asyncio.sleep(self._period_s())

    def _period_s(self) -> float:
        """Interval of the polls of one back end; longer for a large fleet, to bound the cost."""
        return max(ENGINE_POLL_INTERVAL_S, len(self._observed) / MAX_POLLS_PER_S)
