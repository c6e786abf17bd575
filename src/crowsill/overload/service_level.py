"""Recognises that a service is overloaded, and decides how much work is admitted meanwhile. Pure.

The target is work per second over all gateways. While callers meet full replicas, the work that is
started is all that there is room for. Otherwise the target grows until callers meet full replicas
again, or until nothing is cut any more.
"""

import math
from dataclasses import dataclass, field

from crowsill.model.service_pressure import ServiceLevel, TenantLevel
from crowsill.overload.fair_shares import TenantCut, tenant_cuts
from crowsill.overload.owed_work import OwedWork
from crowsill.overload.pressure_sums import ServiceSum, SmoothedDemand

UPDATE_INTERVAL_S = 0.25
# Share of the work that meets full replicas at which a level begins if it lasts for
# `ONSET_UPDATES`, and share at which it begins at once.
ONSET_SHARE = 0.06
ONSET_UPDATES = 2
CERTAIN_ONSET_SHARE = 0.12
# Shares above which the target falls, and below which it grows.
HIGH_SHARE = 0.03
LOW_SHARE = 0.015
# Chance alone fills the replicas of a service with so few requests per second.
MIN_REQUESTS_PER_S = 8.0
# A change of the target shows in the reports after about a second, so steps are small.
MAX_DECREASE = 0.15
MIN_STARTED_SHARE = 1.0
SLOW_DECREASE = 0.02
MIN_ROOM_SHARE = 0.95
INCREASE = 0.02
FAST_INCREASE = 0.06
FAST_INCREASE_AFTER_S = 2.0
# A level ends when nothing has been cut for this time.
END_AFTER_S = 3.0
# A service that starts less than this share of the target has lost its replicas.
MIN_SERVED_SHARE = 0.1
# Work that was started lately shows the room while callers' returns come in waves; it is forgotten
# with this time constant, since replicas may have been lost.
ROOM_TIME_CONSTANT_S = 6.0


@dataclass(slots=True)
class ServiceController:
    """The level of one service.

    Attributes:
        target: Work per second that is admitted; None while everything is.
        pressure: Share of the work that met full replicas at the last update.
        cuts: Tenants beyond their share.
    """

    target: float | None = None
    pressure: float = 0.0
    cuts: list[TenantCut] = field(default_factory=list)
    _demand: SmoothedDemand = field(default_factory=SmoothedDemand)
    _owed: OwedWork = field(default_factory=OwedWork)
    _full_updates: int = 0
    _low_for_s: float = 0.0
    _uncut_for_s: float = 0.0
    _overloaded_for_s: float = 0.0
    _room: float = 0.0
    _last_pressure: float = 0.0

    @property
    def started(self) -> float:
        """Work per second that replicas accept."""
        return self._demand.value.started

    def update(
        self, sample: ServiceSum, weights: dict[str, int], elapsed_s: float, *, is_settled: bool
    ) -> None:
        """Adjust the level to new sums.

        Args:
            sample: The current sums.
            weights: Weights of tenants in percent of the mean.
            elapsed_s: Time since the last update.
            is_settled: Whether the sums are complete; if not, the target stays as it is.
        """
        self._demand.update(sample, elapsed_s)
        demand = self._demand.value
        met = sample.full + sample.started
        self._last_pressure = self.pressure
        self.pressure = sample.full / met if met > 0.0 else 0.0
        told_s = {cut.tenant: cut.retry_after_s for cut in self.cuts}
        self._owed.update(sample.refused, told_s, elapsed_s)
        self._room = max(demand.started, self._room * math.exp(-elapsed_s / ROOM_TIME_CONSTANT_S))
        if is_settled:
            self._adjust_target(sample, demand, elapsed_s)
        self.cuts = []
        if self.target is None:
            return
        # Two passes: what is owed is divided by the share, which the first pass finds.
        target = self.target / self._demand.outlook
        bare = tenant_cuts(demand.asked, weights, target, {})
        delays_s = {
            cut.tenant: self._owed.retry_after_s(
                cut, demand.asked[cut.tenant], self._overloaded_for_s
            )
            for cut in bare
        }
        self.cuts = tenant_cuts(demand.asked, weights, target, delays_s)

    def _adjust_target(self, sample: ServiceSum, demand: ServiceSum, elapsed_s: float) -> None:
        if self.target is None:
            if self._has_begun(sample):
                self.target = demand.started
                self._low_for_s = self._uncut_for_s = self._overloaded_for_s = 0.0
            return
        self._overloaded_for_s += elapsed_s
        if self._has_ended(demand, elapsed_s):
            self.target = None
            self._full_updates = 0
            return
        if self.pressure > HIGH_SHARE:
            self._low_for_s = 0.0
            self.target = self._decreased(self.target)
            return
        if self.pressure < LOW_SHARE and self.cuts:
            self._low_for_s += elapsed_s
            is_fast = self.target < self._room or self._low_for_s > FAST_INCREASE_AFTER_S
            increase = FAST_INCREASE if is_fast else INCREASE
            self.target *= 1.0 + increase * elapsed_s / UPDATE_INTERVAL_S
        # More may be started than is admitted where gateways see free places.
        self.target = max(self.target, demand.started)

    def _has_begun(self, sample: ServiceSum) -> bool:
        """Whether the service is overloaded."""
        if sample.requests < MIN_REQUESTS_PER_S or sample.started <= 0.0:
            self._full_updates = 0
            return False
        self._full_updates = self._full_updates + 1 if self.pressure >= ONSET_SHARE else 0
        return self.pressure >= CERTAIN_ONSET_SHARE or self._full_updates >= ONSET_UPDATES

    def _decreased(self, target: float) -> float:
        """Return the target after an update in which callers met full replicas."""
        room = MIN_STARTED_SHARE * self._room
        if target > room:
            return max(room, target * (1.0 - MAX_DECREASE))
        if self.pressure < self._last_pressure:
            # What waits already is being served.
            return target
        # More is admitted than was expected, since demand rises.
        decrease = min(SLOW_DECREASE, self.pressure)
        return min(target, max(MIN_ROOM_SHARE * self._room, target * (1.0 - decrease)))

    def _has_ended(self, demand: ServiceSum, elapsed_s: float) -> bool:
        """Whether the level ends: nothing is cut any more, or there is nothing to divide."""
        target = self.target or 0.0
        if demand.started < MIN_SERVED_SHARE * target or demand.requests < MIN_REQUESTS_PER_S / 2:
            return True
        is_uncut = not self.cuts and self.pressure < HIGH_SHARE
        self._uncut_for_s = self._uncut_for_s + elapsed_s if is_uncut else 0.0
        return self._uncut_for_s >= END_AFTER_S

    def to_level(self, service: str, places: dict[str, int]) -> ServiceLevel | None:
        """Return the level to tell gateways; None while everything is admitted.

        Args:
            service: The service.
            places: Positions of tenants in the list of the whole level; further ones are added.
        """
        if self.target is None:
            return None
        cuts = [
            TenantLevel(
                places.setdefault(cut.tenant, len(places)),
                cut.cut_class,
                cut.share_percent,
                round(cut.retry_after_s * 10.0),
            )
            for cut in self.cuts
        ]
        return ServiceLevel(service, round(self.target), cuts)
