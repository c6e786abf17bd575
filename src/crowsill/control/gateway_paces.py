"""Learns the pace of replicas at a control member, from the reports of all gateways. Pure.

A gateway reports what it received since its last report. A follower passes it on to the leader with
its next report; the leader tells what it learned together with the use of replicas. Followers keep
that, so that the next leader knows it.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from crowsill.model.replica_use import UseByReplica, with_paces
from crowsill.routing.replica_pace import (
    USUAL_PERCENT,
    PaceWindow,
    ToldPace,
    is_notable_change,
)

MAX_KNOWN_REPLICAS = 4000


@dataclass(frozen=True, slots=True)
class PaceChange:
    """The pace of a replica changed by a quarter or more.

    Attributes:
        instance_id: The replica.
        before_percent: Pace in percent before; 100 if it was not known.
        percent: Pace in percent now.
    """

    instance_id: str
    before_percent: int
    percent: int


@dataclass(slots=True)
class _KnownPace:
    """What is known of one replica.

    Attributes:
        window: Reports of gateways.
        told: What the leader learned.
        unsent_percent: Lowest report since the last one to the leader; 0 without one.
        logged_percent: Pace at the last notable change.
    """

    window: PaceWindow = field(default_factory=PaceWindow)
    told: ToldPace = field(default_factory=ToldPace)
    unsent_percent: int = 0
    logged_percent: int = USUAL_PERCENT

    def percent(self, now_s: float) -> int | None:
        """Return the learned pace in percent, or None."""
        told = self.told.percent(now_s)
        if told is None or self.window.is_certain(now_s):
            return self.window.percent(now_s)
        return told

    def is_certain(self, now_s: float) -> bool:
        """Whether it was learned from enough reports, here or by a leader."""
        return self.window.is_certain(now_s) or self.told.percent(now_s) is not None


class GatewayPaces:
    """The paces of replicas that one member knows, by instance id."""

    def __init__(self) -> None:
        # In order of the last report.
        self._known: OrderedDict[str, _KnownPace] = OrderedDict()

    def note_reports(self, use: UseByReplica, now_s: float) -> list[PaceChange]:
        """Record the paces in a report of a gateway or follower; return notable changes."""
        changes: list[PaceChange] = []
        for instance_id, item in use.items():
            if item.pace_percent > 0:
                known = self._find_or_add(instance_id)
                known.window.note(item.pace_percent, now_s)
                unsent = known.unsent_percent or item.pace_percent
                known.unsent_percent = min(unsent, item.pace_percent)
                self._note_change(instance_id, known, changes, now_s)
        return changes

    def note_learned(self, total: UseByReplica, now_s: float) -> list[PaceChange]:
        """Record the paces that the leader learned; return notable changes."""
        changes: list[PaceChange] = []
        for instance_id, item in total.items():
            if item.pace_percent > 0:
                known = self._find_or_add(instance_id)
                known.told.note(item.pace_percent, now_s)
                self._note_change(instance_id, known, changes, now_s)
        return changes

    def _find_or_add(self, instance_id: str) -> _KnownPace:
        known = self._known.setdefault(instance_id, _KnownPace())
        self._known.move_to_end(instance_id)
        if len(self._known) > MAX_KNOWN_REPLICAS:
            self._known.popitem(last=False)
        return known

    def _note_change(
        self, instance_id: str, known: _KnownPace, changes: list[PaceChange], now_s: float
    ) -> None:
        percent, before = known.percent(now_s), known.logged_percent
        if percent is not None and is_notable_change(before, percent):
            known.logged_percent = percent
            changes.append(PaceChange(instance_id, before, percent))

    def certain_percent_of(self, instance_id: str, now_s: float) -> int | None:
        """Return the pace of a replica in percent; None if it was learned from too few reports."""
        known = self._known.get(instance_id)
        if known is None or not known.is_certain(now_s):
            return None
        return known.percent(now_s)

    def with_unsent(self, use: UseByReplica) -> UseByReplica:
        """Return a report to the leader with the paces that were reported since the last one."""
        if not self._known:
            return use
        unsent: dict[str, int] = {}
        for instance_id, known in self._known.items():
            if known.unsent_percent:
                unsent[instance_id], known.unsent_percent = known.unsent_percent, 0
        return with_paces(use, unsent)

    def with_learned(self, total: UseByReplica, now_s: float) -> UseByReplica:
        """Return the use by all gateways with all learned paces; forget those without reports."""
        if not self._known:
            return total
        learned: dict[str, int] = {}
        for instance_id, known in list(self._known.items()):
            percent = known.percent(now_s)
            if percent is None:
                del self._known[instance_id]
            else:
                learned[instance_id] = percent
        return with_paces(total, learned)
