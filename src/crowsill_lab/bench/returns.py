"""Simulation of strategies to resume sending to replicas that shed load and asked for a backoff.

Requests arrive at random gateways, which know the replicas only by their responses. A replica runs
one request per slot, and rejects others with a backoff. Among the replicas that a gateway may send
to now, it selects the one with the fewest of its own requests in flight. Without such a replica it
rejects the request: no request waits, so that the share served shows the effect of the strategy
alone.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import msgspec

from crowsill.gateway.availability import Availability

BACKOFF_S = 2.0
MEAN_RUN_S = 0.4
REPLICAS = 4
SLOTS = 60
# Demand, as a share of the capacity of all replicas.
LOADS = (0.9, 1.3)
GATEWAYS = (3, 9, 90)
SIMULATED_S = 120.0
REPEAT_WINDOW_S = 1.0

MaySend = Callable[[Availability, int, float], bool]
# Strategies to resume after a backoff: without a bound, with a bound on probes that starts at one,
# and with a further bound on requests in flight.
STRATEGIES: dict[str, MaySend] = {
    "all at once": lambda _availability, _in_flight, _now_s: True,
    "one first": lambda availability, _in_flight, _now_s: (
        availability.max_probes is None or availability.probes < availability.max_probes
    ),
    "one first, half of what it had": lambda availability, in_flight, now_s: (
        availability.has_capacity(in_flight, now_s)
    ),
}


class ReturnFigures(msgspec.Struct, frozen=True):
    """Result of one strategy, for one load and number of gateways.

    Attributes:
        way: The strategy, a key of `STRATEGIES`.
        gateways: Number of gateways.
        load: Demand, as a share of the capacity of all replicas.
        served: Share of the requests that were served.
        rests: Rejections with a backoff.
        again: Share of these that came within `REPEAT_WINDOW_S` after the end of the last backoff.
    """

    way: str
    gateways: int
    load: float
    served: float
    rests: int
    again: float


@dataclass(slots=True)
class _Link:
    """One gateway's view of one replica."""

    availability: Availability = field(default_factory=Availability)
    in_flight: int = 0


@dataclass(slots=True)
class _Simulation:
    """State and counts of one simulation.

    Attributes:
        may_send: Strategy: whether a gateway may send to a replica that is not backing off.
        gateways: Number of gateways.
        random: Source of arrivals and durations.
        running: Requests that each replica runs.
        links: Each gateway's view of each replica.
        completions: Heap of running requests: time of completion, gateway, replica.
        requests: Requests that arrived.
        served: Requests that a replica accepted.
        backoffs: Rejections with a backoff.
        repeated_backoffs: Backoffs within `REPEAT_WINDOW_S` after the end of the last one.
    """

    may_send: MaySend
    gateways: int
    random: Random
    running: list[int] = field(default_factory=lambda: [0] * REPLICAS)
    links: list[list[_Link]] = field(default_factory=list)
    completions: list[tuple[float, int, int]] = field(default_factory=list)
    requests: int = 0
    served: int = 0
    backoffs: int = 0
    repeated_backoffs: int = 0

    def simulate(self, load: float) -> None:
        """Simulate `SIMULATED_S` seconds at a demand given as a share of the capacity."""
        self.links = [[_Link() for _ in range(REPLICAS)] for _ in range(self.gateways)]
        rate = load * REPLICAS * SLOTS / MEAN_RUN_S
        now_s = 0.0
        while now_s < SIMULATED_S:
            now_s += self.random.expovariate(rate)
            while self.completions and self.completions[0][0] <= now_s:
                _, gateway, replica = heapq.heappop(self.completions)
                self.running[replica] -= 1
                self.links[gateway][replica].in_flight -= 1
            self._arrive(self.random.randrange(self.gateways), now_s)

    def _arrive(self, gateway: int, now_s: float) -> None:
        self.requests += 1
        links = self.links[gateway]
        candidates = [
            number
            for number, link in enumerate(links)
            if not link.availability.is_backing_off(now_s)
            and self.may_send(link.availability, link.in_flight, now_s)
        ]
        if not candidates:
            return
        replica = min(
            candidates, key=lambda number: (links[number].in_flight, self.random.random())
        )
        self._send(gateway, replica, now_s)

    def _send(self, gateway: int, replica: int, now_s: float) -> None:
        link = self.links[gateway][replica]
        link.in_flight += 1
        if self.running[replica] >= SLOTS:
            last_backoff_ends_at_s = link.availability.backoff_ends_at_s
            self.backoffs += 1
            self.repeated_backoffs += 0.0 < now_s - last_backoff_ends_at_s < REPEAT_WINDOW_S
            link.availability.note_backoff(BACKOFF_S, now_s, link.in_flight)
            link.in_flight -= 1
            return
        link.availability.note_accepted(now_s)
        self.running[replica] += 1
        self.served += 1
        completes_at_s = now_s + self.random.expovariate(1.0 / MEAN_RUN_S)
        heapq.heappush(self.completions, (completes_at_s, gateway, replica))


def run_return_bench(seed: int) -> list[ReturnFigures]:
    """Return the results for each strategy, load and number of gateways."""
    results: list[ReturnFigures] = []
    for load in LOADS:
        for gateways in GATEWAYS:
            for strategy, may_send in STRATEGIES.items():
                simulation = _Simulation(may_send, gateways, Random(seed))
                simulation.simulate(load)
                repeated_share = (
                    simulation.repeated_backoffs / simulation.backoffs
                    if simulation.backoffs
                    else 0.0
                )
                served = round(simulation.served / simulation.requests, 3)
                figures = ReturnFigures(
                    strategy, gateways, load, served, simulation.backoffs, round(repeated_share, 2)
                )
                results.append(figures)
    return results
