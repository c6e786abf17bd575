"""Configurations with odd values are rejected, or can be served and placed."""

import copy
import json
import sys
import tracemalloc
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowsill.gateway.replica_registry import ReplicaRegistry
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.routing_table import GatewayRoutingTable, pick_service
from crowsill.gateway.stream_origins import GatewayStreamOrigins
from crowsill.json_input import MAX_QUANTITY
from crowsill.model.instances import Instance
from crowsill.model.route_codec import decode_and_check
from crowsill.model.routes import EngineLimits, ModelWeights, Route, RouteKind, WeightedService
from crowsill.model.stream_origins import StreamOrigin
from crowsill.placement.adapter_jobs import AdapterJobs
from crowsill.placement.copy_planner import CopyPlanner
from crowsill.placement.copy_views import EngineView, ServiceView
from crowsill.placement.load_window import LoadWindow
from tests.platform_site import ROOT, configuration
from tests.test_odd_values import places, with_value

sys.path.insert(0, str(ROOT / "platform"))
from crowsill_platform.routes import PlatformRouteCodec

sys.path.pop(0)

MANY_ADAPTERS = 2_000_000
# A control member has some hundred MB for everything.
MAX_PLANNING_BYTES = 10 * 1024 * 1024
ODD_NUMBERS = [-1, 0, 1, 0.5, 5e-324, 1e15, 1e16, 1e300, 1e308, 2**53, -1e308]


def full_configuration():
    """Return a configuration that uses all fields."""
    document = configuration(1)
    plain, streams = document["routes"]
    shares = [{"service": "till", "weight": 1.0}, {"service": "models", "weight": 2.0}]
    plain |= {"priority": 3, "split": shares}
    streams |= {"resumable": True, "targetGapMs": 100.0, "priority": 2, "maxAttempts": 2}
    model = document["services"][1]["engine"]["models"][0]
    model |= {"loadS": 1.0, "warmS": 1.0, "diskS": 1.0, "adapterMb": 1.0}
    tenant = {"name": "t", "apiKeys": ["k"], "priority": 1, "ratePerS": 5.0, "burst": 5.0}
    document["tenants"] = [tenant | {"unit": "tokens", "plainTokens": 3.0}]
    return document


CONFIGURATION = full_configuration()


def view(limits, adapters=(), demand=None, store_loads=3):
    """Return three engines, two of which hold the first model with some adapters."""
    names = [model.name for model in limits.models]
    demand = demand or dict.fromkeys((*names, f"{names[0]}/a1"), 1.0)
    engines = [
        EngineView(
            Instance(f"e{number}", "s", "127.0.0.1:1", "z", 8, on_disk=names[1:]),
            limits,
            {names[0]: set(adapters)} if number else {},
        )
        for number in range(3)
    ]
    return ServiceView(
        limits=limits,
        engines=engines,
        demand=demand,
        urgent={},
        overloaded={},
        requested_at_s=dict.fromkeys(demand, 99.0),
        awaited=[*names[1:], f"{names[0]}/a1"],
        awaited_since_at_s=dict.fromkeys(names[1:], 98.0),
        store_loads=store_loads,
        now_s=100.0,
    )


# A configuration that was accepted made each plan of the leader fail, or each request.
@pytest.mark.parametrize("path", places(CONFIGURATION))
def test_an_accepted_configuration_can_be_served_and_placed(path):
    for number in ODD_NUMBERS:
        content = with_value(CONFIGURATION, path, number)
        accepted = decode_and_check(PlatformRouteCodec(), content).value_or(None)
        if accepted is None:
            continue
        table = GatewayRoutingTable(accepted)
        for route in accepted.routes:
            assert pick_service(route, Random(1)) in table.services
            for service in accepted.services:
                for model in service.engine.models if service.engine else ():
                    assert 0.0 <= table.urgency(route, service.name, model.name) <= 1.0
        for service in accepted.services:
            if service.engine is not None and service.engine.models:
                window = LoadWindow(5.0, service.engine.store_loads_per_s, 3)
                CopyPlanner(view(service.engine, store_loads=window.loads_left(100.0))).plan()


def test_the_weights_of_a_split_cannot_sum_to_infinity():
    document = copy.deepcopy(CONFIGURATION)
    for share in document["routes"][0]["split"]:
        share["weight"] = 1e308
    content = json.dumps(document).encode()
    assert "weight" in decode_and_check(PlatformRouteCodec(), content).failure()


# A model with very many adapters ended the leader for want of memory, and each next leader.
def test_a_plan_does_not_list_all_adapters_of_a_model():
    limits = EngineLimits(
        220.0, 4, 8, 1000, 1.0, [ModelWeights("m0", 70.0, adapters=MANY_ADAPTERS)]
    )
    tracemalloc.start()
    try:
        jobs = CopyPlanner(view(limits, adapters=["a1"])).plan()
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    loaded = [int(job.adapter[1:]) for job in jobs if job.adapter]
    assert loaded and all(1 < number <= MANY_ADAPTERS for number in loaded)
    assert peak < MAX_PLANNING_BYTES


numbers = st.integers(min_value=1, max_value=8)


@given(
    st.integers(min_value=0, max_value=8),
    st.sets(numbers, max_size=4),
    st.sets(numbers, max_size=4),
    st.dictionaries(st.integers(min_value=0, max_value=12), st.sampled_from([0.0, 1.0, 2.0])),
)
def test_the_next_adapter_is_the_best_of_all(total, own, other, rates):
    limits = EngineLimits(220.0, 4, 8, 1000, 1.0, [ModelWeights("m0", 70.0, adapters=total)])
    demand = {"m0": 1.0} | {f"m0/a{number}": rate for number, rate in rates.items()}
    state = view(limits, demand=demand)
    engine, neighbour = state.engines[1:]
    engine.held = {"m0": {f"a{number}" for number in own}}
    neighbour.held = {"m0": {f"a{number}" for number in other}}
    jobs = AdapterJobs(state, {"m0": limits.models[0]}, set())
    absent = [number for number in range(1, total + 1) if number not in own]
    values = {number: (number not in other, rates.get(number, 0.0)) for number in absent}
    chosen = jobs._next_adapter(engine, "m0")
    if not absent:
        assert chosen == ""
    else:
        assert values[int(chosen.removeprefix("a"))] == max(values.values())


@pytest.mark.parametrize("adapter", ["a" + "9" * 5000, "a\u0661", "a01", "a-1", "", "a"])
def test_an_odd_name_of_an_adapter_in_demand_does_not_end_a_plan(adapter):
    limits = EngineLimits(220.0, 4, 8, 1000, 1.0, [ModelWeights("m0", 70.0, adapters=3)])
    demand = {"m0": 1.0, f"m0/{adapter}": 1.0}
    assert CopyPlanner(view(limits, demand=demand)).plan()


# Each stream of a route with a very long timeout failed as it was recorded.
def test_a_stream_with_the_longest_timeout_can_be_recorded():
    sent = []

    def notify(notice):
        sent.append(msgspec.msgpack.encode(notice))
        return True

    share = [WeightedService("s", 1.0)]
    route = Route("r", "h", "/", RouteKind.STREAM, MAX_QUANTITY, share, resumable=True)
    origins = GatewayStreamOrigins(ReplicaRegistry(), notify, None, lambda: 0.0)
    request = CallerRequest(b"POST", b"/", [], b"", True, 0.0, request_id=b"r1")
    origins.record(request, route, "", StreamOrigin("s", "v1"))
    assert sent
