"""Callers of two kinds want a model whose load is under way, as after its engines were lost.

What is known to come too late is refused at once, with the time at which it will be there; who can
wait for it does, and those that were refused do not come back at one moment. Nothing failed here:
the replay holds what the decisions do.
"""

from random import Random

import pytest

from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.selection import NoReplicaReason
from crowsill.gateway.wait_decision import retry_delay_s, should_wait, wait_budget
from crowsill.gateway.wait_estimates import estimate_wait
from crowsill.model.instances import Instance, LoadedModel, LoadingModel
from crowsill.model.routes import ModelWeights, Route, RouteKind, WeightedService

LOAD_S = 8.0
STEP_S = 0.1
ANSWER_S = 0.1
CALLERS = 200
URGENT = Route(
    "u", "h", "/u/", RouteKind.STREAM, 5000, [WeightedService("s", 1)], target_latency_ms=800
)
PATIENT = Route(
    "p", "h", "/p/", RouteKind.STREAM, 15000, [WeightedService("s", 1)], target_latency_ms=6000
)
MODEL = ModelWeights("m", 70.0, LOAD_S, 0.8, 1.7)


def play(route, arrived_s, seed):
    """Return when a caller is served, or refused and told to come back."""
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
            waited_s=waited_s,
            now_s=now_s,
        )
        budget = wait_budget(route, route.timeout_ms, waited_s)
        if not should_wait(estimate, budget, ANSWER_S):
            back_s = retry_delay_s(estimate, budget, rank=1, spread=Random(seed).random())
            return "refused", now_s, now_s + back_s
        now_s += STEP_S
    return "served", now_s, now_s


def test_urgent_callers_are_refused_at_once_and_told_when_it_is_there():
    # Each caller comes at a moment at which it would have left before the model is there.
    ends = [play(URGENT, 4.0 * number / CALLERS, number) for number in range(CALLERS)]
    assert {what for what, _, _ in ends} == {"refused"}
    assert all(
        at_s == pytest.approx(4.0 * number / CALLERS) for number, (_, at_s, _) in enumerate(ends)
    )
    assert all(LOAD_S <= back_s <= LOAD_S + 0.5 for _, _, back_s in ends)


def test_refused_callers_do_not_come_back_at_one_moment():
    back = sorted(play(URGENT, 0.0, number)[2] for number in range(CALLERS))
    window_s = 0.02
    most = max(sum(start <= other < start + window_s for other in back) for start in back)
    assert most <= CALLERS / 3


def test_callers_that_can_wait_are_served():
    ends = [play(PATIENT, 8.0 * number / CALLERS, number) for number in range(CALLERS)]
    assert sum(what == "served" for what, _, _ in ends) >= 0.9 * CALLERS


def test_callers_that_come_shortly_before_it_is_there_wait_for_it():
    ends = [play(URGENT, 6.5 + number / CALLERS, number) for number in range(CALLERS)]
    assert {what for what, _, _ in ends} == {"served"}
