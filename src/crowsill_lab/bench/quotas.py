"""Ways to keep a tenant's rate over many gateways, in a simulation with the product's own ledger.

A tenant's few callers reach few of the gateways, and now and then another one. Refused in vain is
what a way refuses though the sum over all gateways has room for it in the sliding window.
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
SECONDS = 60.0
CALLERS = 11
MOVES_PER_S = 0.05
REQUEST_UNITS = 2200.0
# A tenant uses 0.55 of its rate; five times as much while it is hot.
USUAL_SHARE = 0.55
HOT = range(20, 30)
HOT_FACTOR = 5.0
# The leader is lost every so often for so long.
OUTAGE_EVERY_S = 15.0
OUTAGE_S = 0.7
# Shares by demand are moved so often, each by what was asked for in the time before, and so much of
# the rate is kept for gateways that have not been asked.
REBALANCE_S = 1.0
FLOOR = 0.2


class QuotaFigures(msgspec.Struct, frozen=True):
    """One way at one size.

    Attributes:
        way: The way.
        gateways: Number of gateways.
        tenant: The tenant's name.
        asked: Units asked for.
        refused_in_vain: Share of the units asked for that were refused though there was room.
        fullest_window: Most units in a window, as a share of the bound.
        messages_per_s: Questions and shares sent over the network a second.
    """

    way: str
    gateways: int
    tenant: str
    asked: float
    refused_in_vain: float
    fullest_window: float
    messages_per_s: float


class Way(Protocol):
    """A way to decide; `messages` counts what it sends."""

    messages: int

    def admits(self, gateway: int, units: float, now_s: float) -> bool:
        """Decide on a request at a gateway."""


@dataclass
class _Bucket:
    rate: float
    capacity: float
    level: float
    at_s: float = 0.0

    def take(self, units: float, now_s: float) -> bool:
        self.level = min(self.capacity, self.level + (now_s - self.at_s) * self.rate)
        self.at_s = now_s
        if self.level < units:
            return False
        self.level -= units
        return True


class EvenShares:
    """Each gateway has the same share of the rate, as of the retry budget."""

    def __init__(self, tenant: Tenant, gateways: int) -> None:
        self.messages = 0
        share = _whole_capacity(tenant) / gateways
        self._buckets = [
            _Bucket(tenant.rate_per_s / gateways, share, share) for _ in range(gateways)
        ]

    def admits(self, gateway: int, units: float, now_s: float) -> bool:
        """Decide on a request at a gateway."""
        return self._buckets[gateway].take(units, now_s)


class SharesByDemand:
    """The rate is divided by what was asked for lately; all lower theirs before one raises its."""

    def __init__(self, tenant: Tenant, gateways: int) -> None:
        self.messages = 0
        self._tenant = tenant
        self._asked = [0.0] * gateways
        capacity = _whole_capacity(tenant) / gateways
        rate = tenant.rate_per_s / gateways
        self._buckets = [_Bucket(rate, capacity, capacity) for _ in range(gateways)]
        self._next_s = REBALANCE_S

    def admits(self, gateway: int, units: float, now_s: float) -> bool:
        """Decide on a request at a gateway."""
        if now_s >= self._next_s:
            self._rebalance(now_s)
        self._asked[gateway] += units
        return self._buckets[gateway].take(units, now_s)

    def _rebalance(self, now_s: float) -> None:
        self._next_s = now_s + REBALANCE_S
        if now_s % OUTAGE_EVERY_S < OUTAGE_S:
            return
        count, total = len(self._buckets), sum(self._asked) or 1.0
        capacity = _whole_capacity(self._tenant)
        for bucket, asked in zip(self._buckets, self._asked, strict=True):
            share = FLOOR / count + (1.0 - FLOOR) * asked / total
            bucket.rate, bucket.capacity = self._tenant.rate_per_s * share, capacity * share
            bucket.level = min(bucket.level, bucket.capacity)
        # Two orders to each gateway whose share moves, one to lower and one to raise.
        self.messages += 2 * count
        self._asked = [0.0] * count


class LeaderBucket:
    """The leader has one bucket; its successor begins with an empty one."""

    def __init__(self, tenant: Tenant, gateways: int) -> None:
        self.messages = 0
        capacity = _whole_capacity(tenant)
        self._bucket = _Bucket(tenant.rate_per_s, capacity, capacity)
        self._led_s = 0.0

    def admits(self, gateway: int, units: float, now_s: float) -> bool:
        """Decide on a request at a gateway."""
        began_s = now_s - now_s % OUTAGE_EVERY_S
        if began_s > self._led_s:
            self._bucket.level, self._bucket.at_s = 0.0, began_s + OUTAGE_S
            self._led_s = began_s
        self.messages += 2
        # During an outage the question waits for the next leader.
        return self._bucket.take(units, max(now_s, self._bucket.at_s))


class LeaderWindow:
    """The product's way: the leader counts a window; its successor takes over what is recorded."""

    def __init__(self, tenant: Tenant, gateways: int) -> None:
        self.messages = 0
        self._tenant = tenant
        self._ledger = GrantLedger(BOUNDS, {}, 0.0)
        self._led_s = 0.0
        self._recorded: dict[str, InheritedUse] = {}

    def admits(self, gateway: int, units: float, now_s: float) -> bool:
        """Decide on a request at a gateway."""
        began_s = now_s - now_s % OUTAGE_EVERY_S
        if began_s > self._led_s:
            self._ledger = GrantLedger(BOUNDS, self._recorded, began_s + OUTAGE_S)
            self._led_s = began_s
        self.messages += 2
        now_s = max(now_s, self._led_s and self._led_s + OUTAGE_S)
        decision = self._ledger.grant(self._tenant, units, now_s)
        if decision is None:
            due = self._ledger.due(now_s)
            self._recorded |= {name: InheritedUse(ages, now_s) for name, ages in due.items()}
            self._ledger.note_recorded(due)
            decision = self._ledger.grant(self._tenant, units, now_s)
        return decision is not None and decision.is_granted


def _whole_capacity(tenant: Tenant) -> float:
    """Return the most that a bucket may hold so that no window exceeds the bound."""
    return BOUNDS.allowed(tenant) - tenant.rate_per_s * BOUNDS.accounting_window_s


@dataclass
class _Window:
    """What was let through in the last window, by all gateways together."""

    runs: deque[tuple[float, float]] = field(default_factory=deque)
    units: float = 0.0
    fullest: float = 0.0

    def at(self, now_s: float) -> float:
        while self.runs and self.runs[0][0] <= now_s - BOUNDS.window_s:
            self.units -= self.runs.popleft()[1]
        return self.units

    def add(self, now_s: float, units: float) -> None:
        self.runs.append((now_s, units))
        self.units += units
        self.fullest = max(self.fullest, self.units)


def _arrivals(tenant: Tenant, gateways: int, random: Random) -> Iterator[tuple[float, int]]:
    places = [random.randrange(gateways) for _ in range(CALLERS)]
    now_s = 0.0
    while now_s < SECONDS:
        factor = HOT_FACTOR if int(now_s) in HOT else 1.0
        gap_s = random.expovariate(tenant.rate_per_s * USUAL_SHARE * factor / REQUEST_UNITS)
        if random.random() < MOVES_PER_S * CALLERS * gap_s:
            places[random.randrange(CALLERS)] = random.randrange(gateways)
        now_s += gap_s
        yield now_s, random.choice(places)


def _play(
    make: Callable[[Tenant, int], Way], tenant: Tenant, gateways: int, seed: int
) -> QuotaFigures:
    way, window, random = make(tenant, gateways), _Window(), Random(seed)
    owed_limit = tenant.rate_per_s * BOUNDS.window_s + tenant.burst
    bound = owed_limit * (1 + BOUNDS.tolerance) + BOUNDS.slack
    asked = in_vain = 0.0
    for now_s, gateway in _arrivals(tenant, gateways, random):
        asked += REQUEST_UNITS
        had_room = window.at(now_s) + REQUEST_UNITS <= owed_limit
        if way.admits(gateway, REQUEST_UNITS, now_s):
            window.add(now_s, REQUEST_UNITS)
        elif had_room:
            in_vain += REQUEST_UNITS
    return QuotaFigures(
        make.__name__,
        gateways,
        tenant.name,
        round(asked),
        round(in_vain / asked, 3),
        round(window.fullest / bound, 3),
        round(way.messages / SECONDS, 1),
    )


def run_quota_bench(seed: int) -> list[QuotaFigures]:
    """Return the figures of all ways at all sizes, for a large and a small tenant."""
    tenants = [
        Tenant("large", rate_per_s=90000.0, burst=90000.0, unit=RateUnit.TOKENS),
        Tenant("small", rate_per_s=4200.0, burst=4200.0, unit=RateUnit.TOKENS),
    ]
    ways: list[Callable[[Tenant, int], Way]] = [
        EvenShares,
        SharesByDemand,
        LeaderBucket,
        LeaderWindow,
    ]
    return [
        _play(way, tenant, gateways, seed)
        for tenant in tenants
        for gateways in (10, 90, 300, 1000)
        for way in ways
    ]
