"""Placement on registered engines, with scripted engines in place of real ones."""

import asyncio
import contextlib

from crowsill.backends.engine_calls import EngineReport, OrderResponse
from crowsill.control.engine_jobs import EngineJobPorts
from crowsill.control.model_placer import ModelPlacer, ModelPlacerPorts, WeightStoreLimits
from crowsill.model.instances import Instance, LoadedModel, ReplicaHeartbeat
from crowsill.model.routes import (
    CallerLimits,
    EngineLimits,
    ModelWeights,
    RouteConfiguration,
    ServiceDefinition,
)
from crowsill.state.commands import OrderKind, RecordHeartbeat, RemoveInstance
from crowsill.state.machine import StateMachine
from crowsill.transport.messages import Submitted

MODELS = [ModelWeights(f"m{number}", 70.0, 9.0, 0.8, 2.0, 0, 1.0) for number in range(4)]
ENGINE = EngineLimits(220.0, 4, 8, 1000, 1.4, MODELS)


class ScriptedEngines:
    """Answers every order with the same result and reports the models it was given."""

    def __init__(self, answer):
        self.answer = answer
        self.orders = []
        self.reports_busy = False

    async def order(self, instance, order):
        self.orders.append((instance.instance_id, order.kind.value, order.model))
        return self.answer

    async def report(self, instance):
        return EngineReport(instance.models, [], self.reports_busy, 0)


class World:
    """A placer with its own replicated state."""

    def __init__(self, engines, heartbeat_s=0.1, machine=None):
        self.machine = machine or StateMachine()
        self.engines = engines
        self.submitted = []
        self.demand = {}
        self.limits = {}
        service = ServiceDefinition("s", 100, ENGINE)
        self.routes = RouteConfiguration(1, [], [service], CallerLimits())
        self.placer = ModelPlacer(
            ModelPlacerPorts(
                engines=EngineJobPorts(
                    machine=self.machine,
                    calls=self.engines,
                    submit=self.submit,
                    has_lease=lambda: True,
                    is_lost=lambda instance_id: False,
                ),
                routes=lambda: self.routes,
                collect_demand=self.collect,
                collect_urgent=self.collect,
                collect_overloaded=dict,
                heartbeat_s=heartbeat_s,
                limit_of=self.limits.get,
            ),
            WeightStoreLimits(),
            "n",
            1,
            0.0,
        )

    def collect(self):
        return self.demand

    async def submit(self, command):
        self.submitted.append(command)
        self.machine.apply(command)
        return Submitted(None)

    def register(self, instance_id, port, *models, on_disk=()):
        instance = Instance(instance_id, "s", f"127.0.0.1:{port}", "z", 8)
        loaded = [LoadedModel(name) for name in models]
        local_models = list(models) + list(on_disk)
        heartbeat_instance = Instance(
            instance.instance_id, "s", instance.address, "z", 8, models=loaded, on_disk=local_models
        )
        self.machine.apply(RecordHeartbeat(ReplicaHeartbeat(heartbeat_instance, 1)))

    async def until(self, condition, limit_s=10.0):
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.01)


def play(world, script):
    async def body():
        running = asyncio.create_task(world.placer.run())
        try:
            await script(world)
        finally:
            running.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await running

    asyncio.run(body())


def test_engine_is_removed_when_another_instance_has_its_address():
    # An engine whose address belongs to another instance rejects every order. If it stays in the
    # directory, its recorded copy on disk keeps other engines from loading the model.
    async def script(world):
        world.register("i-old", 1, "m0", on_disk=["m1"])
        world.demand = {"s|m1": 20}
        world.placer.note_waiting({"s|m1": 1})
        await world.until(lambda: world.machine.directory.find("i-old") is None)

    world = World(ScriptedEngines(OrderResponse.OTHER_INSTANCE))
    play(world, script)
    assert RemoveInstance("i-old") in world.submitted
    assert len(world.engines.orders) == 1


def test_no_model_is_prefetched_before_all_engines_have_registered():
    # Before all engines have registered, the first ones would load models that engines registering
    # a second later already hold, in place of models that no engine holds.
    async def script(world):
        world.register("i-1", 1, "m0", "m1")
        await asyncio.sleep(0.3)
        assert world.engines.orders == []
        world.register("i-2", 2, "m2", on_disk=["m3"])
        await asyncio.sleep(0.3)
        assert world.engines.orders == [], "a third engine may register within a heartbeat"
        await asyncio.sleep(0.9)

    world = World(ScriptedEngines(OrderResponse.ACCEPTED), heartbeat_s=0.4)
    play(world, script)
    # Free memory is filled with models that are likely to be requested; no model is unloaded.
    assert {kind for _, kind, _ in world.engines.orders} <= {"load"}
    assert ("i-2", "load", "m3") in world.engines.orders


def test_engine_state_is_read_again_after_orders_of_a_former_leader():
    # Orders of a former leader may take effect late. If the new leader adopts only their number
    # from the report, and not the models that they loaded, it overfills the engine.
    class LateOrders(ScriptedEngines):
        async def order(self, instance, order):
            self.orders.append((order.expected_sequence, order.model))
            return (
                OrderResponse.ACCEPTED if order.expected_sequence == 2 else OrderResponse.CONFLICT
            )

        async def report(self, instance):
            self.reports += 1
            if self.reports == 1:
                return EngineReport([LoadedModel("m0"), LoadedModel("m1")], [], False, 0)
            loaded = [LoadedModel("m0"), LoadedModel("m1"), LoadedModel("m2")]
            return EngineReport(loaded, [], False, 2)

        reports = 0

    async def script(world):
        world.register("i-1", 1, "m0", "m1", on_disk=["m3"])
        world.demand = {"s|m0": 1, "s|m3": 20}
        world.placer.note_waiting({"s|m3": 1})
        await world.until(lambda: any(expected == 2 for expected, _ in world.engines.orders))

    world = World(LateOrders(OrderResponse.ACCEPTED))
    play(world, script)
    # There is no room for a fourth model: one of the three is unloaded first.
    assert next(model for expected, model in world.engines.orders if expected == 2) != "m3"


class FormerLeadersLoad(ScriptedEngines):
    """An engine that has accepted a load of a former leader, which its first report omits.

    It has room for three models and is overfilled when it is ordered to load more.
    """

    LOAD_REPORTS = 6

    def __init__(self):
        super().__init__(OrderResponse.ACCEPTED)
        self.sequence = 2
        self.loaded = ["m0", "m1"]
        self.reports = 0
        self.is_overfilled = False

    @property
    def is_busy(self):
        return self.reports < self.LOAD_REPORTS

    async def order(self, instance, order):
        self.orders.append((order.kind.value, order.model))
        if self.is_busy or order.expected_sequence != self.sequence:
            return OrderResponse.CONFLICT
        if order.kind is OrderKind.UNLOAD and order.model not in self.loaded:
            return OrderResponse.ALREADY_DONE
        self.sequence += 1
        if order.kind is OrderKind.UNLOAD:
            self.loaded.remove(order.model)
        else:
            self.loaded.append(order.model)
            self.is_overfilled = self.is_overfilled or len(self.loaded) > 3
        return OrderResponse.ACCEPTED

    async def report(self, instance):
        self.reports += 1
        if self.reports == 1:
            return EngineReport([LoadedModel("m0"), LoadedModel("m1")], [], False, 1)
        if not self.is_busy and "m2" not in self.loaded and self.sequence == 2:
            self.loaded.append("m2")
        return EngineReport(
            [LoadedModel(name) for name in self.loaded], [], self.is_busy, self.sequence
        )


def test_load_of_a_former_leader_does_not_count_as_accepted_order():
    # The new leader's load is rejected while the former leader's load is in progress. If it counts
    # as accepted, the leader overfills the engine.
    async def script(world):
        world.register("i-1", 1, "m0", "m1", on_disk=["m3"])
        world.demand = {"s|m0": 1, "s|m3": 20}
        world.placer.note_waiting({"s|m3": 1})
        await world.until(lambda: "m3" in world.engines.loaded)
        await asyncio.sleep(0.3)

    world = World(FormerLeadersLoad())
    play(world, script)
    assert not world.engines.is_overfilled and len(world.engines.loaded) == 3


def test_adapter_job_sets_the_expected_end_time():
    # Without an expected end time, an engine with a running adapter job counts as busy for an
    # unknown time, and a load of six seconds from the store is chosen over the copy on its disk.
    class Slow(ScriptedEngines):
        async def order(self, instance, order):
            await asyncio.sleep(0.5)
            return await super().order(instance, order)

    async def script(world):
        world.register("i-1", 1, "m0")
        world.demand = {"s|m0": 20, "s|m0/a1": 20}
        world.placer.note_waiting({"s|m0/a1": 1})
        await world.until(lambda: world.placer._engines and account(world).adapter_job is not None)
        assert account(world).is_busy and account(world).free_at_s > 0.0

    def account(world):
        return world.placer._engines["i-1"]

    with_adapters = [ModelWeights("m0", 70.0, 9.0, 0.8, 2.0, 3, 1.0)]
    world = World(Slow(OrderResponse.ACCEPTED))
    limits = EngineLimits(220.0, 4, 8, 1000, 1.4, with_adapters)
    world.routes = RouteConfiguration(1, [], [ServiceDefinition("s", 100, limits)], CallerLimits())
    play(world, script)


def test_next_leader_continues_counting_requests_for_missing_models():
    # If each leader starts to count the requests for missing models from zero, rarely used models
    # are never loaded while leaders change often.
    before = World(ScriptedEngines(OrderResponse.ACCEPTED))
    before.engines.reports_busy = True
    before.register("i-1", 1, "m0", "m1", "m2")

    async def demand_for_long(world):
        world.demand = {"s|m3": 2}
        await asyncio.sleep(2.4)

    play(before, demand_for_long)
    assert before.engines.orders == []
    recorded = before.machine.missing_models
    assert recorded.requests["s|m3"] > 0.0 and 1.5 < recorded.ages_s["s|m3"] < 2.5
    after = World(ScriptedEngines(OrderResponse.ACCEPTED), machine=before.machine)

    async def demand_briefly(world):
        world.demand = {"s|m0": 4, "s|m1": 4, "s|m2": 4, "s|m3": 1}
        await asyncio.sleep(0.15)
        world.demand = {"s|m0": 4, "s|m1": 4, "s|m2": 4}
        await world.until(lambda: world.engines.orders)

    play(after, demand_briefly)
    assert after.engines.orders[0][1] == "unload"
    restored = StateMachine()
    restored.restore(before.machine.snapshot())
    assert restored.missing_models.ages_s == recorded.ages_s


def test_rate_limited_engine_gets_no_model_while_others_have_no_limit():
    async def script(world):
        world.register("i-1", 1, on_disk=["m0"])
        world.register("i-2", 2)
        world.demand = {"s|m0": 20}
        world.placer.note_waiting({"s|m0": 1})
        await world.until(lambda: world.engines.orders)

    world = World(ScriptedEngines(OrderResponse.ACCEPTED))
    world.limits.update({"i-1": 1.0})
    play(world, script)
    assert {instance_id for instance_id, _, _ in world.engines.orders} == {"i-2"}
    world = World(ScriptedEngines(OrderResponse.ACCEPTED))
    world.limits.update({"i-1": 1.0, "i-2": 1.0})
    play(world, script)
    assert world.engines.orders[0] == ("i-1", "load", "m0")
