"""Replicas of a soak that name limits: when they begin to, and whether all gateways keep them."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from crowsill_lab.soak.signal_ledger import GatewayLife
from crowsill_lab.windows import max_events_in_window

# What is counted: any window of this length, from so long after a limit was named first, of
# gateways that had passed it on so long before.
WINDOW_S = 4.0
SETTLE_S = 3.0
GATEWAY_SETTLE_S = 0.5
RATES_PER_S = (0.5, 1.0, 2.0, 5.0)
SHORTEST_LIMIT_S = 6.0
LONGEST_LIMIT_S = 14.0
LONGEST_PAUSE_S = 4.0


def max_requests_in_window(per_s: float) -> float:
    """Return the requests that a replica may get in a window.

    >>> max_requests_in_window(1.0)
    11.0
    """
    return 1.5 * WINDOW_S * per_s + 5.0


@dataclass(slots=True)
class _Naming:
    """One time in which a life of a replica names one limit.

    Attributes:
        per_s: The limit.
        since_s: Clock of its beginning.
        told_s: When each gateway first passed it on.
        arrivals: When requests came, and of which gateway; oldest first.
    """

    per_s: float
    since_s: float
    told_s: dict[GatewayLife, float] = field(default_factory=dict)
    arrivals: list[tuple[float, GatewayLife]] = field(default_factory=list)

    def fullest(self) -> int:
        """Return the most requests that count in one window."""
        counted_s = [
            at_s
            for at_s, gateway in self.arrivals
            if at_s >= self.told_s.get(gateway, float("inf")) + GATEWAY_SETTLE_S
            and at_s >= self.since_s + SETTLE_S
        ]
        return max_events_in_window(counted_s, WINDOW_S)


@dataclass(slots=True)
class LimitLedger:
    """Limits by the life of a replica. Clocks are of one kind.

    >>> limits, gateway = LimitLedger(), GatewayLife("g1", 1, 0)
    >>> limits.named("i-1@1", 1.0, now_s=10.0)
    >>> limits.passed_on("i-1@1", gateway, now_s=10.2)
    >>> for number in range(12):
    ...     limits.arrived("i-1@1", gateway, now_s=14.0 + number / 10)
    >>> limits.broken()
    ['i-1@1 names 1 a second and got 12 requests in 4 s, 11 allowed']
    """

    _present: dict[str, _Naming] = field(default_factory=dict)
    _namings: list[tuple[str, _Naming]] = field(default_factory=list)

    def named(self, life: str, per_s: float, now_s: float) -> None:
        """Note that a replica begins to name a limit."""
        naming = _Naming(per_s, now_s)
        self._present[life] = naming
        self._namings.append((life, naming))

    def ended(self, life: str) -> None:
        """Note that a replica names none any more."""
        self._present.pop(life, None)

    def passed_on(self, life: str, gateway: GatewayLife, now_s: float) -> None:
        """Note that a gateway passed on an answer that names a limit."""
        naming = self._present.get(life)
        if naming is not None:
            naming.told_s.setdefault(gateway, now_s)

    def arrived(self, life: str, gateway: GatewayLife, now_s: float) -> None:
        """Note that a request came."""
        naming = self._present.get(life)
        if naming is not None:
            naming.arrivals.append((now_s, gateway))

    def broken(self) -> list[str]:
        """Return which limits were not kept."""
        return [
            f"{life} names {naming.per_s:g} a second and got {naming.fullest()} requests in "
            f"{WINDOW_S:g} s, {max_requests_in_window(naming.per_s):g} allowed"
            for life, naming in self._namings
            if naming.fullest() > max_requests_in_window(naming.per_s)
        ]


class Limited(Protocol):
    """A replica that can name a limit."""

    name: str

    def name_limit(self, per_s: float | None) -> None:
        """Name a limit from now on, or none."""


class LimitMaker:
    """Has replicas name limits, beside all other faults; one of them at least names none."""

    def __init__(
        self, replicas: Callable[[], list[Limited]], random: Random, note: Callable[[str], None]
    ) -> None:
        """Make it.

        Args:
            replicas: Returns the replicas that are there.
            random: Decides which one names what, and when.
            note: Receives a line for each.
        """
        self._replicas = replicas
        self._random = random
        self._note = note
        self._until_s: dict[str, float] = {}

    async def run(self) -> None:
        """Go on until cancelled; then no replica names any."""
        try:
            while True:
                await asyncio.sleep(self._random.random() * LONGEST_PAUSE_S)
                self._end_those_that_are_over()
                replicas = self._replicas()
                limited = [replica for replica in replicas if replica.name in self._until_s]
                if len(limited) < len(replicas) - 1:
                    self._begin(self._random.choice(replicas))
        finally:
            for replica in self._replicas():
                replica.name_limit(None)

    def _begin(self, replica: Limited) -> None:
        if replica.name in self._until_s:
            return
        per_s = self._random.choice(RATES_PER_S)
        span_s = LONGEST_LIMIT_S - SHORTEST_LIMIT_S
        lasts_s = SHORTEST_LIMIT_S + self._random.random() * span_s
        self._until_s[replica.name] = time.monotonic() + lasts_s
        self._note(f"limit {replica.name} {per_s:g}")
        replica.name_limit(per_s)

    def _end_those_that_are_over(self) -> None:
        for replica in self._replicas():
            if self._until_s.get(replica.name, float("inf")) < time.monotonic():
                del self._until_s[replica.name]
                replica.name_limit(None)
