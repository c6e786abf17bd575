"""A burst of four times as many patient requests beside urgent ones, over 60 gateways.

Urgent callers need a first event within 0.8 s, patient ones within 6 s, and the room after the
burst suffices for those that gave way. In the first test the engines are short of time, in the
second each gateway is short of places, so that many requests wait at it.
"""

import heapq
import itertools
from collections import Counter
from random import Random
from statistics import mean

from crowsill.gateway.exchange import MAX_FIRST_EVENT_TARGETS, MIN_FIRST_EVENT_LIMIT_MS
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.selection import NoReplicaReason, choose
from crowsill.gateway.selection_limits import SelectionLimits
from crowsill.gateway.wait_decision import in_order, should_wait, wait_budget
from crowsill.gateway.wait_estimates import estimate_wait
from crowsill.gateway.wait_history import WaitCause, WaitKey
from crowsill.gateway.wait_queue import WaitQueue
from crowsill.gateway.wait_turns import new_waiter
from crowsill.gateway.waiting import CAPACITY_POLL_S
from crowsill.model.routes import Route, RouteKind, WeightedService
from crowsill.routing.engine_latency import LatencyModel
from tests.patterns.engine_site import (
    DRAFTS,
    SERVICE,
    SLOTS,
    EngineSite,
    popular_site,
)

SHARES = [WeightedService(SERVICE, 1)]
URGENT = Route("urgent", "h", "/u/", RouteKind.STREAM, 5000, SHARES, 800, rank=0)
PATIENT = Route("patient", "h", "/p/", RouteKind.STREAM, 8000, SHARES, 6000, rank=1)
SECONDS = 16
URGENT_PER_S = 170.0
PATIENT_PER_S = 40.0
BURST_FACTOR = 4.0
BURST_STARTS_S, BURST_ENDS_S = 4.0, 8.0
SEEDS = (1, 2, 3)
GATEWAYS = 60
# The second test, by gateway: places, time that a request takes one, and requests per second.
PLACES = 4
PLACE_S = 0.2
URGENT_AT_PLACES_PER_S = 10.0
PATIENT_AT_PLACES_PER_S = 4.0
# Urgent callers must not notice the burst; patient ones can be served after it.
MAX_URGENT_LOSS = 0.02
MIN_PATIENT_SHARE = 0.9


class BurstSite(EngineSite):
    """A site whose gateways let requests wait, in order or until a poll finds room."""

    def __init__(self, *arguments, **more):
        self.is_ordered = True
        self.burst_factor = BURST_FACTOR
        self.has_waited = set()
        super().__init__(*arguments, **more)
        self.requests = Counter()
        self.served = Counter()
        self.queues = {gateway.name: WaitQueue() for gateway in self.gateways}
        self.entries = {}
        self.routes = {}

    def _prepare(self):
        super()._prepare()
        for second in range(SECONDS):
            is_burst = BURST_STARTS_S <= second < BURST_ENDS_S
            factor = self.burst_factor if is_burst else 1.0
            for route, rate in ((URGENT, URGENT_PER_S), (PATIENT, PATIENT_PER_S * factor)):
                for _ in range(round(rate)):
                    self._at(second + self.random.random(), self._arrive_on, route)

    def _arrive_on(self, now_s, route):
        random = self.random
        model = random.choices(list(self.shares), list(self.shares.values()))[0]
        prompt_tokens, output_tokens = DRAFTS.draw(random)
        request = CallerRequest(
            b"POST", b"/", [], b"", True, now_s, model=model, prompt_tokens=prompt_tokens
        )
        request.output_tokens = output_tokens
        gateway = random.choice(self.gateways)
        waiter = new_waiter(
            request, route, SERVICE, gateway.latency_model, rank=route.rank, tenant=""
        )
        self.requests[route.name] += 1
        self.routes[id(request)] = route
        self.entries[waiter] = (gateway, request, route)
        queue = self.queues[gateway.name]
        if self.is_ordered and queue.has_others(waiter):
            queue.join(waiter)
            self._offer(now_s, gateway)
        else:
            self._try(now_s, waiter)
        self._poll(now_s, waiter)

    def _choose(self, now_s, waiter):
        gateway, request, route = self.entries[waiter]
        limit_ms = max(MIN_FIRST_EVENT_LIMIT_MS, route.target_latency_ms * MAX_FIRST_EVENT_TARGETS)
        limits = SelectionLimits(
            gateway.zone,
            SLOTS,
            max_expected_ms=limit_ms,
            has_idle=lambda instance_id: gateway.idle[instance_id] > 0,
            latency_model=gateway.latency_model,
            random=gateway.random,
        )
        return choose(gateway.registry.of_service(SERVICE), request, set(), limits, now_s)

    def _try(self, now_s, waiter):
        """Send a request if there is room."""
        choice = self._choose(now_s, waiter)
        if isinstance(choice, NoReplicaReason):
            return False
        gateway, request, route = self.entries.pop(waiter)
        self.queues[gateway.name].note_sent(waiter, 1.0, now_s)
        if waiter in self.has_waited:
            key = WaitKey(SERVICE, WaitCause.CAPACITY, request.model)
            gateway.registry.wait_history.note_ended(key, now_s)
        remaining_s = route.timeout_ms / 1000.0 - (now_s - request.arrived_at_s)
        self._send(now_s, gateway, request, choice, remaining_s, request.output_tokens)
        return True

    def _step(self, now_s, number):
        # Engines read the prompts of lower ranks first.
        self.waiting[number].sort(key=lambda stream: self.routes[id(stream.request)].rank)
        super()._step(now_s, number)

    def _offer(self, now_s, gateway):
        """Offer turns to the requests that wait at a gateway."""
        queue = self.queues[gateway.name]
        current = queue.begin_round(SERVICE, now_s)
        while (waiter := current.next(now_s)) is not None:
            if not self._try(now_s, waiter):
                queue.join(waiter)
                current.note_failed(waiter)

    def _poll(self, now_s, waiter):
        """Reject a request that is not worth waiting for; otherwise look again later."""
        if waiter not in self.entries:
            return
        gateway = self.entries[waiter][0]
        queue = self.queues[gateway.name]
        if self.is_ordered:
            queue.join(waiter)
            self._offer(now_s, gateway)
        elif self._try(now_s, waiter):
            return
        if waiter not in self.entries:
            return
        if not self._should_wait(now_s, waiter):
            queue.leave(waiter)
            del self.entries[waiter]
            return
        self.has_waited.add(waiter)
        if not waiter.gives_way(now_s):
            gateway, request, _ = self.entries[waiter]
            key = WaitKey(SERVICE, WaitCause.CAPACITY, request.model)
            gateway.registry.wait_history.note_waited(key, CAPACITY_POLL_S, now_s)
        self._at(now_s + CAPACITY_POLL_S, self._poll, waiter)

    def _should_wait(self, now_s, waiter):
        gateway, request, route = self.entries[waiter]
        waited_s, reason = now_s - request.arrived_at_s, self._choose(now_s, waiter)
        if not isinstance(reason, NoReplicaReason):
            reason = NoReplicaReason.ALL_FULL
        is_ordered = self.is_ordered and reason is NoReplicaReason.ALL_FULL
        idle_ms = gateway.latency_model.idle_first_event_ms(request.model, request.prompt_tokens)
        budget, response_s = wait_budget(route, None, waited_s), idle_ms / 1000.0
        estimate = estimate_wait(
            reason,
            request,
            records=gateway.registry.of_service(SERVICE),
            weights=None,
            history=gateway.registry.wait_history,
            service=SERVICE,
            now_s=now_s,
        )
        if is_ordered:
            turn_after_s = self.queues[gateway.name].turn_after_s(waiter, now_s)
            if waiter.gives_way(now_s):
                turn_after_s = min(turn_after_s, waiter.pressing_at_s - now_s)
            estimate = in_order(estimate, turn_after_s, budget, response_s)
        return should_wait(estimate, budget, response_s)

    def _receive_response_head(self, stream, number, now_s):
        super()._receive_response_head(stream, number, now_s)
        route = self.routes[id(stream.request)]
        taken_s = now_s - stream.request.arrived_at_s
        is_in_time = taken_s <= route.target_latency_ms / 1000.0
        self.served[route.name] += is_in_time
        self._offer_if_ordered(now_s, stream.gateway)

    def _end(self, now_s, stream, is_complete):
        super()._end(now_s, stream, is_complete)
        self._offer_if_ordered(now_s, stream.gateway)

    def _offer_if_ordered(self, now_s, gateway):
        if self.is_ordered and len(self.queues[gateway.name]):
            self._offer(now_s, gateway)

    def share_in_time(self, route):
        """Return the share of a route's requests that had their first event in time."""
        return self.served[route.name] / self.requests[route.name]


def play(seed, *, burst_factor=BURST_FACTOR, is_ordered=True):
    site = popular_site(seed, rate=1e-9, engines=45, gateways=GATEWAYS, kind=BurstSite)
    site.burst_factor, site.is_ordered = burst_factor, is_ordered
    site.run(SECONDS)
    return site.share_in_time(URGENT), site.share_in_time(PATIENT)


def test_a_burst_of_patient_requests_gives_way_and_is_served_after_it():
    usual = [play(seed, burst_factor=1.0)[0] for seed in SEEDS]
    urgent, patient = zip(*(play(seed) for seed in SEEDS), strict=True)
    assert mean(urgent) >= mean(usual) - MAX_URGENT_LOSS
    assert min(patient) >= MIN_PATIENT_SHARE


class Places:
    """One gateway that has few places at its replicas."""

    def __init__(self, seed, is_ordered):
        self.random = Random(seed)
        self.is_ordered = is_ordered
        self.queue = WaitQueue()
        self.waiting = []
        self.free = PLACES
        self.events, self.numbers = [], itertools.count()
        self.in_time = Counter()
        self.requests = Counter()

    def at(self, time_s, action, *arguments):
        heapq.heappush(self.events, (time_s, next(self.numbers), action, arguments))

    def arrive(self, now_s, route):
        request = CallerRequest(b"POST", b"/", [], b"", True, now_s)
        item = new_waiter(request, route, SERVICE, LatencyModel(), rank=route.rank, tenant="")
        self.requests[route.name] += 1
        if self.is_ordered:
            self.queue.join(item)
            self.offer(now_s)
        elif self.free:
            self.send(now_s, item)
        else:
            self.waiting.append(item)

    def send(self, now_s, item):
        self.free -= 1
        self.queue.note_sent(item, 1.0, now_s)
        route = URGENT if item.is_urgent else PATIENT
        self.in_time[route.name] += (
            now_s + PLACE_S <= item.arrived_at_s + route.target_latency_ms / 1000.0
        )
        self.at(now_s + PLACE_S, self.end)

    def end(self, now_s):
        self.free += 1
        if self.is_ordered:
            self.offer(now_s)

    def offer(self, now_s):
        current = self.queue.begin_round(SERVICE, now_s)
        while self.free and (item := current.next(now_s)) is not None:
            self.send(now_s, item)

    def poll(self, now_s):
        """Look for room in any order, as without the queue."""
        self.random.shuffle(self.waiting)
        while self.free and self.waiting:
            self.send(now_s, self.waiting.pop())
        # Those that have left do not take a place.
        self.waiting = [item for item in self.waiting if now_s < item.deadline_start_at_s]
        self.at(now_s + CAPACITY_POLL_S, self.poll)

    def run(self, burst_factor):
        for route, rate in (
            (URGENT, URGENT_AT_PLACES_PER_S),
            (PATIENT, PATIENT_AT_PLACES_PER_S),
        ):
            at_s = 0.0
            while at_s < SECONDS:
                is_burst = route is PATIENT and BURST_STARTS_S <= at_s < BURST_ENDS_S
                at_s += self.random.expovariate(rate * (burst_factor if is_burst else 1.0))
                self.at(at_s, self.arrive, route)
        if not self.is_ordered:
            self.at(0.0, self.poll)
        while self.events and self.events[0][0] < SECONDS + 8.0:
            now_s, _, action, arguments = heapq.heappop(self.events)
            action(now_s, *arguments)


def play_places(burst_factor=BURST_FACTOR, is_ordered=True):
    """Return the shares of urgent and patient requests in time over all gateways."""
    in_time, requests = Counter(), Counter()
    for seed in range(GATEWAYS):
        gateway = Places(seed, is_ordered)
        gateway.run(burst_factor)
        in_time += gateway.in_time
        requests += gateway.requests
    return tuple(in_time[route.name] / requests[route.name] for route in (URGENT, PATIENT))


def test_a_burst_gives_way_where_gateways_have_few_places():
    usual, _ = play_places(burst_factor=1.0)
    urgent, patient = play_places()
    assert urgent >= usual - MAX_URGENT_LOSS
    assert patient >= MIN_PATIENT_SHARE
