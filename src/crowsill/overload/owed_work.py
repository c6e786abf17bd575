"""Estimates when work that is refused now will be admitted. Pure.

How long an overload lasts is unknown; one that has lasted for some time is expected to last as long
again. Callers that come back are admitted like all others of their rank, so those that are refused
now are told to come after that, and after the work that was refused before and told a time still
ahead.
"""

from collections import deque
from dataclasses import dataclass, field

from crowsill.overload.fair_shares import TenantCut

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 10.0
# Callers that are refused are told times spread over this share of their delay, and at least this
# time, so that they don't come back together.
RETRY_SPREAD_SHARE = 1.0
MIN_RETRY_SPREAD_S = 1.5
# Refused work is served at the rate that more urgent work leaves of its tenant's share, at least at
# this part of the share.
MIN_LEFT_SHARE = 0.1


def refused_work(asked: dict[int, float], cut: TenantCut) -> float:
    """Return the work per second that a cut refuses.

    >>> refused_work({1: 4.0, 2: 8.0, 3: 8.0}, TenantCut("a", 2, 75, 0.0))
    10.0
    """
    cut_share = 1.0 - cut.share_percent / 100.0
    beyond = sum(rate for number, rate in asked.items() if number > cut.cut_class)
    return beyond + cut_share * asked.get(cut.cut_class, 0.0)


def retry_spread_s(delay_s: float) -> float:
    """Return the time over which callers that are told a delay come back after it.

    >>> retry_spread_s(0.5), retry_spread_s(4.0)
    (1.5, 4.0)
    """
    return max(MIN_RETRY_SPREAD_S, delay_s * RETRY_SPREAD_SHARE)


@dataclass(slots=True)
class OwedWork:
    """Work of each tenant that was refused and whose time to come back is still ahead.

    >>> owed = OwedWork()
    >>> owed.update({"a": 8.0}, {"a": 1.0}, 0.25)
    >>> owed.of("a")
    2.0
    >>> owed.update({}, {}, 2.0)
    >>> owed.of("a")
    0.0
    """

    _now_s: float = 0.0
    # Time when each part of the work is expected back, and the part, by tenant.
    _parts: dict[str, deque[tuple[float, float]]] = field(default_factory=dict)

    def update(self, refused: dict[str, float], told_s: dict[str, float], elapsed_s: float) -> None:
        """Add what was refused, and drop what is expected back by now.

        Args:
            refused: Work per second that was refused, by tenant.
            told_s: Delay that callers were told, by tenant.
            elapsed_s: Time since the last update.
        """
        self._now_s += elapsed_s
        for tenant, rate in refused.items():
            delay_s = told_s.get(tenant, MIN_RETRY_AFTER_S)
            due_at_s = self._now_s + delay_s + retry_spread_s(delay_s) / 2.0
            if rate > 0.0:
                self._parts.setdefault(tenant, deque()).append((due_at_s, rate * elapsed_s))
        for tenant, parts in list(self._parts.items()):
            left = deque(part for part in parts if part[0] > self._now_s)
            if left:
                self._parts[tenant] = left
            else:
                del self._parts[tenant]

    def of(self, tenant: str) -> float:
        """Return the work that a tenant is owed."""
        return sum((work for _, work in self._parts.get(tenant, ())), 0.0)

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
        if share <= 0.0:
            return MAX_RETRY_AFTER_S
        owed = self.of(cut.tenant)
        left = share - sum(rate for number, rate in asked.items() if number < cut.cut_class)
        delay_s = overloaded_for_s + owed / max(left, MIN_LEFT_SHARE * share)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, delay_s))
