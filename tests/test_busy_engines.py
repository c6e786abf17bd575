"""No order is sent while an engine is known to carry out another one.

An unload of an adapter that requests still used was accepted, and the load after it refused 20
times in 5 s: "E506 order_answered kind=load expected=40 answer=not_now" came every 0.25 s, though
each report that was read in between said that an order was in progress. 36 of 458 orders of a day
on which replicas started again were refused so.
"""

import asyncio

from crowsill.backends.engine_calls import EngineReport, OrderAnswer
from crowsill.control.engine_jobs import EngineJobPorts, EngineJobs
from crowsill.control.engine_state import EngineState
from crowsill.model.instances import Instance, LoadedModel, ReplicaHeartbeat
from crowsill.placement.copy_views import Job, JobReason
from crowsill.state.commands import OrderKind, RecordHeartbeat
from crowsill.state.machine import StateMachine
from crowsill.transport.messages import Submitted

ENGINE = Instance("i-1", "s", "127.0.0.1:1", "z", 8, models=[LoadedModel("m", 1, ["a1"])])
EXCHANGE = Job("i-1", ("m/a1",), "m", "a2", False, 0.02, JobReason.ADAPTER)


class EngineInUse:
    """An engine with one adapter in use, whose unload takes some reports to end.

    Attributes:
        answers: What it answered to each order.
        held: Adapters that it holds.
        reports: Reports until its order is carried out.
    """

    def __init__(self, busy_reports=0):
        self.answers = []
        self.held = {"a1"}
        self.reports = busy_reports
        self.sequence = 0

    async def order(self, instance, order):
        self.answers.append(self._answer(order))
        return self.answers[-1]

    def _answer(self, order):
        if self.reports > 0 or order.expected_sequence != self.sequence:
            return OrderAnswer.NOT_NOW
        if (order.adapter in self.held) is (order.kind is OrderKind.LOAD):
            return OrderAnswer.ALREADY_SO
        self.sequence += 1
        if order.kind is OrderKind.UNLOAD:
            self.reports = 4
            self.held.discard(order.adapter)
        else:
            self.held.add(order.adapter)
        return OrderAnswer.ACCEPTED

    async def report(self, instance):
        self.reports = max(0, self.reports - 1)
        held = [LoadedModel("m", 1, sorted(self.held))]
        return EngineReport(held, [], self.reports > 0, self.sequence)


def exchange(engines):
    """Have one adapter exchanged for another; return what the engine answered."""

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


def test_a_load_waits_for_the_unload_before_it():
    assert OrderAnswer.NOT_NOW not in exchange(EngineInUse())


def test_what_was_refused_waits_until_the_other_order_is_done():
    assert exchange(EngineInUse(busy_reports=6)).count(OrderAnswer.NOT_NOW) == 1
