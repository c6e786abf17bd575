"""Recognises that a service is overloaded, and decides how much work is admitted meanwhile. Pure.

The target is work per second over all gateways. While callers meet full replicas, the work that is
started is all that there is room for. Otherwise the target grows until callers meet full replicas
again, or until nothing is cut any more.
"""

import math
from dataclasses import dataclass, field

from crowsill.model.service_pressure import ServiceLevel, TenantLevel
from crowsill.overload.fair_shares import cut_levels
from crowsill.overload.pressure_sums import ServiceSum, SmoothedDemand

UPDATE_INTERVAL_S = 0.25
# A gateway reports every 0.5 s; a shorter time constant follows the noise of single reports.
TIME_CONSTANT_S = 0.5
# Share of the work that meets full replicas at which a level begins, if it lasts for
# `ONSET_UPDATES`; half of that lowers the target.
ONSET_SHARE = 0.1
ONSET_UPDATES = 2
HIGH_SHARE = 0.05
LOW_SHARE = 0.03
# Chance alone fills the replicas of a service with so few requests per second.
MIN_REQUESTS_PER_S = 8.0
# A change of the target shows in the reports after about a second, so steps are small.
MAX_DECREASE = 0.15
MIN_STARTED_SHARE = 0.97
INCREASE = 0.02
FAST_INCREASE = 0.06
FAST_INCREASE_AFTER_S = 1.0
# A level ends when nothing has been cut for this time.
END_AFTER_S = 1.0
# A service that starts less than this share of the target has lost its replicas.
MIN_SERVED_SHARE = 0.1
# Callers are expected to come back within this time, or not at all.
OWED_LIFETIME_S = 10.0
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 10.0


@dataclass(slots=True)
class OwedWork:
    """Work of each tenant that was refused and has not come back yet."""

    _owed: dict[str, float] = field(default_factory=dict)

    def update(
        self, asked: dict[str, dict[int, float]], levels: list[TenantLevel], elapsed_s: float
    ) -> None:
        """Add what was refused and subtract what came back.

        Args:
            asked: Work per second by tenant and class.
            levels: The levels that were in force.
            elapsed_s: Time since the last update.
        """
        refused = {
            level.tenant: refused_work(asked.get(level.tenant, {}), level) for level in levels
        }
        kept_share = math.exp(-elapsed_s / OWED_LIFETIME_S)
        for tenant in refused.keys() | self._owed.keys():
            # Classes of callers that come back are even.
            returned = sum(
                rate for number, rate in asked.get(tenant, {}).items() if number % 2 == 0
            )
            change = (refused.get(tenant, 0.0) - returned) * elapsed_s
            self._owed[tenant] = max(0.0, self._owed.get(tenant, 0.0) * kept_share + change)
        self._owed = {tenant: work for tenant, work in self._owed.items() if work > 0.0}

    def retry_after_s(self, tenant: str, admitted: float) -> float:
        """Return when work of a tenant that is refused now is expected to be admitted.

        Args:
            tenant: The tenant.
            admitted: Its work per second that is admitted.
        """
        if admitted <= 0.0:
            return MAX_RETRY_AFTER_S
        delay_s = self._owed.get(tenant, 0.0) / admitted
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, delay_s))


def refused_work(asked: dict[int, float], level: TenantLevel) -> float:
    """Return the work per second that a level refuses.

    >>> refused_work({1: 4.0, 3: 8.0, 5: 8.0}, TenantLevel("a", 3, 75, 0))
    10.0
    """
    cut_share = 1.0 - level.share_percent / 100.0
    beyond = sum(rate for number, rate in asked.items() if number > level.cut_class)
    return beyond + cut_share * asked.get(level.cut_class, 0.0)


@dataclass(slots=True)
class ServiceController:
    """The level of one service.

    Attributes:
        target: Work per second that is admitted; None while everything is.
        pressure: Share of the work that met full replicas at the last update.
        levels: Tenants that are cut.
    """

    target: float | None = None
    pressure: float = 0.0
    levels: list[TenantLevel] = field(default_factory=list)
    _demand: SmoothedDemand = field(default_factory=SmoothedDemand)
    _owed: OwedWork = field(default_factory=OwedWork)
    _full_updates: int = 0
    _low_for_s: float = 0.0
    _uncut_for_s: float = 0.0

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
        self._demand.update(sample, elapsed_s, TIME_CONSTANT_S)
        demand = self._demand.value
        met = demand.full + demand.started
        self.pressure = demand.full / met if met > 0.0 else 0.0
        self._owed.update(demand.asked, self.levels, elapsed_s)
        if is_settled:
            self._adjust_target(demand, elapsed_s)
        self.levels = []
        if self.target is None:
            return
        # Two passes: what is owed is divided by the share, which the first pass finds.
        bare = cut_levels(demand.asked, weights, self.target, {})
        delays_s = {level.tenant: self._retry_after_s(demand, level) for level in bare}
        self.levels = cut_levels(demand.asked, weights, self.target, delays_s)

    def _retry_after_s(self, demand: ServiceSum, level: TenantLevel) -> float:
        asked = demand.asked[level.tenant]
        return self._owed.retry_after_s(
            level.tenant, sum(asked.values()) - refused_work(asked, level)
        )

    def _adjust_target(self, demand: ServiceSum, elapsed_s: float) -> None:
        if self.target is None:
            is_full = self.pressure >= ONSET_SHARE and demand.requests >= MIN_REQUESTS_PER_S
            self._full_updates = self._full_updates + 1 if is_full else 0
            if self._full_updates >= ONSET_UPDATES and demand.started > 0.0:
                self.target = demand.started
                self._low_for_s = self._uncut_for_s = 0.0
            return
        if self._has_ended(demand, elapsed_s):
            self.target = None
            self._full_updates = 0
            return
        if self.pressure > HIGH_SHARE:
            self._low_for_s = 0.0
            lowest = MIN_STARTED_SHARE * demand.started
            decrease = min(MAX_DECREASE, self.pressure)
            self.target = min(self.target, max(lowest, self.target * (1.0 - decrease)))
        elif self.pressure < LOW_SHARE:
            self._low_for_s += elapsed_s
            is_fast = self._low_for_s > FAST_INCREASE_AFTER_S
            increase = FAST_INCREASE if is_fast else INCREASE
            self.target *= 1.0 + increase * elapsed_s / UPDATE_INTERVAL_S

    def _has_ended(self, demand: ServiceSum, elapsed_s: float) -> bool:
        """Whether the level ends: nothing is cut any more, or there is nothing to divide."""
        target = self.target or 0.0
        if demand.started < MIN_SERVED_SHARE * target or demand.requests < MIN_REQUESTS_PER_S / 2:
            return True
        is_uncut = not self.levels and self.pressure < HIGH_SHARE
        self._uncut_for_s = self._uncut_for_s + elapsed_s if is_uncut else 0.0
        return self._uncut_for_s >= END_AFTER_S

    def to_level(self, service: str) -> ServiceLevel | None:
        """Return the level to tell gateways; None while everything is admitted."""
        if self.target is None:
            return None
        return ServiceLevel(service, round(self.target), self.levels)
