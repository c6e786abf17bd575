"""The order in which a configuration lists its models decides nothing.

Which models are in demand shifts over the day, and no list says which. Guards against copies that
are loaded, and kept, for models that nobody asked for.
"""

from dataclasses import replace
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowsill.model.routes import ModelWeights
from crowsill.placement.copy_planner import CopyPlanner
from crowsill.placement.copy_value import CopyValue
from tests.test_copies import ENGINE, MODELS, engine, model_jobs, urgent_demand, view

NAMES = [model.name for model in MODELS]


def site(random, models):
    """Return a view of four engines with random demand; the same for the same random numbers."""
    limits = msgspec.structs.replace(ENGINE, models=models)
    engines = []
    for number in range(4):
        held = random.sample(NAMES, random.randrange(4))
        made = engine(f"e{number}", *held, on_disk=random.sample(NAMES, 3))
        engines.append(replace(made, limits=limits))
    requested = random.sample(NAMES, random.randrange(len(NAMES)))
    rates = {name: random.choice([0.1, 1.0, 4.0]) for name in requested}
    rates |= {f"{name}/a2": 0.5 for name in requested[:2]}
    awaited = requested[:2]
    return view(engines, limits=limits, awaited=awaited, **urgent_demand(**rates))


@given(st.integers(0, 10_000), st.permutations(MODELS))
def test_models_have_the_same_values_and_loads_in_any_order(seed, models):
    listed, permuted = site(Random(seed), MODELS), site(Random(seed), models)
    values = [CopyValue(listed), CopyValue(permuted)]
    for name in NAMES:
        weights = [value.weight(name) for value in values]
        gains = [value.gain(name, listed.engines[0]) for value in values]
        assert weights[0] == weights[1] and gains[0] == gains[1]
    assert CopyPlanner(listed).plan() == CopyPlanner(permuted).plan()


@given(st.integers(0, 10_000))
def test_a_model_that_nobody_asked_for_has_no_weight(seed):
    state = site(Random(seed), MODELS)
    value = CopyValue(state)
    for name in NAMES:
        assert (value.weight(name) > 0.0) == (state.demand.get(name, 0.0) > 0.0)


def test_demand_for_one_model_loads_no_other():
    engines = [engine(f"e{number}", on_disk=NAMES) for number in range(4)]
    jobs = model_jobs(view(engines, awaited=["m3"], **urgent_demand(m3=20.0)))
    assert jobs and {job.model for job in jobs} == {"m3"}


@pytest.mark.parametrize("models", [MODELS, MODELS[::-1]])
def test_before_any_request_only_models_that_no_engine_holds_are_loaded(models):
    limits = msgspec.structs.replace(ENGINE, models=models)
    engines = [
        engine("a", "m0", "m1", "m2", on_disk=["m0", "m1", "m2"]),
        engine("b", "m0", "m3", "m4", on_disk=["m0", "m3", "m4"]),
        engine("c", "m5", "m6", on_disk=["m6"]),
    ]
    for made in engines:
        made.limits = limits
    (job,) = model_jobs(view(engines, limits=limits, requested_at_s={}))
    assert (job.instance_id, job.model, job.unload) == ("c", "m7", ())
    # Copies make no room for it, however many there are and wherever they are cached.
    engines[2].held["m4"] = set()
    assert model_jobs(view(engines, limits=limits, requested_at_s={})) == []


def test_a_place_is_not_filled_with_the_adapter_of_the_lowest_number():
    numbers = []
    for place in range(200):
        model = ModelWeights(f"n{place}", 70.0, 9.0, 0.8, 2.0, 40, 1.0)
        limits = msgspec.structs.replace(ENGINE, models=[model])
        holder = replace(engine("a", model.name), limits=limits)
        state = urgent_demand(**{model.name: 1.0}) | {"requested_at_s": {model.name: 99.0}}
        (job,) = CopyPlanner(view([holder], limits=limits, **state)).plan()
        numbers.append(int(job.adapter[1:]))
    assert set(numbers) <= set(range(1, 41)) and len(set(numbers)) > 30
    assert 16.0 < sum(numbers) / len(numbers) < 25.0
