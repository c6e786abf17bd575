"""The planner of model copies and adapters for registered engines."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowsill.model.instances import Instance
from crowsill.model.routes import EngineLimits, ModelWeights
from crowsill.placement.copy_planner import CopyPlanner
from crowsill.placement.copy_value import CopyValue
from crowsill.placement.copy_views import EngineView, JobReason, ServiceView

MODELS = [ModelWeights(f"m{number}", 70.0, 9.0, 0.8, 2.0, 3, 1.0) for number in range(8)]
ENGINE = EngineLimits(220.0, 4, 8, 1000, 1.0, MODELS)


def engine(instance_id, *models, on_disk=(), **more):
    found = Instance(instance_id, "s", "127.0.0.1:1", "z", 8, on_disk=list(on_disk))
    return EngineView(found, ENGINE, {name: set() for name in models}, **more)


def view(engines, **more):
    values = {
        "limits": ENGINE,
        "engines": engines,
        "demand": {},
        "urgent": {},
        "overloaded": {},
        "requested_at_s": {"m0": 100.0},
        "awaited": [],
        "awaited_since_at_s": {},
        "store_loads": 5,
        "now_s": 100.0,
    }
    return ServiceView(**{**values, **more})


def model_jobs(state):
    """Return the jobs that load models, not adapters."""
    return [job for job in CopyPlanner(state).plan() if not job.adapter]


def jobs_for(model, state):
    """Return the jobs that load one model."""
    return [job for job in model_jobs(state) if job.model == model]


def urgent_demand(**rates):
    """Return the fields of a view for models in demand by requests with a short target."""
    return {
        "demand": rates,
        "urgent": rates,
        "requested_at_s": dict.fromkeys(rates, 90.0),
    }


def test_an_awaited_model_is_loaded_where_it_is_cached():
    engines = [engine("uncached"), engine("cached", on_disk=["m5"])]
    (job,) = jobs_for("m5", view(engines, awaited=["m5"], **urgent_demand(m5=0.5)))
    assert (job.instance_id, job.load_s, job.from_store) == ("cached", 2.0, False)


def test_a_load_waits_for_an_engine_with_a_cached_copy_that_is_soon_free():
    state = {"awaited": ["m5"], **urgent_demand(m5=5.0)}
    busy = engine("cached", on_disk=["m5"], is_busy=True, free_at_s=103.0)
    assert jobs_for("m5", view([engine("uncached"), busy], **state)) == []
    busy.free_at_s = 120.0
    (job,) = jobs_for("m5", view([engine("uncached"), busy], **state))
    assert job.instance_id == "uncached"


@pytest.mark.parametrize("free_at_s", [0.0, 90.0])
def test_a_load_does_not_wait_for_an_engine_that_may_never_be_free(free_at_s):
    # Guards against a model in demand that stays unloaded for 12 s, because the engine with the
    # cached copy runs a job that is long overdue or has not reported its state yet.
    stuck = engine("cached", on_disk=["m5"], is_busy=True, free_at_s=free_at_s)
    state = {"awaited": ["m5"], **urgent_demand(m5=5.0)}
    (job,) = CopyPlanner(view([engine("uncached"), stuck], **state)).plan()
    assert job.instance_id == "uncached"


def test_a_slow_load_does_not_block_an_engine_whose_adapters_are_in_demand():
    # Guards against rejected adapter requests: engines accept no adapter during a load, and a
    # quarter of all rejections were for adapters whose engines ran a load of 9 s.
    with_adapters, other = engine("a", "m0"), engine("b", "m1")
    rates = {"m0": 2.0, "m0/a1": 1.0, "m0/a2": 1.0, "m1": 2.0, "m5": 5.0}
    state = {"awaited": ["m5"], **urgent_demand(**rates)}
    assert [job.instance_id for job in model_jobs(view([with_adapters, other], **state))] == ["b"]


def test_the_fewer_engines_are_free_the_more_a_long_load_must_gain():
    # Guards against a fleet in which all engines run loads of 9 s when demand moves on.
    state = {"awaited": ["m5"], **urgent_demand(m0=0.1, m1=0.1, m2=0.1, m5=2.0)}
    fetching = [engine(f"e{number}", is_busy=True, is_fetching=True) for number in range(3)]
    full = engine("e", "m0", "m1", "m2")
    free = [engine(f"e{number}", "m6", "m7", "m3") for number in range(3)]
    assert model_jobs(view([full, *fetching], **state)) == []
    assert [job.model for job in model_jobs(view([full, *free], **state))] == ["m5"]


def test_a_model_whose_reload_is_slow_gets_a_second_copy():
    # Guards against the loss of the only copy of a model with a third of all requests: when its
    # engine was removed, the load from the store took 9 s.
    engines = [engine(f"e{number}") for number in range(5)]
    engines[0].held = {"m7": set()}
    jobs = model_jobs(view(engines, **urgent_demand(m7=4.0)))
    assert [(job.model, job.reason) for job in jobs] == [("m7", JobReason.MORE_LOAD)]
    assert model_jobs(view(engines, **urgent_demand(m7=0.2))) == []


def test_a_single_request_for_a_rare_model_evicts_no_model_in_demand():
    engines = [engine("e", "m0", "m1", "m2", on_disk=["m5"])]
    state = {"awaited": ["m5"], **urgent_demand(m0=1.0, m1=1.0, m2=1.0, m5=0.1)}
    assert model_jobs(view(engines, **state)) == []


def test_the_model_of_least_value_is_evicted():
    engines = [engine("e", "m0", "m1", "m2", on_disk=["m5"])]
    state = {"awaited": ["m5"], **urgent_demand(m0=0.0, m1=5.0, m2=1.0, m5=1.0)}
    (job,) = CopyPlanner(view(engines, **state)).plan()
    assert job.unload == ("m0",) and job.model == "m5"


def test_an_adapter_is_loaded_while_another_engine_loads_its_model():
    # Guards against adapters that are requested again and again but not loaded, as long as another
    # engine loads their model.
    holder = engine("a", "m0")
    loading = engine("b", is_busy=True, loading="m0", free_at_s=106.0)
    state = {"awaited": ["m0/a2"], **urgent_demand(m0=5.0, **{"m0/a2": 1.0})}
    jobs = CopyPlanner(view([holder, loading], **state)).plan()
    assert [(job.instance_id, job.adapter) for job in jobs if job.adapter == "a2"] == [("a", "a2")]


def test_an_awaited_adapter_is_loaded_before_a_model_that_blocks_its_engine():
    # Guards against adapters whose requests are all rejected while the only engine that holds their
    # model loads another one, which had less demand.
    rates = {"m0": 5.0, "m0/a1": 1.0, "m7": 0.3}
    state = {"awaited": ["m0/a1", "m7"], "demand": rates, "urgent": {"m0": 5.0, "m0/a1": 1.0}}
    state |= {"requested_at_s": dict.fromkeys(rates, 99.5), "missed_requests": {"m7": 20.0}}
    holder = engine("a", "m0", "m1", "m2")
    (job,) = CopyPlanner(view([holder], **state)).plan()
    assert job.adapter == "a1"
    holder.held["m0"].add("a1")
    (job,) = CopyPlanner(view([holder], **state | {"awaited": ["m7"]})).plan()
    assert job.model == "m7"


def test_a_model_is_loaded_when_a_request_has_waited_long_enough():
    engines = [engine("e", "m0", "m1", "m2", on_disk=["m7"])]
    rates = {"m7": 0.04, "m0": 0.36, "m1": 0.36, "m2": 0.36}
    state = {"awaited": ["m7"], "demand": rates, "requested_at_s": dict.fromkeys(rates, 90.0)}
    assert model_jobs(view(engines, **state, awaited_since_at_s={"m7": 100.0})) == []
    (job,) = model_jobs(view(engines, **state, awaited_since_at_s={"m7": 96.0}))
    assert job.model == "m7"


def test_a_model_that_has_missed_enough_requests_is_loaded():
    engines = [engine("e", "m0", "m1", "m2", on_disk=["m7"])]
    state = urgent_demand(m0=0.1, m1=0.1, m2=0.1, m7=0.05)
    assert model_jobs(view(engines, **state, missed_requests={"m7": 1.0})) == []
    (job,) = model_jobs(view(engines, **state, missed_requests={"m7": 5.0}))
    assert job.model == "m7"


def test_a_rare_model_without_a_cached_copy_is_fetched_after_enough_missed_requests():
    # Guards against starvation: requests for models that only the store had were rejected up to ten
    # times, and the models were never loaded.
    engines = [engine(f"e{number}", "m0", "m1", "m2") for number in range(6)]
    state = {"awaited": ["m7"], **urgent_demand(m0=2.0, m1=2.0, m2=0.1, m7=0.1)}
    assert model_jobs(view(engines, **state, missed_requests={"m7": 5.0})) == []
    (job,) = model_jobs(view(engines, **state, missed_requests={"m7": 10.0}))
    assert job.model == "m7" and job.from_store


def test_an_adapter_replaces_the_least_recently_requested_one_when_all_slots_are_used():
    full = engine("e", "m0")
    full.held["m0"] = {"a1", "a2"}
    full.held["m1"] = {"a1", "a2"}
    requested = {"m0/a1": 90.0, "m0/a2": 95.0, "m1/a1": 99.0, "m1/a2": 98.0, "m0": 100.0}
    jobs = CopyPlanner(view([full], awaited=["m0/a3"], requested_at_s=requested)).plan()
    assert [(job.unload, job.adapter) for job in jobs] == [(("m0/a1",), "a3")]


def test_no_further_copy_is_loaded_while_requests_wait_for_a_first_one():
    engines = [engine("a", "m0"), engine("b", is_busy=True, free_at_s=200.0), engine("c")]
    engines[2].held = {"m1": set(), "m2": set(), "m3": set()}
    demand = {"m0": 20.0, "m5": 2.0, "m1": 50.0, "m2": 50.0, "m3": 50.0}
    requested = dict.fromkeys(demand, 100.0)
    state = {"demand": demand, "urgent": demand, "requested_at_s": requested}
    state |= {"awaited": ["m5"]}
    planner = CopyPlanner(view([engines[1], engines[2]], **state))
    assert not [job for job in planner.plan() if not job.adapter] and "m5" in planner.deferred


@given(st.data())
def test_a_plan_never_overfills_an_engine(data):
    names = [model.name for model in MODELS]
    engines = []
    for number in range(data.draw(st.integers(1, 4))):
        held = data.draw(st.lists(st.sampled_from(names), unique=True, max_size=3))
        made = engine(f"e{number}", *held, on_disk=data.draw(st.lists(st.sampled_from(names))))
        for name in held:
            room = 4 - made.adapters
            made.held[name] = set(data.draw(st.lists(st.sampled_from(["a1", "a2"]), max_size=room)))
        engines.append(made)
    resources = st.sampled_from([*names, *(f"{name}/a3" for name in names)])
    rates = st.dictionaries(resources, st.floats(0, 20))
    demand = data.draw(rates)
    state = {
        "awaited": data.draw(st.lists(resources, unique=True)),
        "demand": demand,
        "urgent": data.draw(rates),
        "overloaded": data.draw(rates),
        "requested_at_s": dict.fromkeys(demand, 99.0),
        "store_loads": data.draw(st.integers(0, 3)),
    }
    jobs = CopyPlanner(view(engines, **state)).plan()
    assert len({job.instance_id for job in jobs}) == len(jobs)
    assert sum(job.from_store for job in jobs) <= state["store_loads"]
    by_id = {item.instance.instance_id: item for item in engines}
    for job in jobs:
        target = by_id[job.instance_id]
        held = {name: set(adapters) for name, adapters in target.held.items()}
        for resource in job.unload:
            name, _, adapter = resource.partition("/")
            if adapter:
                held[name].remove(adapter)
            else:
                del held[name]
        if job.adapter:
            held[job.model].add(job.adapter)
        else:
            assert job.model not in held
            held[job.model] = set()
        adapters = sum(len(item) for item in held.values())
        assert adapters <= ENGINE.adapter_slots
        assert sum(70.0 + len(item) for item in held.values()) <= ENGINE.memory_mb


def test_a_step_on_a_large_site_evaluates_few_pairs():
    # Guards against steps that take longer than the heartbeat timeout of a leader: the group then
    # changed its leader every 3.5 s and placed nothing.
    models = [ModelWeights(f"m{number}", 70.0, 9.0, 0.8, 2.0, 3, 1.0) for number in range(196)]
    limits = EngineLimits(220.0, 8, 16, 1000, 3.0, models)
    names, random = [model.name for model in models], Random(1)
    engines = []
    for number in range(45):
        held = random.sample(names, 3)
        made = engine(f"e{number}", *held, on_disk=[*held, *random.sample(names, 3)])
        made.limits = limits
        engines.append(made)
    rates = {name: 30.0 * 0.9**place + 0.1 for place, name in enumerate(names[:120])}
    planner = CopyPlanner(view(engines, limits=limits, **urgent_demand(**rates)))
    evaluated = []
    candidate = planner._candidate
    planner._candidate = lambda *pair: evaluated.append(pair) or candidate(*pair)
    assert planner.plan()
    # Out of 196 x 45 pairs for each of the loads that a step may start.
    assert len(evaluated) < 4 * 196 * 10


def test_a_model_whose_only_holder_advertises_a_limit_gets_a_copy_elsewhere():
    state = urgent_demand(m0=3.0)
    free = engine("b", "m1", "m2")
    assert jobs_for("m0", view([engine("a", "m0"), free], **state)) == []
    limited = engine("a", "m0", is_busy=True, limit_per_s=0.5)
    (job,) = jobs_for("m0", view([limited, free], **state))
    assert job.instance_id == "b"


def test_the_reason_for_not_loading_an_awaited_adapter_is_recorded():
    loading = engine("a", "m0", is_busy=True, accepts_adapter_jobs=False, free_at_s=104.0)
    loading.loading = "m5"
    unknown = engine("b", "m0", is_busy=True, accepts_adapter_jobs=False)
    planner = CopyPlanner(view([loading, unknown, engine("c")], awaited=["m0/a1"]))
    planner.plan()
    assert planner.deferred["m0/a1"] == "a busy for 4.0 s with m5; b has no known state"


def test_the_first_copy_of_a_model_goes_to_a_quick_engine():
    engines = [engine("slow", pace_percent=170), engine("usual"), engine("quick", pace_percent=70)]
    (job,) = jobs_for("m5", view(engines, awaited=["m5"], **urgent_demand(m5=4.0)))
    assert job.instance_id == "quick"


def test_a_further_copy_of_a_busy_model_goes_to_a_quick_engine():
    # Both are as loaded, for their pace, but more of the model's work fits on the quick one.
    engines = [
        engine("holder", "m0", pace_percent=170),
        engine("slow", pace_percent=170),
        engine("quick", pace_percent=70),
    ]
    jobs = jobs_for("m0", view(engines, **urgent_demand(m0=12.0)))
    assert "quick" in [job.instance_id for job in jobs][:1]


def test_planned_loads_count_by_pace():
    def loads(*paces):
        engines = [
            engine(str(number), "m0", pace_percent=pace) for number, pace in enumerate(paces)
        ]
        value = CopyValue(view(engines, **urgent_demand(m0=10.0)))
        return [value.load_of(str(number)) for number in range(len(paces))]

    quick, slow = loads(70, 170)
    assert quick == pytest.approx(slow, rel=1e-6)
    assert loads(70)[0] / loads(None)[0] == pytest.approx(0.7)
    assert loads(170)[0] / loads(None)[0] == pytest.approx(1.7)


def test_a_usual_pace_changes_no_plan():
    demand = urgent_demand(m0=12.0, m1=4.0, m2=0.5)
    plans = [
        CopyPlanner(
            view(
                [
                    engine("a", "m0", pace_percent=pace),
                    engine("b", "m1", "m2", pace_percent=pace),
                    engine("c", on_disk=["m0", "m3"], pace_percent=pace),
                    engine("d", pace_percent=pace),
                ],
                awaited=["m3"],
                **demand,
            )
        ).plan()
        for pace in (None, 100)
    ]
    assert plans[0] == plans[1] and plans[0]
