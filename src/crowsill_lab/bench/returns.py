"""What becomes of replicas that shed and ask for rest, for several numbers of gateways: simulated.

Requests come at random to gateways, which know of replicas only what these answer. A replica runs
as many as it has places for, and turns others away with a rest. A gateway sends to the replica that
has the fewest of its own requests, of those that it may send to now, and refuses where there is
none: nobody waits, so that what is served shows the bound alone.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import msgspec

from crowsill.gateway.availability import Availability

REST_S = 2.0
RUN_S = 0.4
REPLICAS = 4
PLACES = 60
# What comes, as a share of what all replicas can run.
LOADS = (0.9, 1.3)
GATEWAYS = (3, 9, 90)
PLAYED_S = 120.0
SOON_S = 1.0

MayTake = Callable[[Availability, int, float], bool]
# Ways to return after a rest: all at once, one request first, and that with the bound on what it
# may have besides.
WAYS: dict[str, MayTake] = {
    "all at once": lambda _told, _in_flight, _now_s: True,
    "one first": lambda availability, _in_flight, _now_s: (
        availability.max_probes is None or availability.probes < availability.max_probes
    ),
    "one first, half of what it had": lambda availability, in_flight, now_s: (
        availability.has_capacity(in_flight, now_s)
    ),
}


class ReturnFigures(msgspec.Struct, frozen=True):
    """One way to return, at one load and number of gateways.

    Attributes:
        way: The way.
        gateways: Number of gateways.
        load: What comes, as a share of what all replicas can run.
        served: Share of the requests that were served.
        rests: Rests that a gateway was asked for.
        again: Share of the rests after which the next one began within a second.
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
class _Play:
    """One simulation."""

    may_take: MayTake
    gateways: int
    random: Random
    running: list[int] = field(default_factory=lambda: [0] * REPLICAS)
    links: list[list[_Link]] = field(default_factory=list)
    ends: list[tuple[float, int, int]] = field(default_factory=list)
    asked: int = 0
    served: int = 0
    rests: int = 0
    again: int = 0

    def play(self, load: float) -> None:
        """Play it."""
        self.links = [[_Link() for _ in range(REPLICAS)] for _ in range(self.gateways)]
        rate = load * REPLICAS * PLACES / RUN_S
        now_s = 0.0
        while now_s < PLAYED_S:
            now_s += self.random.expovariate(rate)
            while self.ends and self.ends[0][0] <= now_s:
                _, gateway, replica = heapq.heappop(self.ends)
                self.running[replica] -= 1
                self.links[gateway][replica].in_flight -= 1
            self._arrive(self.random.randrange(self.gateways), now_s)

    def _arrive(self, gateway: int, now_s: float) -> None:
        self.asked += 1
        links = self.links[gateway]
        open_to = [
            number
            for number, link in enumerate(links)
            if not link.availability.is_backing_off(now_s)
            and self.may_take(link.availability, link.in_flight, now_s)
        ]
        if not open_to:
            return
        replica = min(open_to, key=lambda number: (links[number].in_flight, self.random.random()))
        self._send(gateway, replica, now_s)

    def _send(self, gateway: int, replica: int, now_s: float) -> None:
        link = self.links[gateway][replica]
        link.in_flight += 1
        if self.running[replica] >= PLACES:
            over_s = link.availability.backoff_ends_at_s
            self.rests += 1
            self.again += 0.0 < now_s - over_s < SOON_S
            link.availability.note_backoff(REST_S, now_s, link.in_flight)
            link.in_flight -= 1
            return
        link.availability.note_accepted(now_s)
        self.running[replica] += 1
        self.served += 1
        ends_s = now_s + self.random.expovariate(1.0 / RUN_S)
        heapq.heappush(self.ends, (ends_s, gateway, replica))


def run_return_bench(seed: int) -> list[ReturnFigures]:
    """Return the figures of each way, load and number of gateways."""
    found: list[ReturnFigures] = []
    for load in LOADS:
        for gateways in GATEWAYS:
            for way, may_take in WAYS.items():
                play = _Play(may_take, gateways, Random(seed))
                play.play(load)
                share = play.again / play.rests if play.rests else 0.0
                served = round(play.served / play.asked, 3)
                figures = ReturnFigures(way, gateways, load, served, play.rests, round(share, 2))
                found.append(figures)
    return found
