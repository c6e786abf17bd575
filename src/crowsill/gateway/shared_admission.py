"""The admission that all gateways decide together, at one gateway.

It counts demand for the next heartbeat and keeps the level from the last reply.
"""

from random import Random

from crowsill.clock import monotonic_s
from crowsill.events import Event
from crowsill.gateway.admission_level import LevelView
from crowsill.logs import log_event
from crowsill.model.service_pressure import AdmissionLevel, PressureReport
from crowsill.model.tenants import Tenant
from crowsill.overload.fair_shares import tenant_weights
from crowsill.overload.pressure_counter import PressureCounter


class SharedAdmission:
    """Demand at this gateway, and the level in force here.

    Attributes:
        counter: Work since the last report.
        view: The newest level.
        random: Draws which requests of a class are admitted, and spreads callers' returns.
    """

    def __init__(self, random: Random) -> None:
        self.counter = PressureCounter(monotonic_s())
        self.view = LevelView()
        self.random = random
        self._weights: dict[str, int] = {}
        self._limited: frozenset[str] = frozenset()

    def use_tenants(self, tenants: list[Tenant]) -> None:
        """Apply the tenants of a new configuration."""
        self._weights = tenant_weights(tenants)

    def report(self) -> PressureReport:
        """Return the demand since the last report, for the next heartbeat."""
        now_s = monotonic_s()
        self.log_changes(now_s)
        return self.counter.collect(self._weights, now_s)

    def note_level(self, level: AdmissionLevel) -> None:
        """Adopt the level of a heartbeat's reply if it is newer than the known one."""
        now_s = monotonic_s()
        self.view.note(level, now_s)
        self.log_changes(now_s)

    def log_changes(self, now_s: float) -> None:
        """Log when admission to a service begins or ceases to be limited."""
        limited = self.view.limited_services(now_s)
        if limited == self._limited:
            return
        is_expired = not self.view.is_fresh(now_s)
        event = Event.LEVEL_EXPIRED if is_expired else Event.LEVEL_CHANGED
        log_event(event, limited=",".join(sorted(limited)), before=",".join(sorted(self._limited)))
        self._limited = limited
