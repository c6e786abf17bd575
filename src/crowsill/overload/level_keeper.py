"""Keeps the sums and the admission level at a control member. Pure but for log lines.

The leader decides the level; a follower passes on the last one that it received. A new leader
starts from that one, and changes no target until all members have reported to it.
"""

from dataclasses import dataclass, field

from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.metrics import OVERLOADED_SERVICES
from crowsill.model.service_pressure import AdmissionLevel, PressureReport
from crowsill.overload.pressure_sums import (
    PressureSums,
    ServiceSum,
    to_report,
    total_pressure,
)
from crowsill.overload.service_level import UPDATE_INTERVAL_S, ServiceController

# Time for which a follower passes on the level received from the leader, and for which a new leader
# may start from it.
LEVEL_LIFETIME_S = 1.0
INHERITED_LIFETIME_S = 3.0
# Every member reports to a new leader within this time.
SETTLE_S = 1.0
# After a longer pause the averages start again from the current sums.
MAX_PAUSE_S = 3.0


@dataclass(slots=True)
class LevelKeeper:
    """Sums of gateways' reports, and the level that follows from them."""

    _sums: PressureSums = field(default_factory=PressureSums)
    _received: AdmissionLevel | None = None
    _received_at_s: float = float("-inf")
    _term: int = -1
    _term_began_at_s: float = float("-inf")
    _decided: AdmissionLevel | None = None
    _decided_at_s: float = float("-inf")
    _controllers: dict[str, ServiceController] = field(default_factory=dict)

    def note_report(self, source: str, report: PressureReport, now_s: float) -> None:
        """Record the report of a gateway or follower."""
        self._sums.note(source, report, now_s)

    def note_level(self, level: AdmissionLevel, now_s: float) -> None:
        """Record the level that the leader decided, unless a newer one is known."""
        known = self._received
        if known is None or (level.term, level.number) > (known.term, known.number):
            self._received, self._received_at_s = level, now_s

    def sum_report(self, now_s: float) -> PressureReport | None:
        """Return the sum of the recent reports; None if there are none.

        Tenants are left out for services where nobody met full replicas and nothing is cut.
        """
        reports = self._sums.live(now_s)
        if not reports:
            return None
        level = self._recent_level(now_s)
        limited = set() if level is None else {item.service for item in level.services}
        total = total_pressure(reports)
        for service, found in total.services.items():
            if found.full == 0.0 and service not in limited:
                found.asked = {}
        total.weights = {
            tenant: weight
            for tenant, weight in total.weights.items()
            if any(tenant in found.asked for found in total.services.values())
        }
        return to_report(total)

    def level(self, leader_term: int | None, now_s: float) -> AdmissionLevel | None:
        """Return the level in force, as far as this member knows it.

        Args:
            leader_term: Term in which this member leads; None if it is a follower.
            now_s: Monotonic time in seconds.
        """
        if leader_term is None:
            self._end_term()
            return self._recent_level(now_s)
        if leader_term != self._term:
            self._begin_term(leader_term, now_s)
        elapsed_s = now_s - self._decided_at_s
        if self._decided is None or elapsed_s >= UPDATE_INTERVAL_S:
            self._decide(min(elapsed_s, MAX_PAUSE_S), now_s)
        return self._decided

    def _recent_level(self, now_s: float) -> AdmissionLevel | None:
        """Return the level that the leader told last, unless it is too old."""
        is_recent = now_s - self._received_at_s <= LEVEL_LIFETIME_S
        return self._received if is_recent else None

    def _end_term(self) -> None:
        """Forget what this member decided as the leader."""
        if self._decided is not None:
            self._decided, self._controllers = None, {}
            OVERLOADED_SERVICES.set(0)

    def _begin_term(self, term: int, now_s: float) -> None:
        self._term, self._term_began_at_s = term, now_s
        self._decided, self._decided_at_s = None, now_s - UPDATE_INTERVAL_S
        self._controllers = {}
        if self._received is not None and now_s - self._received_at_s <= INHERITED_LIFETIME_S:
            self._controllers = {
                item.service: ServiceController(float(item.target))
                for item in self._received.services
                if item.target > 0
            }

    def _decide(self, elapsed_s: float, now_s: float) -> None:
        if elapsed_s >= MAX_PAUSE_S:
            self._controllers = {}
        total = total_pressure(self._sums.live(now_s))
        is_settled = now_s - self._term_began_at_s >= SETTLE_S
        for service in total.services.keys() | self._controllers.keys():
            controller = self._controllers.setdefault(service, ServiceController())
            was_overloaded = controller.target is not None
            sample = total.services.get(service, ServiceSum())
            controller.update(sample, total.weights, elapsed_s, is_settled=is_settled)
            if was_overloaded != (controller.target is not None):
                self._log_change(service, controller)
        self._controllers = {
            service: controller
            for service, controller in self._controllers.items()
            if service in total.services or controller.target is not None
        }
        places: dict[str, int] = {}
        levels = [
            item.to_level(service, places) for service, item in sorted(self._controllers.items())
        ]
        number = 1 if self._decided is None else self._decided.number + 1
        services = [level for level in levels if level is not None]
        OVERLOADED_SERVICES.set(len(services))
        self._decided = AdmissionLevel(self._term, number, services, list(places))
        self._decided_at_s = now_s

    def _log_change(self, service: str, controller: ServiceController) -> None:
        is_overloaded = controller.target is not None
        event = Event.SERVICE_OVERLOADED if is_overloaded else Event.SERVICE_RELIEVED
        log_event(
            event,
            service=service,
            term=self._term,
            pressure=round(controller.pressure, 3),
            started=round(controller.started),
            target=round(controller.target or 0.0),
            cut=",".join(cut.tenant or "-" for cut in controller.cuts),
        )
