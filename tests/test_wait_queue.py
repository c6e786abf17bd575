"""The order in which waiting requests get their turn: rank, work by tenant, slack, starvation."""

import itertools
from collections import Counter
from random import Random

import pytest

from crowsill.gateway.tenant_work import MAX_DOUBLINGS, WORK_HALVING_S, TenantWork, tenant_shares
from crowsill.gateway.wait_queue import (
    MAX_WAITING,
    PLACES_PER_PRESSING,
    WaitQueue,
)
from crowsill.gateway.waiter import RequestClass, Resource, Waiter
from crowsill.model.tenants import RateUnit, Tenant

SERVICE = "engines"
SEEDS = range(30)


def class_of(model, route, **more):
    return RequestClass(Resource(model), route, 8, **more)


def waiter(model="m", *, rank=0, tenant="", patient=False, work_ms=100.0, at_s=0.0, **more):
    target_s, deadline_s = (6.0, 8.0) if patient else (0.8, 3.2)
    return Waiter(
        SERVICE,
        more.get("request_class") or class_of(model, "patient" if patient else "urgent"),
        rank,
        tenant,
        not patient,
        work_ms,
        at_s,
        at_s + more.get("target_s", target_s),
        at_s + more.get("deadline_s", deadline_s),
    )


def queue_of(*waiters, **more):
    queue = WaitQueue(**more)
    for item in waiters:
        assert queue.join(item)
    return queue


def turns(queue, now_s=0.0, *, places=10_000, fits=lambda _waiter: True, can_serve=None, share=1.0):
    """Offer turns until none is left; return the requests that were sent, in order."""
    sent, current = [], queue.begin_round(SERVICE, now_s, can_serve)
    while (item := current.next(now_s)) is not None:
        if len(sent) < places and fits(item):
            queue.note_sent(item, share, now_s)
            sent.append(item)
        else:
            queue.join(item)
            current.note_failed(item)
    return sent


def test_lower_ranks_go_first_then_the_earliest_latest_start():
    late = waiter(rank=1, target_s=0.5)
    second = waiter(rank=0, target_s=0.9)
    first = waiter(rank=0, target_s=0.7)
    assert turns(queue_of(late, second, first)) == [first, second, late]


def test_of_two_with_equal_slack_the_cheaper_one_goes_first():
    dear, cheap = waiter(work_ms=900.0), waiter(work_ms=50.0)
    assert turns(queue_of(dear, cheap)) == [cheap, dear]


def test_a_request_that_missed_its_target_goes_after_those_that_can_meet_it():
    missed, fresh = waiter(at_s=0.0), waiter(at_s=1.0)
    assert turns(queue_of(missed, fresh), now_s=1.1) == [fresh, missed]


def test_patient_requests_give_way_until_half_of_their_slack_is_used_also_with_a_higher_rank():
    patient, urgent = waiter(rank=0, patient=True), waiter(rank=1, at_s=2.9)
    assert turns(queue_of(patient, urgent), now_s=2.9) == [urgent, patient]
    patient, urgent = waiter(rank=0, patient=True), waiter(rank=1, at_s=3.1)
    assert turns(queue_of(patient, urgent), now_s=3.1) == [patient, urgent]


def test_each_tenant_gets_its_share_of_the_work_not_of_the_requests():
    # One tenant's requests take four times the work of the others', and it sends most of them.
    work_of = {"large": 400.0, "small": 100.0, "": 100.0}
    items = [
        waiter(tenant=tenant, work_ms=work_of[tenant], target_s=0.8 + number / 1000.0)
        for number in range(120)
        for tenant in ("large", "large", "small", "")
    ]
    sent = turns(queue_of(*items), places=120)
    work = Counter()
    for item in sent:
        work[item.tenant] += item.work_ms
    assert max(work.values()) - min(work.values()) <= 2 * max(work_of.values())


def test_the_share_follows_the_rate_of_the_tenant():
    shares = tenant_shares(
        [
            Tenant("large", rate_per_s=3000.0, unit=RateUnit.TOKENS),
            Tenant("small", rate_per_s=1.0, unit=RateUnit.REQUESTS),
        ]
    )
    work = TenantWork()
    sent = Counter()
    for _ in range(400):
        tenant = min(shares, key=work.of)
        work.charge(tenant, 50.0, shares[tenant], now_s=0.0)
        sent[tenant] += 1
    assert sent["large"] / sent["small"] == pytest.approx(3.0, rel=0.05)


def test_a_tenant_that_was_idle_gets_no_more_than_its_share_when_it_returns():
    queue = WaitQueue()
    for _ in range(100):
        queue.note_sent(waiter(tenant="busy"), 1.0, 0.0)
    items = [waiter(tenant=name) for name in ("busy", "idle") for _ in range(50)]
    for item in items:
        queue.join(item)
    assert Counter(item.tenant for item in turns(queue, places=40))["idle"] <= 21


def test_work_long_ago_weighs_less_and_counters_stay_finite():
    work = TenantWork()
    work.charge("early", 1000.0, 1.0, 0.0)
    work.charge("late", 300.0, 1.0, 3.0 * WORK_HALVING_S)
    assert work.of("late") > work.of("early")
    for step in range(100):
        work.charge("early", 100.0, 1.0, step * WORK_HALVING_S * MAX_DOUBLINGS / 3.0)
    assert 0.0 < work.of("early") < 1e30


def test_work_that_was_not_run_is_taken_back():
    queue, item = WaitQueue(), waiter(tenant="a")
    queue.note_sent(item, 1.0, 0.0)
    queue.note_not_run(item, 1.0, 0.0)
    first, second = waiter(tenant="a"), waiter(tenant="b", target_s=0.9)
    for one in (first, second):
        queue.join(one)
    assert turns(queue) == [first, second]


def test_a_patient_request_is_sent_in_a_burst_that_never_ends():
    # Every place is contested by a fresh urgent request of the highest rank.
    queue = queue_of(*(waiter(rank=9, patient=True, tenant="hot") for _ in range(10)))
    sent_at_s, now_s = [], 0.0
    while len(sent_at_s) < 10 and now_s < 60.0:
        for _ in range(2):
            queue.join(waiter(at_s=now_s))
        sent = turns(queue, now_s, places=1)
        sent_at_s += [now_s for item in sent if item.rank == 9]
        now_s += 0.05
    assert sent_at_s[0] >= 3.0
    assert len(sent_at_s) == 10
    # They go at every fourth place at the latest once they are the first to have arrived.
    gaps = [later - earlier for earlier, later in itertools.pairwise(sent_at_s)]
    assert max(gaps) <= PLACES_PER_PRESSING * 0.05 + 1e-9


def test_no_more_than_every_fourth_place_goes_to_pressing_requests_of_a_low_rank():
    queue = queue_of(*(waiter(rank=9, patient=True) for _ in range(40)))
    for _ in range(60):
        queue.join(waiter(at_s=4.0))
    sent = turns(queue, 4.0, places=40)
    assert sum(item.rank == 9 for item in sent) <= 40 / PLACES_PER_PRESSING


def test_a_request_that_finds_no_room_does_not_hold_up_those_for_another_resource():
    missing, usable = waiter("gone", target_s=0.1), waiter("held", rank=5)
    queue = queue_of(missing, usable)
    assert turns(queue, fits=lambda item: item.request_class.resource.model == "held") == [usable]
    assert missing.is_queued


def test_a_request_that_has_tried_a_replica_does_not_hold_up_its_equals():
    tried = waiter(target_s=0.1, request_class=class_of("m", "urgent", sole_id=1))
    fresh = waiter(target_s=0.9)
    assert turns(queue_of(tried, fresh), fits=lambda item: not item.request_class.sole_id) == [
        fresh
    ]


def test_equal_requests_are_passed_over_after_the_first_found_no_room():
    queue, offered = queue_of(*(waiter() for _ in range(100))), []
    assert turns(queue, fits=offered.append) == []
    assert len(offered) == 1
    assert len(queue) == 100


def test_a_free_place_is_offered_only_to_those_that_could_use_it():
    one, other = waiter("a"), waiter("b")
    queue = queue_of(one, other)
    assert turns(queue, can_serve=lambda resource: resource.model == "b") == [other]


def test_the_length_is_bounded_and_places_become_free_again():
    queue = queue_of(*(waiter() for _ in range(MAX_WAITING)))
    further = waiter()
    assert not queue.join(further)
    assert len(turns(queue, places=1)) == 1
    assert queue.join(further)


def test_the_expected_time_follows_position_and_the_time_between_places():
    items = [waiter(patient=True, target_s=6.0 + number / 10.0) for number in range(10)]
    queue = queue_of(*items)
    assert queue.turn_after_s(items[-1], 0.0) == float("inf")
    for place in range(4):
        turns(queue, place * 0.2, places=1)
    assert queue.ahead_of(items[-1], 0.6) == 5
    assert queue.turn_after_s(items[-1], 0.6) == pytest.approx(1.2)
    # Places that came long ago say nothing.
    assert queue.turn_after_s(items[-1], 10.0) == float("inf")


@pytest.mark.parametrize("seed", SEEDS)
def test_random_histories_lose_no_request_and_no_place(seed):
    # Requests join, leave and miss their targets; replicas of three models have room now and then.
    random, queue, now_s, alive = Random(seed), WaitQueue(max_waiting=60), 0.0, []
    for _ in range(400):
        now_s += random.expovariate(20.0)
        action = random.random()
        if action < 0.55:
            item = waiter(
                random.choice("abc"),
                rank=random.randrange(3),
                tenant=random.choice(("", "t", "u")),
                patient=random.random() < 0.5,
                work_ms=random.uniform(1.0, 500.0),
                at_s=now_s,
            )
            if queue.join(item):
                alive.append(item)
        elif action < 0.7 and alive:
            gone = random.choice(alive)
            queue.leave(gone)
            alive.remove(gone)
        else:
            room = {model: random.randrange(4) for model in "abc"}
            free = dict(room)

            def fits(item, free=free):
                model = item.request_class.resource.model
                free[model] -= 1
                return free[model] >= 0

            wanted = Counter(item.request_class.resource.model for item in alive)
            sent = turns(queue, now_s, fits=fits)
            for model, places in room.items():
                taken = sum(item.request_class.resource.model == model for item in sent)
                assert taken == min(places, wanted[model])
            alive = [item for item in alive if item not in sent]
        assert len(queue) == len(alive)
        assert all(item.is_queued for item in alive)
    for item in alive:
        queue.leave(item)
    assert not queue.services()
