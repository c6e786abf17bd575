"""Properties of the decision whether a request waits for a replica or is rejected."""

import itertools
import math

from hypothesis import given
from hypothesis import strategies as st

from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.request import CallerRequest
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
from crowsill.model.instances import Instance, LoadingModel
from crowsill.model.routes import ModelWeights, Route, RouteKind

SECONDS = st.floats(0.0, 30.0)
SHARES = st.floats(0.0, 1.0)
ESTIMATES = st.builds(WaitEstimate, SECONDS, SHARES, SECONDS)


def budget(
    waited_s=0.0, total_s=5.0, target_s=0.8, abandons_after_s=math.inf, elapsed_before_s=0.0
):
    return WaitBudget(elapsed_before_s, waited_s, total_s, target_s, abandons_after_s)


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


@given(ESTIMATES, SECONDS, st.floats(0.01, 0.9))
def test_a_retried_request_is_not_rejected_sooner(estimate, waited_s, elsewhere_share):
    # The same response time since the first try, of which the caller spent a part elsewhere.
    first = budget(waited_s)
    returned = budget(waited_s, elapsed_before_s=min(waited_s, 4.0) * elsewhere_share)
    if first.waited_s < first.total_s:
        assert should_wait(estimate, returned, 0.1) or not should_wait(estimate, first, 0.1)


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


def test_a_first_try_is_recognized_by_its_remaining_time():
    route = Route("r", "h", "/", RouteKind.AT_MOST_ONCE, 2000, [], target_latency_ms=300)
    assert not wait_budget(route, None, 0.0).is_retry
    assert not wait_budget(route, 4000, 0.0).is_retry
    returned = wait_budget(route, 1500, 0.1)
    assert (returned.elapsed_before_s, returned.waited_s) == (0.5, 0.6)


def engine(**more):
    return ReplicaRecord(Instance("i-1", "s", "127.0.0.1:1", "z", 8, **more))


def request_for(model):
    return CallerRequest(b"POST", b"/", [], b"", True, 0.0, model=model)


def estimate(records, reason=NoReplicaReason.NO_MODEL, waited_s=0.0, now_s=0.0):
    weights = ModelWeights("m", 100.0, 9.0, 0.8, 2.0)
    needed = request_for("m")
    return estimate_wait(
        reason, needed, records=records, weights=weights, waited_s=waited_s, now_s=now_s
    )


def test_a_load_in_progress_is_estimated_from_its_start():
    record = engine(loading=[LoadingModel("m", 2.0)])
    record.note_loading_models(10.0)
    assert estimate([record], now_s=10.5) == WaitEstimate(1.5, LOADING_PROBABILITY, 1.5)
    # Later reports repeat the load; an overdue load may take its delay again.
    record.note_loading_models(11.0)
    assert estimate([record], now_s=12.8).ready_s == 12.8 - 12.0


def test_a_requested_load_takes_the_time_from_the_closest_copy():
    far, near = estimate([engine()]), estimate([engine(on_disk=["m"])])
    assert (round(far.ready_s, 1), round(near.ready_s, 1)) == (9.2, 2.2)
    assert estimate([engine()], waited_s=1.0).probability < far.probability < LOADING_PROBABILITY


def test_a_model_unknown_to_the_routes_is_not_waited_for():
    needed = request_for("nobody")
    found = estimate_wait(
        NoReplicaReason.NO_MODEL, needed, records=[engine()], weights=None, waited_s=0.0, now_s=0.0
    )
    assert not should_wait(found, budget(), 0.1)
