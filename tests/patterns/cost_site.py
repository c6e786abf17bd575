"""Replicas of a plain service in simulated time, with requests that cost different amounts of work.

Extends the site of engines: the real selection places each request, gateways report their use to
one another, and a replica works on as many requests at once as it has slots, in order of arrival.
"""

from collections import deque
from dataclasses import dataclass, field
from random import Random

from crowsill.gateway.replica_signals import ReplicaLoad
from crowsill.gateway.replica_work import SentWork, estimate_cost, request_kind
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.selection import choose
from crowsill.gateway.selection_limits import SelectionLimits
from crowsill.model.routes import Route, RouteKind
from tests.patterns.engine_site import SERVICE, EngineSite

REPLICA_SLOTS = 6
ROUTE = Route("r", "h", "/", RouteKind.IDEMPOTENT, 60_000.0, [])


@dataclass
class BimodalCost:
    """Service times of requests that look alike: some take much longer."""

    short_s: float = 0.020
    long_s: float = 0.200
    long_share: float = 0.1

    def draw(self, random, now_s):
        """Return a service time and whether it is one of the short ones."""
        is_long = random.random() < self.long_share
        service_s = self.long_s if is_long else self.short_s
        return service_s * random.uniform(0.8, 1.25), not is_long

    @property
    def mean_s(self):
        """The mean service time."""
        return self.long_share * self.long_s + (1.0 - self.long_share) * self.short_s


@dataclass
class Sent:
    """A request at a replica."""

    gateway: object
    choice: object
    work: SentWork
    sent_at_s: float
    service_s: float
    is_short: bool
    started_at_s: float = 0.0


@dataclass
class Waits:
    """Time that requests waited at replicas, in seconds, and the number that was completed."""

    short_s: list = field(default_factory=list)
    long_s: list = field(default_factory=list)
    completed: int = 0
    by_replica: dict = field(default_factory=dict)

    def short_quantile_s(self, share):
        """Return a quantile of the waiting times of short requests."""
        return sorted(self.short_s)[int(share * len(self.short_s))]

    def long_quantile_s(self, share):
        """Return a quantile of the waiting times of long requests."""
        return sorted(self.long_s)[int(share * len(self.long_s))]


class CostSite(EngineSite):
    """The site; `run` simulates some seconds of requests and returns how long they waited."""

    def __init__(self, seed, *, load, gateways, replicas, cost, uses_costs, slow=None):
        """Create it.

        Args:
            seed: Seed of all randomness.
            load: Work that arrives as a share of what all replicas can do.
            gateways: Number of gateways.
            replicas: Number of replicas.
            cost: Draws service times.
            uses_costs: Whether gateways estimate costs.
            slow: Replicas that are slow for some time.
        """
        rate = load * replicas * REPLICA_SLOTS / cost.mean_s
        super().__init__(
            [[]] * replicas, {"": 1.0}, gateways, rate, seed, slow=slow, uses_costs=uses_costs
        )
        self.cost = cost
        # The same requests arrive whatever the choices were.
        self.cost_random = Random(seed + 77)
        self.waits = Waits(by_replica=dict.fromkeys(range(replicas), 0))
        self.queues = [deque() for _ in range(replicas)]
        self.busy = [0] * replicas
        for gateway in self.gateways:
            for record in gateway.registry.of_service(SERVICE):
                record.instance = type(record.instance)(
                    record.instance.instance_id, SERVICE, record.instance.address, "z0", 6
                )

    def run(self, seconds):
        """Simulate requests for some seconds, and what follows them."""
        super().run(seconds)
        return self.waits

    def _arrive(self, now_s):
        gateway = self.random.choice(self.gateways)
        service_s, is_short = self.cost.draw(self.cost_random, now_s)
        request = CallerRequest(b"GET", b"/", [], b"", True, now_s)
        costs, estimate = gateway.registry.costs, None
        if costs is not None:
            kind = request_kind(request, SERVICE, ROUTE, "t", gateway.latency_model)
            estimate = estimate_cost(costs, kind, now_s)
        limits = SelectionLimits("z0", 100, random=gateway.random, cost=estimate)
        records = gateway.registry.of_service(SERVICE)
        choice = choose(records, request, set(), limits, now_s)
        record = choice.record
        number = int(record.instance.instance_id.removeprefix("i-"))
        self.waits.by_replica[number] += 1
        record.in_flight += 1
        work = SentWork(costs, record, estimate, False, now_s)
        self.queues[number].append(Sent(gateway, choice, work, now_s, service_s, is_short))
        self._start(now_s, number)

    def _start(self, now_s, number):
        while self.queues[number] and self.busy[number] < REPLICA_SLOTS:
            sent = self.queues[number].popleft()
            self.busy[number] += 1
            sent.started_at_s = now_s
            waits = self.waits.short_s if sent.is_short else self.waits.long_s
            waits.append(now_s - sent.sent_at_s)
            service_s = sent.service_s * self.slow.factor_of(number, now_s)
            self._at(now_s + service_s, self._finish, sent, number)

    def _finish(self, now_s, sent, number):
        self.busy[number] -= 1
        self.waits.completed += 1
        record, choice = sent.choice.record, sent.choice
        record.in_flight -= 1
        record.note_success()
        record.note_load(ReplicaLoad(self.busy[number], len(self.queues[number])), now_s)
        sent.work.note_complete(sent.sent_at_s, bool(self.queues[number]), now_s)
        if choice.cost is None:
            expected_s = choice.expected_ms / 1000.0 / max(0.2, record.slowness_now(now_s))
            record.note_response_time(now_s - sent.sent_at_s, expected_s, now_s)
        sent.work.stop_counting()
        self._start(now_s, number)
