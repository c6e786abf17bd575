"""The value of a model at the software version that resumed streams wait for.

Another version held the model of a replica that had crashed. The streams that its end had broken
off were rejected for 15 s, while an engine of their version loaded models in less demand from its
disk, one of them without any request.
"""

import asyncio

from crowsill.backends.engine_calls import EngineReport, OrderResponse
from crowsill.gateway.demand import DemandReporter
from crowsill.gateway.request import CallerRequest
from crowsill.model.instances import Instance, LoadedModel, ReplicaHeartbeat
from crowsill.state.commands import RecordHeartbeat
from tests.test_model_placer import ScriptedEngines, World, play

STREAMS = 30


class Engines(ScriptedEngines):
    """The engine of the streams' version is busy at first."""

    async def report(self, instance):
        is_busy = instance.instance_id == "i-old" and self.reports_busy
        return EngineReport(instance.models, [], is_busy, 0)


class Site(World):
    """No engine holds `m1`, and only one of another version, which gets no model, holds `m3`."""

    def __init__(self):
        super().__init__(Engines(OrderResponse.ACCEPTED))
        self.engines.reports_busy = True
        self.add("i-new", 1, "v2", ["m3"], [])
        self.add("i-old", 2, "v1", [], ["m1", "m3"])
        self.limits["i-new"] = 50.0
        self.demand = {"s|m1": 6, "s|m3": 3}

    def collect(self):
        demand, self.demand = self.demand, {}
        return demand

    def add(self, instance_id, port, version, models, on_disk):
        instance = Instance(
            instance_id,
            "s",
            f"127.0.0.1:{port}",
            "z",
            8,
            models=[LoadedModel(name) for name in models],
            on_disk=[*models, *on_disk],
            software_version=version,
        )
        self.machine.apply(RecordHeartbeat(ReplicaHeartbeat(instance, 1)))


def first_load(notices):
    """Return what an engine of `v1` loads first after gateways sent notices about `m3`."""

    async def script(site):
        for count in notices:
            site.placer.note_waiting({"s|m1": 1, "s|m3": count}, {"s|m3": ["v1"]})
            await asyncio.sleep(0.1)
        site.engines.reports_busy = False
        async with asyncio.timeout(10.0):
            while not site.engines.orders:
                site.placer.note_waiting({"s|m1": 1, "s|m3": 0}, {"s|m3": ["v1"]})
                await asyncio.sleep(0.1)

    site = Site()
    play(site, script)
    return site.engines.orders[0]


def test_a_version_that_many_streams_missed_gets_their_model_before_one_that_fewer_miss():
    assert first_load([10] * (STREAMS // 10)) == ("i-old", "load", "m3")


def test_repeated_reports_of_a_stream_do_not_count_again():
    assert first_load([1, 0, 0]) == ("i-old", "load", "m1")


def resumed_stream(version):
    request = CallerRequest(b"POST", b"/x", [], b"", True, 0.0, model="m3")
    request.software_version = version
    return request


class Follower:
    """Collects the notices of a gateway."""

    def __init__(self):
        self.notices = []
        self.is_connected = True

    def send_notice(self, notice):
        if self.is_connected:
            self.notices.append(notice)
        return self.is_connected


def test_a_gateway_counts_each_resumed_stream_once():
    async def scenario():
        follower = Follower()
        reporter = DemandReporter(follower, 8.0)
        for _ in range(STREAMS):
            reporter.report_missing("s", resumed_stream("v1"))
            reporter.keep_reporting("s", resumed_stream("v1"))
        repeating = asyncio.create_task(reporter.repeat_reports())
        await asyncio.sleep(1.4)
        repeating.cancel()
        counts = [notice.missing["s|m3"] for notice in follower.notices]
        assert len(counts) > 3
        assert sum(counts) == STREAMS and counts[-1] == 0

    asyncio.run(scenario())


def test_streams_that_no_member_was_told_of_are_counted_later():
    async def scenario():
        follower = Follower()
        follower.is_connected = False
        reporter = DemandReporter(follower, 8.0)
        for _ in range(STREAMS):
            reporter.report_missing("s", resumed_stream("v1"))
        follower.is_connected = True
        reporter.report_missing("s", resumed_stream("v1"))
        assert [notice.missing for notice in follower.notices] == [{"s|m3": STREAMS + 1}]

    asyncio.run(scenario())
