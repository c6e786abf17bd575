"""Rare models get turns at the engines, however high the demand for other models is.

Guards against starvation: 5 to 8 of 40 models and adapters, requested every few seconds, were never
served under high load after their only copy was lost. A load from the store takes 9 s, and the cost
of an engine that accepts no adapters meanwhile grew with the demand: it was 20 times the value of a
dozen rejected requests (gain 22.7, blocked cost 791).
"""

from random import Random

from crowsill.placement.copy_planner import CopyPlanner
from tests.test_copies import MODELS, engine, jobs_for, view

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
    state = busy_site(awaited=["m7"], missed_requests={"m7": 8.0}, **demand(["m7"]))
    for other in state.engines[1:]:
        other.is_busy, other.accepts_adapter_jobs, other.free_at_s = True, False, 103.0
    (job,) = jobs_for("m7", state)
    assert job.from_store and job.instance_id == "e0"


def test_every_rare_model_is_loaded_within_a_bounded_time():
    # Loads take 9 s at five engines, and two rare models load at a time, so five models are loaded
    # within half a minute.
    rare = [model.name for model in MODELS[3:]]
    state = busy_site(awaited=list(rare), **demand(rare))
    random, loading, loaded_at_s = Random(1), {}, {}
    missed = dict.fromkeys(rare, 0.0)
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
                loaded_at_s.setdefault(model, state.now_s)
        for model in missed:
            missed[model] += random.random() < 0.03
        state.missed_requests = dict(missed)
        for job in CopyPlanner(state).plan():
            if job.adapter:
                continue
            target = next(item for item in state.engines if item.instance_id == job.instance_id)
            for victim in job.unload:
                del target.held[victim]
            target.is_busy, target.is_fetching, target.loading = True, job.from_store, job.model
            loading[job.instance_id] = (state.now_s + job.load_s, job.model)
    assert set(rare) <= set(loaded_at_s), f"never loaded: {set(rare) - set(loaded_at_s)}"
