"""Ways to keep the limit that a replica names over many gateways, simulated.

All replicas of a service name one, so that three times as many requests come as may be sent. A way
is compared by how much of the limit it uses, by the fullest window and by what it sends.
"""

from collections.abc import Callable, Iterator
from random import Random
from typing import Protocol

import msgspec

from crowsill.control.replica_limits import ReplicaLimits
from crowsill.model.replica_limits import LimitReport
from crowsill.model.tenants import Tenant
from crowsill.routing.limits import TokenBucket
from crowsill.tenancy.grant_ledger import GrantLedger, InheritedUse, QuotaBounds
from crowsill_lab.windows import fullest_window

SECONDS = 120.0
WINDOW_S = 4.0
BURST_S = 0.5
DEMAND_FACTOR = 3.0
# The leader is lost every so often for so long.
OUTAGE_EVERY_S = 15.0
OUTAGE_S = 0.7
# The rule on the window allows half as much again; the ledger counts over a grant's life, too.
BOUNDS = QuotaBounds(window_s=WINDOW_S, tolerance=0.25)
REPLICA = "i-1"


class LimitFigures(msgspec.Struct, frozen=True):
    """One way at one size.

    Attributes:
        way: The way.
        gateways: Number of gateways.
        per_s: The limit.
        used: Requests sent, as a share of the limit over the whole time.
        fullest_window: Most requests in 4 s, as a share of what the limit allows in that time.
        fullest_burst: Most requests in half a second.
        messages_per_s: Questions and answers a second.
    """

    way: str
    gateways: int
    per_s: float
    used: float
    fullest_window: float
    fullest_burst: int
    messages_per_s: float


class Way(Protocol):
    """A way to decide; `messages` counts what it sends."""

    messages: int

    def admits(self, gateway: int, now_s: float) -> bool:
        """Decide on a request at a gateway."""


class EvenShares:
    """Each gateway has the same share of the rate, and one request at once."""

    def __init__(self, per_s: float, gateways: int) -> None:
        self.messages = 0
        self._buckets = [TokenBucket(per_s / gateways, 1, 0.0) for _ in range(gateways)]

    def admits(self, gateway: int, now_s: float) -> bool:
        """Decide on a request at a gateway."""
        return self._buckets[gateway].take(now_s)


class FewSenders:
    """As many gateways may send as the limit has requests a second; the others send nothing."""

    def __init__(self, per_s: float, gateways: int) -> None:
        self.messages = 0
        senders = min(gateways, max(1, int(per_s)))
        self._buckets = [TokenBucket(per_s / senders, 1, 0.0) for _ in range(senders)]

    def admits(self, gateway: int, now_s: float) -> bool:
        """Decide on a request at a gateway."""
        return gateway < len(self._buckets) and self._buckets[gateway].take(now_s)


class _Granted:
    """Asks a leader, and not again before the time that a refusal told."""

    def __init__(self, gateways: int) -> None:
        self.messages = 0
        self._closed_until_s = [0.0] * gateways
        self._led_s = 0.0

    def admits(self, gateway: int, now_s: float) -> bool:
        """Decide on a request at a gateway."""
        began_s = now_s - now_s % OUTAGE_EVERY_S
        if began_s > self._led_s:
            self._led_s = began_s
            self.begin_term(began_s + OUTAGE_S)
        if now_s < max(self._closed_until_s[gateway], self._led_s and self._led_s + OUTAGE_S):
            return False
        self.messages += 2
        is_granted, wait_s = self.ask(now_s)
        if not is_granted:
            self._closed_until_s[gateway] = now_s + wait_s
        return is_granted

    def begin_term(self, now_s: float) -> None:
        """A new leader begins."""
        raise NotImplementedError

    def ask(self, now_s: float) -> tuple[bool, float]:
        """Return whether the leader grants a request, and when else there will be room."""
        raise NotImplementedError


class LeaderWindow(_Granted):
    """The ledger of tenants' rates: the leader counts a window, and records it ahead."""

    def __init__(self, per_s: float, gateways: int) -> None:
        super().__init__(gateways)
        self._account = Tenant(REPLICA, rate_per_s=per_s)
        self._recorded: dict[str, InheritedUse] = {}
        self._ledger = GrantLedger(BOUNDS, {}, 0.0)

    def begin_term(self, now_s: float) -> None:
        """A new leader takes over what is recorded."""
        self._ledger = GrantLedger(BOUNDS, self._recorded, now_s)

    def ask(self, now_s: float) -> tuple[bool, float]:
        """Ask the ledger, recording what it needs first."""
        decision = self._ledger.grant(self._account, 1.0, now_s)
        if decision is None:
            due = self._ledger.due(now_s)
            self._recorded |= {name: InheritedUse(ages, now_s) for name, ages in due.items()}
            self._ledger.note_recorded(due)
            decision = self._ledger.grant(self._account, 1.0, now_s)
        return (False, 0.0) if decision is None else (decision.is_granted, decision.wait_s)


class LeaderBucket(_Granted):
    """The product's way: the leader has a bucket a replica; its successor begins with none."""

    def __init__(self, per_s: float, gateways: int) -> None:
        super().__init__(gateways)
        self._limits = ReplicaLimits()
        self._per_s = per_s

    def begin_term(self, now_s: float) -> None:
        """A new leader begins with empty buckets."""
        self._limits.begin_term(now_s)

    def ask(self, now_s: float) -> tuple[bool, float]:
        """Ask for one request; the replica names its limit with each answer."""
        self._limits.note([LimitReport(REPLICA, self._per_s, 0.0)], now_s)
        decision = self._limits.grant(REPLICA, now_s)
        return decision.is_granted, decision.wait_s


def _arrivals(per_s: float, gateways: int, random: Random) -> Iterator[tuple[float, int]]:
    now_s = random.expovariate(per_s * DEMAND_FACTOR)
    while now_s < SECONDS:
        yield now_s, random.randrange(gateways)
        now_s += random.expovariate(per_s * DEMAND_FACTOR)


def _play(
    make: Callable[[float, int], Way], per_s: float, gateways: int, seed: int
) -> LimitFigures:
    way = make(per_s, gateways)
    arrivals = _arrivals(per_s, gateways, Random(seed))
    sent_s = [now_s for now_s, gateway in arrivals if way.admits(gateway, now_s)]
    return LimitFigures(
        make.__name__,
        gateways,
        per_s,
        round(len(sent_s) / (per_s * SECONDS), 2),
        round(fullest_window(sent_s, WINDOW_S) / (per_s * WINDOW_S), 2),
        fullest_window(sent_s, BURST_S),
        round(way.messages / SECONDS, 1),
    )


def run_limit_bench(seed: int) -> list[LimitFigures]:
    """Return the figures of all ways at all sizes."""
    ways: list[Callable[[float, int], Way]] = [EvenShares, FewSenders, LeaderWindow, LeaderBucket]
    return [
        _play(way, per_s, gateways, seed)
        for per_s in (1.0, 5.0, 20.0)
        for gateways in (6, 90, 200)
        for way in ways
    ]
