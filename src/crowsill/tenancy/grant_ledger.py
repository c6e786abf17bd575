"""How much each tenant may use, granted ahead of use by the one leader. Pure.

The leader counts what it granted in the last window and grants as long as there is room. Nothing is
taken back: what a gateway was granted and never used, or lost with its memory, counts as used.

The bound. A grant is good for `GRANT_LIFETIME_S` from when it takes effect. Requests that were sent
and have arrived within a window W took effect within the window or one lifetime L before it. So the
leader counts over W + L, and a little more for clocks that run apart:

    granted in any (W + L)  <=  (rate x W + burst) x (1 + tolerance) + slack

Leaders change. What was granted, and what will be before the next record, is on the group's record
before it is granted (`RecordQuotaUse`); a successor takes all of it over as used, by age: what was
old when it was recorded leaves the successor's window the sooner, what was to be granted later
counts as granted when the successor began. So the sum of two leaders is bounded as that of one, and
a new one need not refuse everything.
"""

from collections import deque
from dataclasses import dataclass, field

from crowsill.model.tenants import Tenant

# Long enough for the way there and back with one packet lost and sent again (0.2 to 0.6 s). Each
# second costs a tenant a second of its rate in a window.
GRANT_LIFETIME_S = 0.8
# A grant may take effect so much later: a short wait serves a caller that a refusal would send
# away. What would wait for longer is refused, with the time at which there is room.
MAX_GRANT_DELAY_S = 0.3
# Counted for longer than the bound asks, in seconds: clocks of two machines may run apart.
CLOCK_MARGIN_S = 0.2
# Grants are counted together for so long, as of the end of it: a window then has 90 counts at most.
COUNT_S = 0.1
# What is recorded is divided into so many ages: with one, a successor would count what its
# predecessor granted 9 s ago as new. A large tenant at 0.55 of its rate, simulated for 100 s with a
# leader lost every 10 s: 0.74 of its requests refused with one age, none with 3; lost every 3 s:
# 0.86 with 3, none with 9.
AGES = 9
# What a leader may grant beyond what it counts now before it records again, in seconds of the rate:
# at the usual use it then records twice a second, and no request waits for it.
AHEAD_S = 1.0
# A record is made when less than this share of that is left.
LEAST_AHEAD = 0.5


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """What all requests of a tenant may amount to, over all gateways.

    Attributes:
        window_s: Length of the sliding window.
        tolerance: Share by which rate and burst may be exceeded in a window.
        slack: Units beyond that.
    """

    window_s: float = 10.0
    tolerance: float = 0.0
    slack: float = 0.0

    @property
    def counted_s(self) -> float:
        """Time over which grants are counted."""
        return self.window_s + GRANT_LIFETIME_S + CLOCK_MARGIN_S

    def allowed(self, tenant: Tenant) -> float:
        """Return the units that a tenant may be granted in that time."""
        whole = tenant.rate_per_s * self.window_s + tenant.burst
        return whole * (1.0 + self.tolerance) + self.slack


@dataclass(frozen=True, slots=True)
class GrantDecision:
    """What became of a question.

    Attributes:
        is_granted: Whether the units may be used.
        wait_s: When they may be, if granted; else when there will be room.
    """

    is_granted: bool
    wait_s: float


@dataclass(frozen=True, slots=True)
class InheritedUse:
    """What an earlier leader had on record for a tenant.

    Attributes:
        units: Units by age, the youngest first; `AGES` of them.
        applied_at_s: Clock when the record was applied here, or later.
    """

    units: list[float]
    applied_at_s: float


@dataclass(slots=True)
class _Account:
    """What counts for one tenant.

    Attributes:
        counts: Clock up to which grants are counted as new, and their units; oldest first.
        granted: Their sum.
        inherited: Clock until which units of earlier leaders count, and the units.
        ahead: Units that may be granted before the next record, by the last one.
        proposed: What a record that is under way allows to grant from when it was made.
        needed: Units of questions that could not be answered before a record.
        is_recorded: Whether the group may have anything on record.
        rate: Rate of the tenant.
        promised_s: Clock until which room is promised to those who were refused.
    """

    counts: deque[tuple[float, float]] = field(default_factory=deque)
    granted: float = 0.0
    inherited: list[tuple[float, float]] = field(default_factory=list)
    ahead: float = 0.0
    proposed: float = 0.0
    needed: float = 0.0
    is_recorded: bool = False
    rate: float = 0.0
    promised_s: float = 0.0

    def counted(self) -> float:
        """Return what counts now."""
        return self.granted + sum(units for _, units in self.inherited)


class GrantLedger:
    """The accounts of one leader's term.

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
        """Take over from earlier leaders.

        Args:
            bounds: What is to hold.
            inherited: What they had on record, by tenant.
            now_s: Clock since when none of them has granted anything.
        """
        self._bounds = bounds
        self._accounts: dict[str, _Account] = {}
        for name, use in inherited.items():
            self._accounts[name] = self._inherit(use, now_s)

    def _inherit(self, use: InheritedUse, now_s: float) -> _Account:
        counted_s = self._bounds.counted_s
        account = _Account(is_recorded=True)
        for age, units in enumerate(use.units):
            # The youngest may have been granted until this term began, and may take
            # effect a little later.
            since_s = now_s + MAX_GRANT_DELAY_S
            if age > 0:
                since_s = use.applied_at_s - age * counted_s / AGES
            account.inherited.append((since_s + counted_s, units))
        return account

    def _account(self, name: str, now_s: float) -> _Account:
        """Return an account without what counts no more."""
        account = self._accounts.setdefault(name, _Account())
        horizon_s = now_s - self._bounds.counted_s
        while account.counts and account.counts[0][0] <= horizon_s:
            account.granted -= account.counts.popleft()[1]
        if not account.counts:
            account.granted = 0.0
        if account.inherited:
            account.inherited = [item for item in account.inherited if item[0] > now_s]
        return account

    def grant(self, tenant: Tenant, units: float, now_s: float) -> GrantDecision | None:
        """Grant units if there is room for them, or will be soon.

        Args:
            tenant: The tenant as the configuration in force has it; its rate is limited.
            units: What is asked for.
            now_s: The clock.

        Returns:
            The decision; None when more has to be recorded first (`due`).
        """
        account = self._account(tenant.name, now_s)
        account.rate = tenant.rate_per_s
        wait_s = self._wait_s(account, tenant, units, now_s)
        if wait_s > MAX_GRANT_DELAY_S:
            return GrantDecision(False, self._back_s(account, tenant, units, wait_s, now_s))
        if units > account.ahead:
            account.needed += units
            return None
        self._count(account, units, now_s + wait_s)
        return GrantDecision(True, wait_s)

    def _count(self, account: _Account, units: float, effective_s: float) -> None:
        account.granted += units
        account.ahead -= units
        account.proposed -= units
        if account.counts and account.counts[-1][0] >= effective_s:
            counted_until_s, others = account.counts.pop()
            account.counts.append((counted_until_s, others + units))
            return
        account.counts.append((effective_s + COUNT_S, units))

    def _wait_s(self, account: _Account, tenant: Tenant, units: float, now_s: float) -> float:
        """Return when enough has left the window for these units; 0 when there is room now."""
        surplus = account.counted() + units - self._bounds.allowed(tenant)
        if surplus <= 0.0:
            return 0.0
        counted_s = self._bounds.counted_s
        leaving = [(at_s + counted_s, counted) for at_s, counted in account.counts]
        for leaves_s, counted in sorted([*leaving, *account.inherited]):
            surplus -= counted
            if surplus <= 0.0:
                return leaves_s - now_s
        # More than all that is allowed: no wait makes room for it.
        return counted_s

    def _back_s(
        self, account: _Account, tenant: Tenant, units: float, wait_s: float, now_s: float
    ) -> float:
        """Return when there will be room behind those who were refused before.

        Told the same time, all who were refused would come back at once, to be refused again.
        """
        window_s = self._bounds.window_s
        begins_s = max(now_s + wait_s, account.promised_s)
        account.promised_s = min(begins_s, now_s + window_s) + units / tenant.rate_per_s
        return min(begins_s - now_s, window_s)

    def due(self, now_s: float) -> dict[str, list[float]]:
        """Return what is to be recorded now, units by age for each tenant.

        Less ahead holds from now on, more from `note_recorded`. An account that counts nothing is
        recorded as an empty list, which forgets it.
        """
        found: dict[str, list[float]] = {}
        for name in list(self._accounts):
            account = self._account(name, now_s)
            usual = account.rate * AHEAD_S
            if account.counted() == 0.0 and account.needed == 0.0:
                if account.is_recorded:
                    found[name] = []
                    account.ahead, account.proposed = 0.0, 0.0
            elif account.needed > 0.0 or account.ahead < usual * LEAST_AHEAD:
                units = self._by_age(account, now_s)
                account.proposed = usual + account.needed
                account.ahead = min(account.ahead, account.proposed)
                account.is_recorded = True
                units[0] += account.proposed
                found[name] = units
            account.needed = 0.0
        return found

    def note_recorded(self, recorded: dict[str, list[float]]) -> None:
        """The group has on record what `due` returned."""
        for name, units in recorded.items():
            account = self._accounts[name]
            if units:
                account.ahead = account.proposed
            elif account.counted() == 0.0:
                account.is_recorded = False

    def _by_age(self, account: _Account, now_s: float) -> list[float]:
        """Return what counts now by age, the youngest first."""
        counted_s = self._bounds.counted_s
        units = [0.0] * AGES
        for at_s, counted in account.counts:
            units[_age(now_s - at_s, counted_s)] += counted
        for until_s, counted in account.inherited:
            units[_age(counted_s - (until_s - now_s), counted_s)] += counted
        return units


def _age(seconds: float, counted_s: float) -> int:
    """Return which of the ages some seconds are.

    >>> _age(-0.1, 9.0), _age(0.9, 9.0), _age(3.0, 9.0), _age(8.9, 9.0)
    (0, 0, 3, 8)
    """
    return min(AGES - 1, max(0, int(seconds * AGES / counted_s)))
