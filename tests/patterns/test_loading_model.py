"""Callers of two kinds need a model that is loading, as after the loss of its engines.

A request that cannot be served in time is rejected at once with the time when the model is ready,
one that can wait does, and rejected callers do not retry at the same time. The test pins the
current decisions; it does not reproduce a failure.
"""

from random import Random

import pytest

from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.selection import NoReplicaReason
from crowsill.gateway.wait_decision import retry_delay_s, should_wait, wait_budget
from crowsill.gateway.wait_estimates import estimate_wait
from crowsill.gateway.wait_history import WaitHistory
from crowsill.model.instances import Instance, LoadedModel, LoadingModel
from crowsill.model.routes import ModelWeights, Route, RouteKind, WeightedService

LOAD_S = 8.0
STEP_S = 0.1
RESPONSE_S = 0.1
CALLERS = 200
URGENT = Route(
    "u", "h", "/u/", RouteKind.STREAM, 5000, [WeightedService("s", 1)], target_latency_ms=800
)
NON_URGENT = Route(
    "p", "h", "/p/", RouteKind.STREAM, 15000, [WeightedService("s", 1)], target_latency_ms=6000
)
MODEL = ModelWeights("m", 70.0, LOAD_S, 0.8, 1.7)


def simulate(route, arrived_s, seed):
    """Return when a caller is served, or rejected and with which retry time."""
    instance = Instance(
        "i-1",
        "s",
        "127.0.0.1:1",
        "z",
        8,
        models=[LoadedModel("n")],
        loading=[LoadingModel("m", LOAD_S)],
    )
    record = ReplicaRecord(instance)
    record.note_loading_models(0.0)
    request = CallerRequest(b"POST", b"/", [], b"", True, arrived_s, model="m")
    now_s = arrived_s
    while now_s < LOAD_S:
        waited_s = now_s - arrived_s
        estimate = estimate_wait(
            NoReplicaReason.NO_MODEL,
            request,
            records=[record],
            weights=MODEL,
            history=WaitHistory(),
            service="s",
            now_s=now_s,
        )
        budget = wait_budget(route, route.timeout_ms, waited_s)
        if not should_wait(estimate, budget, RESPONSE_S):
            delay_s = retry_delay_s(estimate, budget, rank=1, spread=Random(seed).random())
            return "rejected", now_s, now_s + delay_s
        now_s += STEP_S
    return "served", now_s, now_s


def test_urgent_callers_are_rejected_at_once_with_the_time_when_it_is_ready():
    # Each caller arrives so early that it would leave before the model is ready.
    ends = [simulate(URGENT, 4.0 * number / CALLERS, number) for number in range(CALLERS)]
    assert {outcome for outcome, _, _ in ends} == {"rejected"}
    assert all(
        at_s == pytest.approx(4.0 * number / CALLERS) for number, (_, at_s, _) in enumerate(ends)
    )
    assert all(LOAD_S <= retry_at_s <= LOAD_S + 0.5 for _, _, retry_at_s in ends)


def test_rejected_callers_do_not_retry_at_the_same_time():
    retries_at_s = sorted(simulate(URGENT, 0.0, number)[2] for number in range(CALLERS))
    window_s = 0.02
    max_together = max(
        sum(start <= other < start + window_s for other in retries_at_s) for start in retries_at_s
    )
    assert max_together <= CALLERS / 3


def test_callers_that_can_wait_are_served():
    ends = [simulate(NON_URGENT, 8.0 * number / CALLERS, number) for number in range(CALLERS)]
    assert sum(outcome == "served" for outcome, _, _ in ends) >= 0.9 * CALLERS


def test_callers_shortly_before_the_model_is_ready_wait_for_it():
    ends = [simulate(URGENT, 6.5 + number / CALLERS, number) for number in range(CALLERS)]
    assert {outcome for outcome, _, _ in ends} == {"served"}
