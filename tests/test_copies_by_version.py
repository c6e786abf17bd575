"""Placement for resumed streams, which continue only at the software version that began them."""

import asyncio

import pytest

from crowsill.gateway.demand import DemandReporter
from crowsill.gateway.request import CallerRequest
from crowsill.model.instances import Instance
from crowsill.model.routes import EngineLimits, ModelWeights
from crowsill.placement.copy_planner import CopyPlanner
from crowsill.placement.copy_views import EngineView, ServiceView
from crowsill.transport.replica_messages import DemandNotice

MODELS = [ModelWeights(f"m{number}", 70.0, 9.0, 0.8, 2.0, 3, 1.0) for number in range(4)]
LIMITS = EngineLimits(220.0, 4, 8, 1000, 1.0, MODELS)


def engine(name, version, *models, on_disk=(), **more):
    described = Instance(
        name, "s", "127.0.0.1:1", "z", 8, on_disk=list(on_disk), software_version=version
    )
    return EngineView(described, LIMITS, {model: set() for model in models}, **more)


def view(engines, versions, awaited="m3"):
    """Return a view in which streams of the given versions have waited for 3 s."""
    model = awaited.partition("/")[0]
    return ServiceView(
        limits=LIMITS,
        engines=engines,
        demand={awaited: 0.5},
        urgent={},
        overloaded={},
        requested_at_s={awaited: 100.0, model: 100.0},
        awaited=[awaited],
        awaited_since_at_s={model: 97.0},
        store_loads=5,
        now_s=100.0,
        awaited_versions={model: set(versions)},
    )


def loads(state, model="m3"):
    return [
        job.instance_id
        for job in CopyPlanner(state).plan()
        if job.model == model and not job.adapter
    ]


# A model was loaded where that takes least time, and the streams that waited for it were rejected.
def test_a_missing_model_is_loaded_at_the_version_of_the_streams_that_wait():
    engines = [engine("new", "v2", on_disk=["m3"]), engine("old", "v1")]
    assert loads(view(engines, ["v1"])) == ["old"]
    assert loads(view(engines, [])) == ["new"]


def test_a_model_that_another_version_holds_is_loaded_at_the_version_of_the_streams_that_wait():
    engines = [engine("new", "v2", "m3"), engine("other", "v2"), engine("old", "v1")]
    assert loads(view(engines, ["v1"])) == ["old"]
    assert loads(view(engines, [])) == []
    assert loads(view(engines, ["v2"])) == []


def test_a_missing_model_is_loaded_elsewhere_if_no_engine_of_the_version_is_free():
    engines = [engine("new", "v2"), engine("old", "v1", is_busy=True)]
    assert loads(view(engines, ["v1"])) == ["new"]


def test_a_load_at_the_version_of_waiting_streams_is_started_once():
    engines = [engine("new", "v2", "m3"), engine("a", "v1"), engine("b", "v1")]
    assert len(loads(view(engines, ["v1"]))) == 1
    engines[1].loading = "m3"
    assert loads(view(engines, ["v1"])) == []


@pytest.mark.parametrize("versions", [["v1"], []])
def test_an_adapter_is_loaded_at_the_version_of_the_streams_that_wait(versions):
    engines = [engine("new", "v2", "m3"), engine("old", "v1", "m3")]
    engines[0].held["m3"] = {"a1"}
    for other in engines:
        other.held["m3"] |= {"a2", "a3"}
    jobs = [
        job.instance_id
        for job in CopyPlanner(view(engines, versions, "m3/a1")).plan()
        if job.adapter == "a1" and job.reason == "adapter"
    ]
    assert jobs == ["old"] * len(versions)


def test_operators_are_told_at_which_version_a_model_is_missing():
    engines = [engine("new", "v2", "m3"), engine("old", "v1", is_busy=True)]
    planner = CopyPlanner(view(engines, ["v1"]))
    planner.plan()
    assert "software version v1" in planner.deferred["m3"]


class Follower:
    """Collects the notices of a gateway."""

    def __init__(self):
        self.notices = []

    def send_notice(self, notice):
        self.notices.append(notice)
        return True


def test_a_gateway_reports_the_version_that_a_resumed_stream_waits_for():
    async def scenario():
        follower = Follower()
        reporter = DemandReporter(follower, 8.0)
        for version in ("v1", "v1", None, "v2"):
            request = CallerRequest(b"POST", b"/x", [], b"", True, 0.0, model="m3")
            request.software_version = version
            reporter.report_missing("s", request)
            reporter.keep_reporting("s", request)
        assert follower.notices == [
            DemandNotice({"s|m3": 1}, {"s|m3": ["v1"]}),
            DemandNotice({"s|m3": 1}),
            DemandNotice({"s|m3": 1}, {"s|m3": ["v2"]}),
        ]
        follower.notices.clear()
        repeating = asyncio.create_task(reporter.repeat_reports())
        await asyncio.sleep(1.0)
        repeating.cancel()
        assert follower.notices[0] == DemandNotice({"s|m3": 1}, {"s|m3": ["v1", "v2"]})

    asyncio.run(scenario())
