"""Makes replicas of a soak advertise rate limits and checks that gateways comply with them."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from crowsill_lab.soak.signal_ledger import GatewayRun
from crowsill_lab.windows import max_events_in_window

# Length of the windows in which requests are counted.
WINDOW_S = 4.0
# Requests count only from this time after a replica began to advertise the limit.
SETTLE_S = 3.0
# Requests of a gateway count only from this time after its first response that reported the limit.
GATEWAY_SETTLE_S = 0.5
RATES_PER_S = (0.5, 1.0, 2.0, 5.0)
MIN_LIMIT_DURATION_S = 6.0
MAX_LIMIT_DURATION_S = 14.0
MAX_PAUSE_S = 4.0


def max_requests_in_window(per_s: float) -> float:
    """Return the maximum number of requests that a replica may receive in a window.

    >>> max_requests_in_window(1.0)
    11.0
    """
    return 1.5 * WINDOW_S * per_s + 5.0


@dataclass(slots=True)
class _AdvertisedLimit:
    """A period in which one incarnation of a replica advertises one limit.

    Attributes:
        per_s: The limit in requests a second.
        started_at_s: Monotonic time at which the period began.
        first_reported_at_s: When each gateway first reported the limit to a caller.
        arrivals: Time and gateway of each request that arrived; oldest first.
    """

    per_s: float
    started_at_s: float
    first_reported_at_s: dict[GatewayRun, float] = field(default_factory=dict)
    arrivals: list[tuple[float, GatewayRun]] = field(default_factory=list)

    def max_counted_in_window(self) -> int:
        """Return the maximum number of counted requests in one window."""
        counted_at_s = [
            at_s
            for at_s, gateway in self.arrivals
            if at_s >= self.first_reported_at_s.get(gateway, float("inf")) + GATEWAY_SETTLE_S
            and at_s >= self.started_at_s + SETTLE_S
        ]
        return max_events_in_window(counted_at_s, WINDOW_S)


@dataclass(slots=True)
class LimitLedger:
    """Advertised limits by replica incarnation. All times are of the same monotonic clock.

    >>> limits, gateway = LimitLedger(), GatewayRun("g1", 1, 0)
    >>> limits.note_advertised("i-1@1", 1.0, now_s=10.0)
    >>> limits.note_reported("i-1@1", gateway, now_s=10.2)
    >>> for number in range(12):
    ...     limits.note_arrival("i-1@1", gateway, now_s=14.0 + number / 10)
    >>> limits.violations()
    ['i-1@1 advertises 1 request/s and received 12 requests in 4 s, 11 allowed']
    """

    _current: dict[str, _AdvertisedLimit] = field(default_factory=dict)
    _advertised: list[tuple[str, _AdvertisedLimit]] = field(default_factory=list)

    def note_advertised(self, instance_id: str, per_s: float, now_s: float) -> None:
        """Record that a replica begins to advertise a limit."""
        limit = _AdvertisedLimit(per_s, now_s)
        self._current[instance_id] = limit
        self._advertised.append((instance_id, limit))

    def note_withdrawn(self, instance_id: str) -> None:
        """Record that a replica no longer advertises a limit."""
        self._current.pop(instance_id, None)

    def note_reported(self, instance_id: str, gateway: GatewayRun, now_s: float) -> None:
        """Record that a gateway forwarded a response that advertises a limit."""
        limit = self._current.get(instance_id)
        if limit is not None:
            limit.first_reported_at_s.setdefault(gateway, now_s)

    def note_arrival(self, instance_id: str, gateway: GatewayRun, now_s: float) -> None:
        """Record that a request arrived."""
        limit = self._current.get(instance_id)
        if limit is not None:
            limit.arrivals.append((now_s, gateway))

    def violations(self) -> list[str]:
        """Return a line for each limit that was exceeded."""
        return [
            f"{instance_id} advertises {limit.per_s:g} request/s and received "
            f"{limit.max_counted_in_window()} requests in {WINDOW_S:g} s, "
            f"{max_requests_in_window(limit.per_s):g} allowed"
            for instance_id, limit in self._advertised
            if limit.max_counted_in_window() > max_requests_in_window(limit.per_s)
        ]


class LimitedReplica(Protocol):
    """A replica that can advertise a rate limit."""

    name: str

    def advertise_limit(self, per_s: float | None) -> None:
        """Advertise a limit in requests a second from now on, or none."""


class LimitInjector:
    """Makes replicas advertise limits during all other faults; at least one advertises none."""

    def __init__(
        self,
        replicas: Callable[[], list[LimitedReplica]],
        random: Random,
        note: Callable[[str], None],
    ) -> None:
        """Initialize the injector.

        Args:
            replicas: Returns the current replicas.
            random: Decides which replica advertises which limit, and when.
            note: Receives a line for each advertised limit.
        """
        self._replicas = replicas
        self._random = random
        self._note = note
        self._until_at_s: dict[str, float] = {}

    async def run(self) -> None:
        """Run until cancelled; then no replica advertises a limit."""
        try:
            while True:
                await asyncio.sleep(self._random.random() * MAX_PAUSE_S)
                self._withdraw_expired_limits()
                replicas = self._replicas()
                limited = [replica for replica in replicas if replica.name in self._until_at_s]
                if len(limited) < len(replicas) - 1:
                    self._begin(self._random.choice(replicas))
        finally:
            for replica in self._replicas():
                replica.advertise_limit(None)

    def _begin(self, replica: LimitedReplica) -> None:
        if replica.name in self._until_at_s:
            return
        per_s = self._random.choice(RATES_PER_S)
        span_s = MAX_LIMIT_DURATION_S - MIN_LIMIT_DURATION_S
        duration_s = MIN_LIMIT_DURATION_S + self._random.random() * span_s
        self._until_at_s[replica.name] = time.monotonic() + duration_s
        self._note(f"limit {replica.name} {per_s:g}")
        replica.advertise_limit(per_s)

    def _withdraw_expired_limits(self) -> None:
        for replica in self._replicas():
            if self._until_at_s.get(replica.name, float("inf")) < time.monotonic():
                del self._until_at_s[replica.name]
                replica.advertise_limit(None)
