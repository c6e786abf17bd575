"""Rare models get turns at the engines, however high the demand for other models is.

Guards against starvation: 5 to 8 of 40 models and adapters, requested every few seconds, were never
served under high load after their only copy was lost. A load from the store takes 9 s, and the cost
of an engine that accepts no adapters meanwhile grew with the demand: it was 20 times the value of a
dozen rejected requests (gain 22.7, blocked cost 791).
"""

from random import Random

import pytest

from crowsill.placement.copy_planner import CopyPlanner
from crowsill.placement.copy_views import JobReason
from crowsill.placement.missing_requests import MAX_REQUEST_GAP_S, MissingRequests
from tests.test_copies import MODELS, engine, jobs_for, model_jobs, view

POPULAR = {"m0": 8.0, "m1": 6.0, "m0/a1": 2.0, "m1/a2": 2.0}
ENGINES = 5


def busy_site(**more):
    """Return engines that all hold models in demand and lack some of their adapters."""
    return view([engine(f"e{number}", "m0", "m1", "m2") for number in range(ENGINES)], **more)


def demand(rare):
    """Return the demand for popular models, and for rare ones by patient requests."""
    rates = {**POPULAR, **dict.fromkeys(rare, 0.3)}
    return {"demand": rates, "urgent": POPULAR, "requested_at_s": dict.fromkeys(rates, 98.0)}


def test_a_rare_model_is_loaded_despite_demand_for_adapters_at_every_engine():
    state = busy_site(
        awaited=["m7"],
        missed_requests={"m7": 8.0},
        missing_since_at_s={"m7": 75.0},
        **demand(["m7"]),
    )
    for other in state.engines[1:]:
        other.is_busy, other.accepts_adapter_jobs, other.free_at_s = True, False, 103.0
    (job,) = jobs_for("m7", state)
    assert job.from_store and job.instance_id == "e0"


def test_a_rare_model_is_loaded_where_it_costs_least_before_it_is_overdue():
    engines = [engine("popular", "m0", "m1", "m5"), engine("a", "m3", "m4"), engine("b", "m5")]
    for rare in engines[1:]:
        rare.held["m6"] = set()
    state = view(engines, awaited=["m7"], missing_since_at_s={"m7": 84.0}, **demand(["m7"]))
    (job,) = jobs_for("m7", state)
    assert job.instance_id == "b" and job.reason is JobReason.MISSING
    for rare in engines[1:]:
        rare.is_busy, rare.accepts_adapter_jobs, rare.free_at_s = True, False, 105.0
    assert jobs_for("m7", state) == []
    state.missing_since_at_s = {"m7": 75.0}
    assert [job.instance_id for job in jobs_for("m7", state)] == ["popular"]


@pytest.mark.parametrize("wait_s", [5.0, 15.0, 20.0, 40.0])
def test_a_rare_model_gets_its_turn_when_the_most_patient_callers_have_left(wait_s):
    engines = [engine("popular", "m0", "m1", "m5"), engine("b", "m5")]

    def job_ids(missing_s):
        since_at_s = {"m7": 100.0 - missing_s}
        state = view(engines, awaited=["m7"], missing_since_at_s=since_at_s, **demand(["m7"]))
        state.longest_wait_s = wait_s
        return [job.instance_id for job in jobs_for("m7", state) if job.reason is JobReason.MISSING]

    assert job_ids(wait_s - 0.1) == [] and job_ids(wait_s) == ["b"]
    engines[1].is_busy, engines[1].accepts_adapter_jobs, engines[1].free_at_s = True, False, 105.0
    load_s = MODELS[7].load_s
    assert job_ids(wait_s + load_s - 0.1) == [] and job_ids(wait_s + load_s) == ["popular"]


def test_only_an_overdue_model_is_loaded_before_a_missing_one_in_much_higher_demand():
    state = busy_site(
        awaited=["m7", "m6"],
        missing_since_at_s={"m7": 80.0, "m6": 99.0},
        **demand(["m7"]),
    )
    state.urgent = {**POPULAR, "m6": 10.0}
    state.demand = {**state.demand, "m6": 10.0}
    state.requested_at_s["m6"] = 99.9
    for other in state.engines[1:]:
        other.is_busy, other.accepts_adapter_jobs, other.free_at_s = True, False, 103.0
    assert jobs_for("m7", state) == []
    state.missing_since_at_s["m7"] = 75.0
    assert [job.model for job in model_jobs(state)] == ["m7"]


def test_the_only_copy_of_a_model_that_was_missing_is_kept_until_it_is_used():
    # Guards against a copy that is evicted after its callers have left and before they return.
    missing_since_at_s = {"m7": 70.0, "m6": 60.0}
    state = view([engine("e", "m7", "m0", "m1")], awaited=["m6"], **demand(["m6"]))
    state.missing_since_at_s = missing_since_at_s
    state.engines[0].loaded_at_s = {"m7": 95.0}
    assert jobs_for("m6", state) == []
    state.missing_since_at_s = {"m6": 60.0}
    assert [job.unload for job in jobs_for("m6", state)] == [("m7",)]


def test_a_copy_that_no_request_was_sent_to_does_not_end_the_wait_for_a_model():
    missing = MissingRequests()
    missing.note("s|m", 3, now_s=10.0)
    missing.note_held("s", {"m"}, set(), {"m"})
    missing.note_held("s", set(), set(), {"m"})
    missing.note("s|m", 1, now_s=30.0)
    assert missing.since_at_s("s") == {"m": 10.0} and missing.counts("s") == {"m": 1.0}
    # Requests that wait are sent as soon as the model is held.
    missing.note_held("s", {"m"}, {"m"}, {"m"})
    assert missing.since_at_s("s") == {}


def test_a_request_after_a_long_pause_begins_a_new_wait():
    missing = MissingRequests()
    missing.note("s|m", 3, now_s=10.0)
    missing.note("s|m", 1, now_s=10.0 + MAX_REQUEST_GAP_S)
    assert missing.since_at_s("s") == {"m": 10.0}
    missing.note("s|m", 1, now_s=11.0 + 2.0 * MAX_REQUEST_GAP_S)
    assert missing.since_at_s("s") == {"m": 11.0 + 2.0 * MAX_REQUEST_GAP_S}


def test_requests_for_models_outside_the_routes_are_not_counted():
    missing = MissingRequests()
    missing.note("s|made-up", 1, now_s=10.0)
    missing.note("other|m", 1, now_s=10.0)
    missing.note_held("s", set(), set(), {"m"})
    assert missing.requests == {"other|m": 1.0}


def test_every_rare_model_is_loaded_within_a_bounded_time():
    # Loads take 9 s at five engines, and two rare models load at a time, so five models are loaded
    # within half a minute.
    rare = [model.name for model in MODELS[3:]]
    state = busy_site(awaited=list(rare), **demand(rare))
    random, loading, loaded_at_s = Random(1), {}, {}
    missed, missing_since_at_s = dict.fromkeys(rare, 0.0), {}
    for step in range(400):
        state.now_s = 100.0 + step * 0.1
        state.requested_at_s = dict.fromkeys(state.demand, state.now_s - 0.5)
        for instance_id, (until_s, model) in list(loading.items()):
            if until_s <= state.now_s:
                del loading[instance_id]
                target = next(item for item in state.engines if item.instance_id == instance_id)
                target.held[model] = set()
                target.loaded_at_s[model] = state.now_s
                target.is_busy, target.is_fetching, target.loading = False, False, ""
                missed.pop(model, None)
                missing_since_at_s.pop(model, None)
                loaded_at_s.setdefault(model, state.now_s)
        for model in missed:
            if random.random() < 0.03:
                missed[model] += 1
                missing_since_at_s.setdefault(model, state.now_s)
        state.missed_requests = dict(missed)
        state.missing_since_at_s = missing_since_at_s
        for job in CopyPlanner(state).plan():
            if job.adapter:
                continue
            target = next(item for item in state.engines if item.instance_id == job.instance_id)
            for victim in job.unload:
                del target.held[victim]
            target.is_busy, target.is_fetching, target.loading = True, job.from_store, job.model
            loading[job.instance_id] = (state.now_s + job.load_s, job.model)
    assert set(rare) <= set(loaded_at_s), f"never loaded: {set(rare) - set(loaded_at_s)}"
