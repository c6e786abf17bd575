"""Units that each tenant may use, granted by the single leader before they are used. Pure.

The leader counts the units that it granted in the last window, and grants more while there is room.
Grants are never returned: units that a gateway doesn't use, or loses in a crash, count as used.

The bound: a grant is valid for `GRANT_LIFETIME_S` from the time when it takes effect. For a request
that is sent and arrives within a window W, the grant took effect within W or one lifetime L before
it. So the leader counts grants over W + L, plus a margin for clocks that run at different speeds:

    granted in any (W + L)  <=  (rate x W + burst) x (1 + tolerance) + slack

Change of leaders: units are committed to the group's record (`RecordQuotaUse`) before they are
granted. The record holds the units granted so far by age, and a reserve for the grants until the
next record. A successor counts all recorded units as used: older ones leave its window sooner, and
the reserve counts as granted when the successor's term started. So the bound also holds for the sum
of both leaders, and a new leader doesn't have to reject all requests.
"""

from collections import deque
from dataclasses import dataclass, field

from crowsill.model.tenants import Tenant

# Covers a round trip with one lost packet, which is sent again after 0.2 to 0.6 s. Each second of
# lifetime costs a tenant one second of its rate in each window.
GRANT_LIFETIME_S = 0.8
# Maximum time after which a grant takes effect. A short wait serves a caller that would otherwise
# be rejected. Requests that would wait for longer are rejected with the time when there is room.
MAX_GRANT_DELAY_S = 0.3
# Time for which grants count beyond the bound, because clocks of two machines may run at different
# speeds.
CLOCK_MARGIN_S = 0.2
# Grants of this interval are counted together, as of its end, so that a window has at most 90
# counts.
COUNT_INTERVAL_S = 0.1
# Number of ages by which the record groups units. With one age, a successor counts units that were
# granted 9 s ago as new. In a simulation of 100 s with a large tenant at 0.55 of its rate and a
# leader lost every 10 s, 0.74 of the requests were rejected with 1 age and none with 3; with a
# leader lost every 3 s, 0.86 were rejected with 3 ages and none with 9.
AGE_BUCKETS = 9
# Units that a leader may grant between two records, as seconds of the tenant's rate: at usual load
# the leader then records twice per second, and no request waits for a record.
RESERVE_S = 1.0
# A new record is due when less than this share of the reserve is left.
MIN_RESERVE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """The bound on the units of all requests of a tenant, over all gateways.

    Attributes:
        window_s: Length of the sliding window, in seconds.
        tolerance: Share by which rate and burst may be exceeded in a window.
        slack: Further units allowed in a window.
    """

    window_s: float = 10.0
    tolerance: float = 0.0
    slack: float = 0.0

    @property
    def accounting_window_s(self) -> float:
        """Time over which grants are counted, in seconds."""
        return self.window_s + GRANT_LIFETIME_S + CLOCK_MARGIN_S

    def allowed(self, tenant: Tenant) -> float:
        """Return the units that a tenant may be granted in `accounting_window_s`."""
        nominal = tenant.rate_per_s * self.window_s + tenant.burst
        return nominal * (1.0 + self.tolerance) + self.slack


@dataclass(frozen=True, slots=True)
class GrantDecision:
    """The decision on a request for units.

    Attributes:
        is_granted: Whether the units may be used.
        wait_s: Time until the grant takes effect, or until there is room if it is rejected, in
            seconds.
    """

    is_granted: bool
    wait_s: float


@dataclass(frozen=True, slots=True)
class InheritedUse:
    """Units of a tenant that an earlier leader recorded.

    Attributes:
        units: Units by age, the newest first; `AGE_BUCKETS` values.
        applied_at_s: Monotonic time when the record was applied at this member, or a later time, in
            seconds.
    """

    units: list[float]
    applied_at_s: float


@dataclass(slots=True)
class _Account:
    """The counted units of one tenant. All times are monotonic, in seconds.

    Attributes:
        counts: Time up to which grants are counted as new, and their units; oldest first.
        granted: Sum of the units in `counts`.
        inherited: Time until which units of earlier leaders count, and the units.
        reserve: Units that the last record still allows to grant.
        proposed_reserve: Units that a record in progress allows to grant, minus the grants since
            it was made.
        missing_reserve: Units of requests that need a further record.
        is_recorded: Whether the group's record may contain units of the tenant.
        rate: Rate of the tenant, in units per second.
        next_return_at_s: Time up to which future room is already assigned to rejected requests.
    """

    counts: deque[tuple[float, float]] = field(default_factory=deque)
    granted: float = 0.0
    inherited: list[tuple[float, float]] = field(default_factory=list)
    reserve: float = 0.0
    proposed_reserve: float = 0.0
    missing_reserve: float = 0.0
    is_recorded: bool = False
    rate: float = 0.0
    next_return_at_s: float = 0.0

    def counted(self) -> float:
        """Return the units that count now."""
        return self.granted + sum(units for _, units in self.inherited)


class GrantLedger:
    """The accounts of all tenants during one leader's term.

    >>> from crowsill.model.tenants import Tenant
    >>> ledger = GrantLedger(QuotaBounds(), {}, now_s=0.0)
    >>> tenant = Tenant("t", rate_per_s=10.0, burst=20.0)
    >>> ledger.grant(tenant, 1.0, 100.0) is None
    True
    >>> ledger.note_recorded(ledger.due(100.0))
    >>> ledger.grant(tenant, 1.0, 100.0)
    GrantDecision(is_granted=True, wait_s=0.0)
    """

    def __init__(
        self, bounds: QuotaBounds, inherited: dict[str, InheritedUse], now_s: float
    ) -> None:
        """Start with the recorded units of earlier leaders.

        Args:
            bounds: The bound on the units of each tenant.
            inherited: Recorded units of earlier leaders, by tenant.
            now_s: Monotonic time after which no earlier leader grants units, in seconds.
        """
        self._bounds = bounds
        self._accounts: dict[str, _Account] = {}
        for name, use in inherited.items():
            self._accounts[name] = self._inherit(use, now_s)

    def _inherit(self, use: InheritedUse, now_s: float) -> _Account:
        accounting_window_s = self._bounds.accounting_window_s
        account = _Account(is_recorded=True)
        for age, units in enumerate(use.units):
            # The newest units may have been granted until this term started, and their grants take
            # effect up to `MAX_GRANT_DELAY_S` later.
            counted_from_s = now_s + MAX_GRANT_DELAY_S
            if age > 0:
                counted_from_s = use.applied_at_s - age * accounting_window_s / AGE_BUCKETS
            account.inherited.append((counted_from_s + accounting_window_s, units))
        return account

    def _account(self, name: str, now_s: float) -> _Account:
        """Return the account of a tenant after removing units that no longer count."""
        account = self._accounts.setdefault(name, _Account())
        horizon_s = now_s - self._bounds.accounting_window_s
        while account.counts and account.counts[0][0] <= horizon_s:
            account.granted -= account.counts.popleft()[1]
        if not account.counts:
            account.granted = 0.0
        if account.inherited:
            account.inherited = [item for item in account.inherited if item[0] > now_s]
        return account

    def grant(self, tenant: Tenant, units: float, now_s: float) -> GrantDecision | None:
        """Grant units if there is room for them now or within `MAX_GRANT_DELAY_S`.

        Args:
            tenant: The tenant in the active configuration; it must have a rate limit.
            units: Requested units.
            now_s: Monotonic time in seconds.

        Returns:
            The decision; None if more units have to be recorded first (`due`).
        """
        account = self._account(tenant.name, now_s)
        account.rate = tenant.rate_per_s
        wait_s = self._wait_s(account, tenant, units, now_s)
        if wait_s > MAX_GRANT_DELAY_S:
            return GrantDecision(False, self._retry_after_s(account, tenant, units, wait_s, now_s))
        if units > account.reserve:
            account.missing_reserve += units
            return None
        self._count(account, units, now_s + wait_s)
        return GrantDecision(True, wait_s)

    def _count(self, account: _Account, units: float, effective_at_s: float) -> None:
        account.granted += units
        account.reserve -= units
        account.proposed_reserve -= units
        if account.counts and account.counts[-1][0] >= effective_at_s:
            counted_until_s, others = account.counts.pop()
            account.counts.append((counted_until_s, others + units))
            return
        account.counts.append((effective_at_s + COUNT_INTERVAL_S, units))

    def _wait_s(self, account: _Account, tenant: Tenant, units: float, now_s: float) -> float:
        """Return the time until there is room for these units, in seconds; 0 if there is now."""
        excess = account.counted() + units - self._bounds.allowed(tenant)
        if excess <= 0.0:
            return 0.0
        accounting_window_s = self._bounds.accounting_window_s
        expiring = [(at_s + accounting_window_s, counted) for at_s, counted in account.counts]
        for expires_at_s, counted in sorted([*expiring, *account.inherited]):
            excess -= counted
            if excess <= 0.0:
                return expires_at_s - now_s
        # The units exceed the bound of a whole window, so there is never room for them.
        return accounting_window_s

    def _retry_after_s(
        self, account: _Account, tenant: Tenant, units: float, wait_s: float, now_s: float
    ) -> float:
        """Return the time until there is room after earlier rejected requests, in seconds.

        With the same time, all rejected callers would retry at once and be rejected again.
        """
        window_s = self._bounds.window_s
        returns_at_s = max(now_s + wait_s, account.next_return_at_s)
        account.next_return_at_s = min(returns_at_s, now_s + window_s) + units / tenant.rate_per_s
        return min(returns_at_s - now_s, window_s)

    def due(self, now_s: float) -> dict[str, list[float]]:
        """Return the units to record now by age, for each tenant.

        A lower reserve is in effect at once, a higher one from `note_recorded` on. An account
        without counted units is recorded as an empty list, which removes it from the record.
        """
        found: dict[str, list[float]] = {}
        for name in list(self._accounts):
            account = self._account(name, now_s)
            full_reserve = account.rate * RESERVE_S
            if account.counted() == 0.0 and account.missing_reserve == 0.0:
                if account.is_recorded:
                    found[name] = []
                    account.reserve, account.proposed_reserve = 0.0, 0.0
            elif (
                account.missing_reserve > 0.0 or account.reserve < full_reserve * MIN_RESERVE_SHARE
            ):
                units = self._by_age(account, now_s)
                account.proposed_reserve = full_reserve + account.missing_reserve
                account.reserve = min(account.reserve, account.proposed_reserve)
                account.is_recorded = True
                units[0] += account.proposed_reserve
                found[name] = units
            account.missing_reserve = 0.0
        return found

    def note_recorded(self, recorded: dict[str, list[float]]) -> None:
        """Apply the reserves after the group has committed the result of `due`."""
        for name, units in recorded.items():
            account = self._accounts[name]
            if units:
                account.reserve = account.proposed_reserve
            elif account.counted() == 0.0:
                account.is_recorded = False

    def _by_age(self, account: _Account, now_s: float) -> list[float]:
        """Return the units that count now by age, the newest first."""
        accounting_window_s = self._bounds.accounting_window_s
        units = [0.0] * AGE_BUCKETS
        for at_s, counted in account.counts:
            units[_age_bucket(now_s - at_s, accounting_window_s)] += counted
        for until_s, counted in account.inherited:
            units[_age_bucket(accounting_window_s - (until_s - now_s), accounting_window_s)] += (
                counted
            )
        return units


def _age_bucket(seconds: float, accounting_window_s: float) -> int:
    """Return the index of the age bucket for an age in seconds.

    >>> _age_bucket(-0.1, 9.0), _age_bucket(0.9, 9.0), _age_bucket(3.0, 9.0), _age_bucket(8.9, 9.0)
    (0, 0, 3, 8)
    """
    return min(AGE_BUCKETS - 1, max(0, int(seconds * AGE_BUCKETS / accounting_window_s)))
