"""Properties of the decision whether a request waits for a replica or is rejected."""

import itertools
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.routing_table import is_urgent
from crowsill.gateway.selection import NoReplicaReason
from crowsill.gateway.wait_decision import (
    RETRY_RANK_INTERVAL_S,
    WaitBudget,
    WaitEstimate,
    retry_delay_s,
    should_wait,
    wait_budget,
)
from crowsill.gateway.wait_estimates import LOADING_PROBABILITY, estimate_wait
from crowsill.gateway.wait_history import (
    MAX_KEYS,
    PRIOR_MEAN_S,
    WaitCause,
    WaitHistory,
    WaitKey,
)
from crowsill.model.instances import Instance, LoadingModel
from crowsill.model.routes import ModelWeights, Route, RouteKind

SECONDS = st.floats(0.0, 30.0)
SHARES = st.floats(0.0, 1.0)
ESTIMATES = st.builds(WaitEstimate, SECONDS, SHARES, SECONDS)


def budget(waited_s=0.0, total_s=5.0, target_s=0.8, abandons_after_s=math.inf):
    return WaitBudget(waited_s, total_s, target_s, abandons_after_s)


@given(ESTIMATES, SECONDS, SECONDS, SECONDS, SECONDS)
def test_a_request_that_waits_now_would_have_waited_earlier(
    estimate, waited_s, longer_s, total_s, target_s
):
    later = budget(waited_s + longer_s, total_s + 0.1, min(target_s, total_s))
    earlier = budget(waited_s, total_s + 0.1, min(target_s, total_s))
    assert should_wait(estimate, earlier, 0.1) or not should_wait(estimate, later, 0.1)


@given(ESTIMATES, SECONDS, SECONDS, st.floats(0.1, 30.0), SECONDS)
def test_more_time_never_makes_a_request_wait_less(estimate, waited_s, more_s, total_s, target_s):
    target_s = min(target_s, total_s)
    little = budget(waited_s, total_s, target_s)
    much = budget(waited_s, total_s + more_s, target_s)
    assert should_wait(estimate, much, 0.1) or not should_wait(estimate, little, 0.1)


@given(ESTIMATES, SECONDS, SECONDS, SHARES)
def test_a_more_probable_or_earlier_end_never_makes_a_request_wait_less(
    estimate, waited_s, sooner_s, other_probability
):
    sooner = WaitEstimate(
        max(0.0, estimate.ready_s - sooner_s), estimate.probability, estimate.known_after_s
    )
    likelier = WaitEstimate(
        estimate.ready_s, max(estimate.probability, other_probability), estimate.known_after_s
    )
    for better in (sooner, likelier):
        if should_wait(estimate, budget(waited_s), 0.1):
            assert should_wait(better, budget(waited_s), 0.1)


@given(ESTIMATES, SECONDS, SECONDS)
def test_a_request_that_cannot_be_served_in_time_is_rejected_at_once(
    estimate, waited_s, response_s
):
    caller = budget(waited_s, abandons_after_s=3.2)
    if waited_s + estimate.ready_s + response_s >= 3.2:
        assert not should_wait(estimate, caller, response_s)


@given(ESTIMATES, st.integers(1, 200), st.integers(0, 300), st.integers(0, 50))
def test_a_wait_depends_on_the_time_left_and_not_on_what_was_before(estimate, left, waited, target):
    # Times are multiples of 1/8 s, so that their sums are exact. Each caller can wait for as long
    # from now on, and its target ends at the same time from now.
    left_s, waited_s, target_s = left / 8.0, waited / 8.0, target / 8.0
    exact = WaitEstimate(
        round(estimate.ready_s * 8.0) / 8.0, estimate.probability, estimate.known_after_s
    )
    new, old = (
        budget(before_s, before_s + left_s, before_s + target_s) for before_s in (0.0, waited_s)
    )
    assert should_wait(exact, new, 0.125) == should_wait(exact, old, 0.125)


@given(ESTIMATES, SHARES, SHARES, st.integers(0, 8))
def test_urgent_callers_retry_before_those_that_can_wait(estimate, spread, other, rank):
    caller = budget()
    urgent_s = retry_delay_s(estimate, caller, rank, spread * 0.999)
    patient_s = retry_delay_s(estimate, caller, rank + 1, other)
    assert urgent_s < patient_s
    assert urgent_s >= estimate.ready_s
    assert patient_s <= estimate.ready_s + RETRY_RANK_INTERVAL_S * (rank + 2)


def test_the_longest_wait_changes_continuously_with_the_time_left():
    """The longest wait changes little when the time left changes little."""

    def longest_s(total_s):
        waited_s = 0.0
        while should_wait(WaitEstimate(0.5, 0.3, 0.5), budget(waited_s, total_s), 0.1):
            waited_s += 0.01
        return waited_s

    found = [longest_s(4.0 + 0.05 * number) for number in range(100)]
    assert all(0.0 <= after - before < 0.1 for before, after in itertools.pairwise(found))
    assert found[-1] > found[0]


def test_a_caller_with_less_time_needs_its_response_sooner_in_proportion():
    route = Route("r", "h", "/", RouteKind.AT_MOST_ONCE, 2000, [], target_latency_ms=300)
    full = wait_budget(route, None, 0.1)
    assert (full.total_s, full.target_s) == (2.0, 0.3)
    assert wait_budget(route, 4000, 0.1) == full
    for wait_ms in (2000, 1990, 1900, 1500, 400, 100):
        found = wait_budget(route, wait_ms, 0.1)
        assert found.waited_s == 0.1 and found.total_s == wait_ms / 1000.0
        assert found.target_s == pytest.approx(0.3 * wait_ms / 2000.0)


@pytest.mark.parametrize("timeout_ms", [5e-324, 1e-9, 1.0])
@pytest.mark.parametrize("wait_ms", [None, 0.0, -5.0, 5000.0])
def test_an_odd_timeout_ends_no_decision(timeout_ms, wait_ms):
    route = Route("r", "h", "/", RouteKind.STREAM, timeout_ms, [], target_latency_ms=300)
    found = wait_budget(route, wait_ms, 0.1)
    assert not should_wait(WaitEstimate(0.3, 0.9, 0.3), found, 0.1)


KINDS = (RouteKind.STREAM, RouteKind.AT_MOST_ONCE)
WAIT_ESTIMATES = (
    WaitEstimate(0.3, 0.72, 0.3),
    WaitEstimate(0.5, 0.5, 0.5),
    WaitEstimate(2.0, 0.35, 0.5),
    WaitEstimate(1.5, 0.9, 1.5),
)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("timeout_s", [1.5, 4.0, 5.0, 8.0, 15.0, 20.0])
@pytest.mark.parametrize("target_s", [0.125, 0.4, 0.8, 6.0])
@pytest.mark.parametrize("estimate", WAIT_ESTIMATES)
def test_the_longest_wait_never_jumps_with_the_time_that_a_caller_has(
    kind, timeout_s, target_s, estimate
):
    """One hundredth of the time less never changes the wait by over two hundredths of the time."""
    route = Route("r", "h", "/", kind, timeout_s * 1000.0, [], target_latency_ms=target_s * 1000.0)

    def longest_s(wait_share):
        wait_ms = timeout_s * 1000.0 * wait_share
        step_s = timeout_s / 1000.0
        waited_s = 0.0
        while should_wait(estimate, wait_budget(route, wait_ms, waited_s), 0.1):
            waited_s += step_s
        return waited_s

    # Below twice the time that the wait needs, the wait may end altogether.
    shares = [0.5 + number / 100.0 for number in range(51)]
    longest = [longest_s(share) for share in shares]
    jumps = [abs(after - before) for before, after in itertools.pairwise(longest)]
    assert max(jumps) <= 0.02 * timeout_s + 0.002 * timeout_s, (max(jumps), longest)


WEIGHTS = ModelWeights("m", 100.0, 9.0, 0.8, 2.0)


def engine(**more):
    return ReplicaRecord(Instance("i-1", "s", "127.0.0.1:1", "z", 8, **more))


def request_for(model):
    return CallerRequest(b"POST", b"/", [], b"", True, 0.0, model=model)


def estimate(records, reason=NoReplicaReason.NO_MODEL, now_s=0.0, history=None, weights=WEIGHTS):
    return estimate_wait(
        reason,
        request_for("m"),
        records=records,
        weights=weights,
        history=history or WaitHistory(),
        service="s",
        now_s=now_s,
    )


def test_a_load_in_progress_is_estimated_from_its_start():
    record = engine(loading=[LoadingModel("m", 2.0)])
    record.note_loading_models(10.0)
    assert estimate([record], now_s=10.5) == WaitEstimate(1.5, LOADING_PROBABILITY, 1.5)
    # Later reports repeat the load; an overdue load may take its delay again.
    record.note_loading_models(11.0)
    assert estimate([record], now_s=12.8).ready_s == 12.8 - 12.0


def test_a_requested_load_takes_the_time_from_the_closest_copy_after_its_order():
    order_s = PRIOR_MEAN_S[WaitCause.LOAD_ORDER]
    far, near = estimate([engine()]), estimate([engine(on_disk=["m"])])
    assert far.ready_s == pytest.approx(order_s + 9.2)
    assert near.ready_s == pytest.approx(order_s + 2.2)
    # A wait in vain ends when the order is overdue.
    assert far.known_after_s == near.known_after_s == order_s
    assert far.probability < LOADING_PROBABILITY


def test_a_model_unknown_to_the_routes_is_not_waited_for():
    assert not should_wait(estimate([engine()], weights=None), budget(), 0.1)


# What requests wait for, and how the gateway learns how long that takes.


REASONS = {
    WaitCause.CAPACITY: NoReplicaReason.ALL_FULL,
    WaitCause.NO_REPLICA: NoReplicaReason.NO_REPLICA,
    WaitCause.LOAD_ORDER: NoReplicaReason.NO_MODEL,
}


def longest_wait_s(cause, history, now_s=0.0):
    waited_s = 0.0
    while waited_s < 10.0 and should_wait(
        estimate([engine(on_disk=["m"])], REASONS[cause], now_s, history),
        budget(waited_s, total_s=10.0, target_s=2.0),
        0.1,
    ):
        waited_s += 0.05
    return waited_s


@pytest.mark.parametrize("cause", REASONS)
def test_waits_get_shorter_as_others_wait_in_vain_and_longer_as_they_end(cause):
    key = WaitKey("s", cause, "m")
    vain, quick = WaitHistory(), WaitHistory()
    expected_s = [longest_wait_s(cause, vain)]
    for _ in range(10):
        vain.note_waited(key, 4.0, 0.0)
        expected_s.append(longest_wait_s(cause, vain))
        quick.note_waited(key, 0.02, 0.0)
        quick.note_ended(key, 0.0)
    assert expected_s == sorted(expected_s, reverse=True) and expected_s[-1] == 0.0
    assert longest_wait_s(cause, quick) >= expected_s[0]
    # What was seen long ago no longer counts.
    assert longest_wait_s(cause, vain, now_s=600.0) == pytest.approx(expected_s[0], abs=0.1)


def test_waits_for_other_models_and_services_are_not_affected():
    history = WaitHistory()
    history.note_waited(WaitKey("s", WaitCause.LOAD_ORDER, "n"), 100.0, 0.0)
    history.note_waited(WaitKey("t", WaitCause.LOAD_ORDER, "m"), 100.0, 0.0)
    assert estimate([engine()], history=history) == estimate([engine()])


@given(st.lists(st.tuples(st.floats(0.01, 9.0), st.booleans()), max_size=40))
def test_the_mean_wait_lies_between_the_prior_and_what_was_seen(waits):
    history, key = WaitHistory(), WaitKey("s", WaitCause.CAPACITY)
    for waited_s, has_ended in waits:
        history.note_waited(key, waited_s, 5.0)
        if has_ended:
            history.note_ended(key, 5.0)
    total_s, ended = sum(wait for wait, _ in waits), sum(ended for _, ended in waits)
    prior_s, found_s = PRIOR_MEAN_S[WaitCause.CAPACITY], history.mean_s(key, 5.0)
    seen_s = total_s / ended if ended else math.inf
    assert found_s >= min(prior_s, seen_s) * 0.999 and (
        not waits or found_s <= max(prior_s, seen_s) * 1.001
    )


def test_the_history_is_bounded():
    history = WaitHistory()
    for number in range(MAX_KEYS * 2):
        history.note_waited(WaitKey("s", WaitCause.CAPACITY, f"m{number}"), 1.0, 0.0)
    assert len(history._waits) == MAX_KEYS


@pytest.mark.parametrize(
    ("target_ms", "urgent"), [(300, True), (990, True), (1000, False), (1500, False), (6000, False)]
)
def test_callers_that_lose_nothing_by_coming_back_after_a_second_give_way(target_ms, urgent):
    route = Route("r", "h", "/", RouteKind.AT_MOST_ONCE, 8000, [], target_latency_ms=target_ms)
    assert is_urgent(route) is urgent
