"""Work that replicas still have to do, and the choice by it."""

import hashlib
from random import Random

import pytest

from crowsill.gateway.replica_registry import ReplicaRecord, ReplicaRegistry
from crowsill.gateway.replica_work import (
    RequestCost,
    SentWork,
    estimate_cost,
    report_weight,
    reported_work_ms,
    request_kind,
    work_left_ms,
)
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.selection import choose
from crowsill.gateway.selection_limits import SelectionLimits
from crowsill.model.instances import Instance
from crowsill.model.replica_use import NO_USE, ReplicaUse
from crowsill.model.routes import Route, RouteKind
from crowsill.routing.cost_histogram import MAX_TIME_MS
from crowsill.routing.engine_latency import LatencyModel
from crowsill.routing.request_cost import CostModel
from crowsill.state.directory import DirectoryChange
from tests.patterns.engine_site import SlowEngines, popular_site

ROUTE = Route("r", "h", "/", RouteKind.IDEMPOTENT, 60_000.0, [])
PLAIN = CallerRequest(b"GET", b"/", [], b"", True, 0.0)


def record(instance_id="a", slots=6):
    return ReplicaRecord(Instance(instance_id, "s", "127.0.0.1:1", "z", slots))


def plain_kind(tenant="t"):
    return request_kind(PLAIN, "s", ROUTE, tenant, LatencyModel())


def cost_of(model, now_s=0.0, tenant="t") -> RequestCost:
    cost = estimate_cost(model, plain_kind(tenant), now_s)
    assert cost is not None
    return cost


def model_of(*costs_ms, tenant="t"):
    model = CostModel()
    for number in range(200):
        model.observe(plain_kind(tenant), costs_ms[number % len(costs_ms)], number * 0.001)
    return model


def send(model, replica, now_s=0.0, tenant="t", is_stream=False):
    replica.in_flight += 1
    return SentWork(model, replica, cost_of(model, now_s, tenant), is_stream, now_s)


def chosen_ids(records, cost, now_s=0.0, rounds=40):
    limits = SelectionLimits("z", 100, random=Random(1), cost=cost)
    return {
        choose(records, PLAIN, set(), limits, now_s).record.instance.instance_id
        for _ in range(rounds)
    }


def plain_choices(seed):
    """Return 400 choices among twelve replicas whose load changes all the time."""
    random, limits = Random(seed), SelectionLimits("z0", 100, random=Random(seed))
    records = [
        ReplicaRecord(Instance(f"i-{number}", "s", "127.0.0.1:1", f"z{number % 3}", 6))
        for number in range(12)
    ]
    chosen = []
    for number in range(400):
        now_s = number * 0.01
        for item in records:
            item.in_flight = random.randrange(9)
            if random.random() < 0.1:
                item.note_peer_use(ReplicaUse(random.randrange(12)), now_s)
                item.note_response_time(random.random(), 0.1, now_s)
        choice = choose(records, PLAIN, set(), limits, now_s)
        chosen.append(int(choice.record.instance.instance_id.removeprefix("i-")))
    return chosen


def digest(choices):
    return hashlib.sha256(repr(choices).encode()).hexdigest()[:16]


@pytest.mark.parametrize(("seed", "expected"), [(1, "1ad7efec59c3bef9"), (2, "f94ecdfaabbccb13")])
def test_without_estimates_choices_of_a_service_are_those_of_before(seed, expected):
    assert digest(plain_choices(seed)) == expected


@pytest.mark.parametrize(("seed", "expected"), [(1, "c4a4b6109cd34aa1"), (2, "4ccb758e06930c20")])
def test_without_estimates_choices_of_engines_are_those_of_before(seed, expected):
    slow = SlowEngines(3, 5.0, 2.0, 5.0)
    outcome = popular_site(seed, rate=150.0, engines=30, gateways=60, slow=slow).run(6)
    assert digest([number for _, number, _ in outcome.sent_at_s]) == expected


def test_without_estimates_nothing_is_counted_or_reported():
    registry = ReplicaRegistry()
    instance = Instance("a", "s", "127.0.0.1:1", "z", 6)
    registry.adopt(DirectoryChange(1, [instance], []), True, 0.0)
    replica = registry.find("a")
    assert replica is not None and registry.costs is None
    replica.in_flight += 1
    work = SentWork(None, replica, None, False, 0.0)
    assert registry.in_use(1.0) == {"a": ReplicaUse(1)}
    work.note_complete(0.0, False, 1.0)
    work.note_abandoned(1.0)
    assert replica.slowness == 1.0 and not replica.own_work.running


def test_a_report_has_the_work_that_is_left():
    registry, model = ReplicaRegistry(), model_of(100.0)
    instance = Instance("a", "s", "127.0.0.1:1", "z", 6)
    registry.adopt(DirectoryChange(1, [instance], []), True, 0.0)
    work = send(model, registry.find("a"))
    assert 80 <= registry.in_use(0.0)["a"].work_ms <= 120
    assert registry.in_use(0.09)["a"].work_ms < 40
    total = {"a": ReplicaUse(3, work_ms=1000)}
    registry.note_total_use(total, registry.in_use(0.0), 0.1)
    assert 880 <= registry.find("a").peer_use.work_ms <= 920
    work.stop_counting()
    assert registry.find("a").own_work.left_ms(0.1) == 0.0


def test_a_replica_with_one_long_request_is_avoided_for_one_with_two_short_ones():
    model = CostModel()
    for number in range(400):
        is_long = number % 2
        model.observe(plain_kind("long" if is_long else "t"), 2000.0 if is_long else 20.0, 0.0)
    busy, free = record("busy", 1), record("free", 1)
    send(model, busy, tenant="long")
    send(model, free)
    send(model, free)
    assert chosen_ids([busy, free], cost_of(model), 0.01) == {"free"}
    # Counts prefer the other one.
    assert chosen_ids([busy, free], None, 0.01) == {"busy"}


def test_a_request_that_outruns_the_short_ones_turns_others_away():
    model = model_of(*[20.0] * 9, 200.0)
    stuck, fresh = record("stuck", 1), record("fresh", 1)
    send(model, stuck, now_s=0.0)
    send(model, fresh, now_s=0.05)
    assert chosen_ids([stuck, fresh], cost_of(model), 0.055) == {"fresh"}


def test_work_that_others_reported_turns_requests_away():
    model = model_of(20.0)
    used, unused = record("used"), record("unused")
    used.note_peer_use(ReplicaUse(6, work_ms=3000), 1.0)
    unused.note_peer_use(ReplicaUse(6, work_ms=60), 1.0)
    assert chosen_ids([used, unused], cost_of(model), 1.1) == {"unused"}
    assert chosen_ids([used, unused], cost_of(model), 9.0) == {"used", "unused"}


def test_requests_without_reported_work_count_with_the_mean():
    model, replica = model_of(80.0), record()
    replica.note_peer_use(ReplicaUse(3), 0.0)
    assert reported_work_ms(replica, cost_of(model)) == pytest.approx(240.0, rel=0.15)


@pytest.mark.parametrize(
    ("use", "max_ms"),
    [
        (ReplicaUse(2, work_ms=-5000), 400.0),
        (ReplicaUse(2, work_ms=10**15), 2 * MAX_TIME_MS),
        (ReplicaUse(-3, work_ms=700), 0.0),
        (ReplicaUse(0, work_ms=700), 0.0),
        (NO_USE, 0.0),
    ],
)
def test_absurd_reports_are_bounded(use, max_ms):
    model, replica = model_of(80.0), record()
    replica.note_peer_use(use, 0.0)
    assert 0.0 <= reported_work_ms(replica, cost_of(model)) <= max_ms
    # A report from the future, as after a late heartbeat, counts in full at most.
    for now_s in (0.0, -5.0):
        assert 0.0 <= work_left_ms(replica, cost_of(model), now_s, with_peers=True) <= max_ms


def test_reports_lose_their_weight():
    model, replica = model_of(80.0), record()
    replica.note_peer_use(ReplicaUse(12, work_ms=6000), 0.0)
    weights = [report_weight(replica, cost_of(model), age_s) for age_s in (0.0, 0.5, 1.0, 1.5)]
    assert weights == sorted(weights, reverse=True)
    assert (weights[0], weights[-1]) == (1.0, 0.0)


def test_a_report_that_was_worked_off_hides_no_requests_that_the_replica_reports():
    model, replica = model_of(20.0), record()
    replica.note_peer_use(ReplicaUse(6, work_ms=120), 0.0)
    replica.reported_other_requests, replica.load_reported_at_s = 6.0, 0.4
    left_ms = work_left_ms(replica, cost_of(model, 0.4), 0.4, with_peers=True)
    assert left_ms == pytest.approx(6 * 20.0, rel=0.15)


def test_requests_beyond_the_known_ones_count_with_the_mean():
    model, replica = model_of(80.0), record()
    replica.reported_other_requests, replica.load_reported_at_s = 5.0, 0.0
    replica.note_peer_use(ReplicaUse(2, work_ms=50), 0.0)
    left_ms = work_left_ms(replica, cost_of(model), 0.0, with_peers=True)
    assert left_ms == pytest.approx(50.0 + 3 * 80.0, rel=0.15)


def test_a_full_replica_teaches_no_service_time():
    model, replica = model_of(20.0), record(slots=1)
    send(model, replica)
    for number in range(50):
        work = send(model, replica)
        work.note_complete(0.0, False, 5.0 + number * 0.01)
    assert cost_of(model, 6.0).estimate.mean_ms < 40.0


def test_a_response_that_reports_waiting_requests_teaches_no_service_time():
    model = model_of(20.0)
    for number in range(50):
        replica = record()
        send(model, replica).note_complete(0.0, True, 5.0 + number * 0.01)
    assert cost_of(model, 6.0).estimate.mean_ms < 40.0


def test_a_stream_costs_what_follows_its_first_event():
    model, replica = CostModel(), record()
    for number in range(100):
        work = send(model, replica, number * 1.0, is_stream=True)
        work.note_first_event(number + 0.8)
        work.note_complete(number * 1.0, True, number + 0.9)
        work.stop_counting()
    assert 80.0 < cost_of(model, 100.0).estimate.mean_ms < 130.0


def test_cancelled_requests_stop_counting_and_teach_that_they_are_longer():
    model, replica = model_of(20.0), record()
    for number in range(60):
        replica.in_flight = 0
        work = send(model, replica, number * 1.0)
        work.note_abandoned(number + 0.5)
        work.stop_counting()
    assert not replica.own_work.running
    assert cost_of(model, 60.0).estimate.mean_ms > 200.0


def test_one_costly_request_does_not_make_a_replica_slow():
    model, replica = model_of(*[20.0] * 9, 200.0), record()
    send(model, replica, 1.0).note_complete(1.0, False, 1.2)
    assert replica.slowness_now(1.2) < 1.4
    for _ in range(30):
        replica.in_flight = 0
        send(model, replica, 2.0).note_complete(2.0, False, 2.1)
    assert replica.slowness_now(2.1) > 2.0
