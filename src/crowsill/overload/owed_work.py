"""Estimates when work that is refused now will be admitted. Pure.

A caller that comes back while more urgent work still takes all of its tenant's share is refused
again. How long that lasts is unknown; an overload that has lasted for some time is expected to last
as long again.
"""

import math
from dataclasses import dataclass, field

from crowsill.overload.fair_shares import TenantCut

# Callers are expected to come back within this time, or not at all.
OWED_LIFETIME_S = 10.0
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 10.0
# If more urgent work leaves less than this part of a tenant's share, nothing is refused for a time
# that depends on it.
MIN_LEFT_SHARE = 0.1


def refused_work(asked: dict[int, float], cut: TenantCut) -> float:
    """Return the work per second that a cut refuses.

    >>> refused_work({1: 4.0, 3: 8.0, 5: 8.0}, TenantCut("a", 3, 75, 0.0))
    10.0
    """
    cut_share = 1.0 - cut.share_percent / 100.0
    beyond = sum(rate for number, rate in asked.items() if number > cut.cut_class)
    return beyond + cut_share * asked.get(cut.cut_class, 0.0)


@dataclass(slots=True)
class OwedWork:
    """Work of each tenant that was refused and has not come back yet."""

    _owed: dict[str, float] = field(default_factory=dict)

    def update(
        self, asked: dict[str, dict[int, float]], refused: dict[str, float], elapsed_s: float
    ) -> None:
        """Add what was refused and subtract what came back.

        Args:
            asked: Work per second by tenant and class.
            refused: Work per second that was refused, by tenant.
            elapsed_s: Time since the last update.
        """
        kept_share = math.exp(-elapsed_s / OWED_LIFETIME_S)
        for tenant in refused.keys() | self._owed.keys():
            change = (refused.get(tenant, 0.0) - _returned(asked.get(tenant, {}))) * elapsed_s
            self._owed[tenant] = max(0.0, self._owed.get(tenant, 0.0) * kept_share + change)
        self._owed = {tenant: work for tenant, work in self._owed.items() if work > 0.0}

    def retry_after_s(
        self, cut: TenantCut, asked: dict[int, float], overloaded_for_s: float
    ) -> float:
        """Return when work that a cut refuses now is expected to be admitted.

        Args:
            cut: The cut of the tenant.
            asked: The tenant's work per second by class.
            overloaded_for_s: Time since the level of the service began.
        """
        share = sum(asked.values()) - refused_work(asked, cut)
        owed = self._owed.get(cut.tenant, 0.0)
        if share <= 0.0:
            return MAX_RETRY_AFTER_S
        first_tries = sum(
            rate for number, rate in asked.items() if number < cut.cut_class and number % 2 == 1
        )
        left = share - first_tries
        has_left = left >= MIN_LEFT_SHARE * share
        delay_s = owed / left if has_left else overloaded_for_s + owed / share
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, delay_s))


def _returned(asked: dict[int, float]) -> float:
    """Return the work of callers that came back; their classes are even."""
    return sum(rate for number, rate in asked.items() if number % 2 == 0)
