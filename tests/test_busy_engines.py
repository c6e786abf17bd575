"""No order is sent while an engine is known to carry out another one.

Guards against a load order that follows the unload of an adapter in use: the engine accepted the
unload, then rejected the load with `not_now` every 0.25 s, although its reports showed an order in
progress. Engines rejected 8 in 100 orders like this while replicas restarted.
"""

import asyncio

from crowsill.backends.engine_calls import EngineReport, OrderResponse
from crowsill.control.engine_jobs import EngineJobPorts, EngineJobs
from crowsill.control.engine_state import EngineState
from crowsill.model.instances import Instance, LoadedModel, ReplicaHeartbeat
from crowsill.placement.copy_views import Job, JobReason
from crowsill.state.commands import OrderKind, RecordHeartbeat
from crowsill.state.machine import StateMachine
from crowsill.transport.messages import Submitted

ENGINE = Instance("i-1", "s", "127.0.0.1:1", "z", 8, models=[LoadedModel("m", 1, ["a1"])])
EXCHANGE = Job("i-1", ("m/a1",), "m", "a2", False, 0.02, JobReason.ADAPTER)


class BusyEngine:
    """An engine with one adapter in use, whose unload takes some reports to finish.

    Attributes:
        answers: Its answers to orders.
        held: Adapters that it holds.
        busy_reports: Remaining reports until its order is carried out.
    """

    def __init__(self, busy_reports=0):
        self.answers = []
        self.held = {"a1"}
        self.busy_reports = busy_reports
        self.sequence = 0

    async def order(self, instance, order):
        self.answers.append(self._answer(order))
        return self.answers[-1]

    def _answer(self, order):
        if self.busy_reports > 0 or order.expected_sequence != self.sequence:
            return OrderResponse.CONFLICT
        if (order.adapter in self.held) is (order.kind is OrderKind.LOAD):
            return OrderResponse.ALREADY_DONE
        self.sequence += 1
        if order.kind is OrderKind.UNLOAD:
            self.busy_reports = 4
            self.held.discard(order.adapter)
        else:
            self.held.add(order.adapter)
        return OrderResponse.ACCEPTED

    async def report(self, instance):
        self.busy_reports = max(0, self.busy_reports - 1)
        held = [LoadedModel("m", 1, sorted(self.held))]
        return EngineReport(held, [], self.busy_reports > 0, self.sequence)


def exchange(engines):
    """Exchange one adapter for another; return the engine's answers."""

    async def submit(command):
        machine.apply(command)
        return Submitted(None)

    async def body():
        account = EngineState(sequence=0, held={"m": {"a1"}})
        async with asyncio.timeout(5.0):
            await jobs.run_job(EXCHANGE, ENGINE, account)
        assert account.held == {"m": {"a2"}} and engines.held == {"a2"}

    machine = StateMachine()
    machine.apply(RecordHeartbeat(ReplicaHeartbeat(ENGINE, 1)))
    ports = EngineJobPorts(machine, engines, submit, lambda: True, lambda instance_id: False)
    jobs = EngineJobs(ports, "n", 1, lambda: None)
    asyncio.run(body())
    return engines.answers


def test_a_load_waits_for_the_previous_unload():
    assert OrderResponse.CONFLICT not in exchange(BusyEngine())


def test_a_rejected_order_waits_until_the_other_one_is_done():
    assert exchange(BusyEngine(busy_reports=6)).count(OrderResponse.CONFLICT) == 1
