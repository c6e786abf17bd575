"""Simulation of strategies to enforce a tenant's rate over many gateways, with the real ledger.

The few callers of a tenant reach few of the gateways, and sometimes move to another one. The
simulation counts requests that a strategy rejects although the sum over all gateways leaves room
for them in the sliding window.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

import msgspec

from crowsill.model.tenants import RateUnit, Tenant
from crowsill.tenancy.grant_ledger import GrantLedger, InheritedUse, QuotaBounds

BOUNDS = QuotaBounds(window_s=8.0, tolerance=0.1, slack=17000.0)
SIMULATED_S = 60.0
CALLERS = 11
CALLER_MOVES_PER_S = 0.05
REQUEST_UNITS = 2200.0
# A tenant uses 0.55 of its rate, and five times as much in these seconds of the simulation.
NORMAL_LOAD = 0.55
PEAK_SECONDS = range(20, 30)
PEAK_FACTOR = 5.0
# The leader fails at this interval; each time there is no leader for `OUTAGE_S`.
OUTAGE_INTERVAL_S = 15.0
OUTAGE_S = 0.7
# Shares by demand are recomputed at this interval from the requests since the last time. The share
# `EVEN_SHARE` of the rate is divided evenly, so that gateways without recent requests have some.
REBALANCE_INTERVAL_S = 1.0
EVEN_SHARE = 0.2


class QuotaFigures(msgspec.Struct, frozen=True):
    """Result of one strategy for one tenant and one number of gateways.

    Attributes:
        way: Class name of the strategy.
        gateways: Number of gateways.
        tenant: The tenant's name.
        asked: Units requested.
        refused_in_vain: Share of the requested units that were rejected although there was room.
        fullest_window: Maximum units in a window, as a share of the allowed maximum.
        messages_per_s: Messages sent over the network per second.
    """

    way: str
    gateways: int
    tenant: str
    asked: float
    refused_in_vain: float
    fullest_window: float
    messages_per_s: float


class Strategy(Protocol):
    """Decides which requests are admitted; `messages` counts its messages over the network."""

    messages: int

    def admits(self, gateway: int, units: float, now_s: float) -> bool:
        """Return whether a request of so many units at a gateway is admitted."""


@dataclass
class _Bucket:
    rate: float
    capacity: float
    level: float
    updated_at_s: float = 0.0

    def take(self, units: float, now_s: float) -> bool:
        self.level = min(self.capacity, self.level + (now_s - self.updated_at_s) * self.rate)
        self.updated_at_s = now_s
        if self.level < units:
            return False
        self.level -= units
        return True


class EvenShares:
    """Each gateway has an equal share of the rate, as of the retry budget."""

    def __init__(self, tenant: Tenant, gateways: int) -> None:
        self.messages = 0
        share = _bucket_capacity(tenant) / gateways
        self._buckets = [
            _Bucket(tenant.rate_per_s / gateways, share, share) for _ in range(gateways)
        ]

    def admits(self, gateway: int, units: float, now_s: float) -> bool:
        """Return whether a request of so many units at a gateway is admitted."""
        return self._buckets[gateway].take(units, now_s)


class SharesByDemand:
    """Divides the rate by recent demand; all lower shares take effect before any higher one."""

    def __init__(self, tenant: Tenant, gateways: int) -> None:
        self.messages = 0
        self._tenant = tenant
        self._requested = [0.0] * gateways
        capacity = _bucket_capacity(tenant) / gateways
        rate = tenant.rate_per_s / gateways
        self._buckets = [_Bucket(rate, capacity, capacity) for _ in range(gateways)]
        self._next_s = REBALANCE_INTERVAL_S

    def admits(self, gateway: int, units: float, now_s: float) -> bool:
        """Return whether a request of so many units at a gateway is admitted."""
        if now_s >= self._next_s:
            self._rebalance(now_s)
        self._requested[gateway] += units
        return self._buckets[gateway].take(units, now_s)

    def _rebalance(self, now_s: float) -> None:
        self._next_s = now_s + REBALANCE_INTERVAL_S
        if now_s % OUTAGE_INTERVAL_S < OUTAGE_S:
            return
        count, total = len(self._buckets), sum(self._requested) or 1.0
        capacity = _bucket_capacity(self._tenant)
        for bucket, requested in zip(self._buckets, self._requested, strict=True):
            share = EVEN_SHARE / count + (1.0 - EVEN_SHARE) * requested / total
            bucket.rate, bucket.capacity = self._tenant.rate_per_s * share, capacity * share
            bucket.level = min(bucket.level, bucket.capacity)
        # Two messages to each gateway: one lowers its share, one raises it.
        self.messages += 2 * count
        self._requested = [0.0] * count


class LeaderBucket:
    """The leader has one bucket; a new leader starts with an empty one."""

    def __init__(self, tenant: Tenant, gateways: int) -> None:
        self.messages = 0
        capacity = _bucket_capacity(tenant)
        self._bucket = _Bucket(tenant.rate_per_s, capacity, capacity)
        self._term_began_at_s = 0.0

    def admits(self, gateway: int, units: float, now_s: float) -> bool:
        """Return whether a request of so many units at a gateway is admitted."""
        outage_began_at_s = now_s - now_s % OUTAGE_INTERVAL_S
        if outage_began_at_s > self._term_began_at_s:
            self._bucket.level, self._bucket.updated_at_s = 0.0, outage_began_at_s + OUTAGE_S
            self._term_began_at_s = outage_began_at_s
        self.messages += 2
        # During an outage the request for units waits for the next leader.
        return self._bucket.take(units, max(now_s, self._bucket.updated_at_s))


class LeaderWindow:
    """As in production: the leader counts a window; a new leader inherits the recorded use."""

    def __init__(self, tenant: Tenant, gateways: int) -> None:
        self.messages = 0
        self._tenant = tenant
        self._ledger = GrantLedger(BOUNDS, {}, 0.0)
        self._term_began_at_s = 0.0
        self._recorded_use: dict[str, InheritedUse] = {}

    def admits(self, gateway: int, units: float, now_s: float) -> bool:
        """Return whether a request of so many units at a gateway is admitted."""
        outage_began_at_s = now_s - now_s % OUTAGE_INTERVAL_S
        if outage_began_at_s > self._term_began_at_s:
            self._ledger = GrantLedger(BOUNDS, self._recorded_use, outage_began_at_s + OUTAGE_S)
            self._term_began_at_s = outage_began_at_s
        self.messages += 2
        now_s = max(now_s, self._term_began_at_s and self._term_began_at_s + OUTAGE_S)
        decision = self._ledger.grant(self._tenant, units, now_s)
        if decision is None:
            due = self._ledger.due(now_s)
            self._recorded_use |= {name: InheritedUse(ages, now_s) for name, ages in due.items()}
            self._ledger.note_recorded(due)
            decision = self._ledger.grant(self._tenant, units, now_s)
        return decision is not None and decision.is_granted


def _bucket_capacity(tenant: Tenant) -> float:
    """Return the maximum bucket capacity with which no window exceeds the bound."""
    return BOUNDS.allowed(tenant) - tenant.rate_per_s * BOUNDS.accounting_window_s


@dataclass
class _Window:
    """Units admitted in the current window, by all gateways together."""

    admitted: deque[tuple[float, float]] = field(default_factory=deque)
    units: float = 0.0
    max_units: float = 0.0

    def units_at(self, now_s: float) -> float:
        while self.admitted and self.admitted[0][0] <= now_s - BOUNDS.window_s:
            self.units -= self.admitted.popleft()[1]
        return self.units

    def add(self, now_s: float, units: float) -> None:
        self.admitted.append((now_s, units))
        self.units += units
        self.max_units = max(self.max_units, self.units)


def _arrivals(tenant: Tenant, gateways: int, random: Random) -> Iterator[tuple[float, int]]:
    caller_gateways = [random.randrange(gateways) for _ in range(CALLERS)]
    now_s = 0.0
    while now_s < SIMULATED_S:
        factor = PEAK_FACTOR if int(now_s) in PEAK_SECONDS else 1.0
        gap_s = random.expovariate(tenant.rate_per_s * NORMAL_LOAD * factor / REQUEST_UNITS)
        if random.random() < CALLER_MOVES_PER_S * CALLERS * gap_s:
            caller_gateways[random.randrange(CALLERS)] = random.randrange(gateways)
        now_s += gap_s
        yield now_s, random.choice(caller_gateways)


def _simulate(
    make_strategy: Callable[[Tenant, int], Strategy], tenant: Tenant, gateways: int, seed: int
) -> QuotaFigures:
    strategy, window, random = make_strategy(tenant, gateways), _Window(), Random(seed)
    nominal_units = tenant.rate_per_s * BOUNDS.window_s + tenant.burst
    max_allowed_units = nominal_units * (1 + BOUNDS.tolerance) + BOUNDS.slack
    requested = rejected_with_room = 0.0
    for now_s, gateway in _arrivals(tenant, gateways, random):
        requested += REQUEST_UNITS
        had_room = window.units_at(now_s) + REQUEST_UNITS <= nominal_units
        if strategy.admits(gateway, REQUEST_UNITS, now_s):
            window.add(now_s, REQUEST_UNITS)
        elif had_room:
            rejected_with_room += REQUEST_UNITS
    return QuotaFigures(
        make_strategy.__name__,
        gateways,
        tenant.name,
        round(requested),
        round(rejected_with_room / requested, 3),
        round(window.max_units / max_allowed_units, 3),
        round(strategy.messages / SIMULATED_S, 1),
    )


def run_quota_bench(seed: int) -> list[QuotaFigures]:
    """Return the results of all strategies and numbers of gateways for two tenants."""
    tenants = [
        Tenant("large", rate_per_s=90000.0, burst=90000.0, unit=RateUnit.TOKENS),
        Tenant("small", rate_per_s=4200.0, burst=4200.0, unit=RateUnit.TOKENS),
    ]
    strategies: list[Callable[[Tenant, int], Strategy]] = [
        EvenShares,
        SharesByDemand,
        LeaderBucket,
        LeaderWindow,
    ]
    return [
        _simulate(strategy, tenant, gateways, seed)
        for tenant in tenants
        for gateways in (10, 90, 300, 1000)
        for strategy in strategies
    ]
