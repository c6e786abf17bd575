"""Simulation of strategies to enforce a replica's advertised rate limit over many gateways.

All replicas of a service advertise a limit, and the demand is three times the limit. Strategies are
compared by the share of the limit that they use, by the maximum number of requests in a window, and
by the messages that they send.
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
from crowsill_lab.windows import max_events_in_window

SIMULATED_S = 120.0
WINDOW_S = 4.0
BURST_S = 0.5
DEMAND_FACTOR = 3.0
# The leader fails at this interval; each time there is no leader for `OUTAGE_S`.
OUTAGE_INTERVAL_S = 15.0
OUTAGE_S = 0.7
# The required bound for a window is 1.5 times the limit. The tolerance is lower, because the ledger
# also counts over the lifetime of a grant.
BOUNDS = QuotaBounds(window_s=WINDOW_S, tolerance=0.25)
REPLICA = "i-1"


class LimitFigures(msgspec.Struct, frozen=True):
    """Result of one strategy for one number of gateways and one limit.

    Attributes:
        way: Class name of the strategy.
        gateways: Number of gateways.
        per_s: The limit, in requests per second.
        used: Requests sent, as a share of what the limit allows in the simulated time.
        fullest_window: Maximum number of requests in 4 s, as a share of what the limit allows.
        fullest_burst: Maximum number of requests in half a second.
        messages_per_s: Requests to the leader and replies, per second.
    """

    way: str
    gateways: int
    per_s: float
    used: float
    fullest_window: float
    fullest_burst: int
    messages_per_s: float


class Strategy(Protocol):
    """Decides which requests are sent; `messages` counts its messages over the network."""

    messages: int

    def admits(self, gateway: int, now_s: float) -> bool:
        """Return whether a request at a gateway may be sent now."""


class EvenShares:
    """Each gateway has an equal share of the rate, in a token bucket for one request."""

    def __init__(self, per_s: float, gateways: int) -> None:
        self.messages = 0
        self._buckets = [TokenBucket(per_s / gateways, 1, 0.0) for _ in range(gateways)]

    def admits(self, gateway: int, now_s: float) -> bool:
        """Return whether a request at a gateway may be sent now."""
        return self._buckets[gateway].take(now_s)


class FewSenders:
    """Only as many gateways send as the limit allows requests per second, with equal shares."""

    def __init__(self, per_s: float, gateways: int) -> None:
        self.messages = 0
        sender_count = min(gateways, max(1, int(per_s)))
        self._buckets = [TokenBucket(per_s / sender_count, 1, 0.0) for _ in range(sender_count)]

    def admits(self, gateway: int, now_s: float) -> bool:
        """Return whether a request at a gateway may be sent now."""
        return gateway < len(self._buckets) and self._buckets[gateway].take(now_s)


class _GrantedByLeader:
    """Requests a grant from the leader; after a rejection, not before the time that it gave."""

    def __init__(self, gateways: int) -> None:
        self.messages = 0
        self._opens_at_s = [0.0] * gateways
        self._term_began_at_s = 0.0

    def admits(self, gateway: int, now_s: float) -> bool:
        """Return whether a request at a gateway may be sent now."""
        outage_began_at_s = now_s - now_s % OUTAGE_INTERVAL_S
        if outage_began_at_s > self._term_began_at_s:
            self._term_began_at_s = outage_began_at_s
            self.begin_term(outage_began_at_s + OUTAGE_S)
        if now_s < max(
            self._opens_at_s[gateway], self._term_began_at_s and self._term_began_at_s + OUTAGE_S
        ):
            return False
        self.messages += 2
        is_granted, wait_s = self.request_grant(now_s)
        if not is_granted:
            self._opens_at_s[gateway] = now_s + wait_s
        return is_granted

    def begin_term(self, now_s: float) -> None:
        """Start the term of a new leader."""
        raise NotImplementedError

    def request_grant(self, now_s: float) -> tuple[bool, float]:
        """Return whether the leader grants a request, and if not, the time to wait in seconds."""
        raise NotImplementedError


class LeaderWindow(_GrantedByLeader):
    """The ledger of tenant quotas: the leader counts a window and records use before grants."""

    def __init__(self, per_s: float, gateways: int) -> None:
        super().__init__(gateways)
        self._account = Tenant(REPLICA, rate_per_s=per_s)
        self._recorded_use: dict[str, InheritedUse] = {}
        self._ledger = GrantLedger(BOUNDS, {}, 0.0)

    def begin_term(self, now_s: float) -> None:
        """Start the term of a new leader, which inherits the recorded use."""
        self._ledger = GrantLedger(BOUNDS, self._recorded_use, now_s)

    def request_grant(self, now_s: float) -> tuple[bool, float]:
        """Request a grant from the ledger, after recording use if it needs that first."""
        decision = self._ledger.grant(self._account, 1.0, now_s)
        if decision is None:
            due = self._ledger.due(now_s)
            self._recorded_use |= {name: InheritedUse(ages, now_s) for name, ages in due.items()}
            self._ledger.note_recorded(due)
            decision = self._ledger.grant(self._account, 1.0, now_s)
        return (False, 0.0) if decision is None else (decision.is_granted, decision.wait_s)


class LeaderBucket(_GrantedByLeader):
    """As in production: the leader has a bucket per replica; a new leader has empty buckets."""

    def __init__(self, per_s: float, gateways: int) -> None:
        super().__init__(gateways)
        self._limits = ReplicaLimits()
        self._per_s = per_s

    def begin_term(self, now_s: float) -> None:
        """Start the term of a new leader with empty buckets."""
        self._limits.begin_term(now_s)

    def request_grant(self, now_s: float) -> tuple[bool, float]:
        """Request a grant for one request; the replica advertises its limit in each response."""
        self._limits.note([LimitReport(REPLICA, self._per_s, 0.0)], now_s)
        decision = self._limits.grant(REPLICA, now_s)
        return decision.is_granted, decision.wait_s


def _arrivals(per_s: float, gateways: int, random: Random) -> Iterator[tuple[float, int]]:
    now_s = random.expovariate(per_s * DEMAND_FACTOR)
    while now_s < SIMULATED_S:
        yield now_s, random.randrange(gateways)
        now_s += random.expovariate(per_s * DEMAND_FACTOR)


def _simulate(
    make_strategy: Callable[[float, int], Strategy], per_s: float, gateways: int, seed: int
) -> LimitFigures:
    strategy = make_strategy(per_s, gateways)
    arrivals = _arrivals(per_s, gateways, Random(seed))
    sent_s = [now_s for now_s, gateway in arrivals if strategy.admits(gateway, now_s)]
    return LimitFigures(
        make_strategy.__name__,
        gateways,
        per_s,
        round(len(sent_s) / (per_s * SIMULATED_S), 2),
        round(max_events_in_window(sent_s, WINDOW_S) / (per_s * WINDOW_S), 2),
        max_events_in_window(sent_s, BURST_S),
        round(strategy.messages / SIMULATED_S, 1),
    )


def run_limit_bench(seed: int) -> list[LimitFigures]:
    """Return the results of all strategies for all limits and numbers of gateways."""
    strategies: list[Callable[[float, int], Strategy]] = [
        EvenShares,
        FewSenders,
        LeaderWindow,
        LeaderBucket,
    ]
    return [
        _simulate(strategy, per_s, gateways, seed)
        for per_s in (1.0, 5.0, 20.0)
        for gateways in (6, 90, 200)
        for strategy in strategies
    ]
