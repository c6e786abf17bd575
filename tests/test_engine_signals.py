"""Engines ask members for rest, too, and say to them that they leave.

An order that was answered 503 passed for one without an answer and was sent again every 0.1 s, 20
times, into whatever rest the engine had asked for; and an engine that said in its answers to orders
that it leaves was given further loads until a gateway or its heartbeat said so.
"""

import asyncio
import sys

from crowsill.backends.engine_calls import EngineOrder, OrderAnswer
from crowsill.model.instances import Instance
from crowsill.state.commands import OrderKind
from tests.gateway_world import Replica, run
from tests.platform_site import ROOT

sys.path.insert(0, str(ROOT / "platform"))
from crowsill_platform.engine_calls import PlatformEngineCalls

ORDER = EngineOrder(OrderKind.LOAD, "m", "", 0, "core-1", 1)


def plain(status, *extra):
    """Return a script of an engine that answers all calls alike."""

    async def script(_headers, writer, _number):
        lines = [f"HTTP/1.1 {status}", "Content-Length: 0", *extra]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        return True

    return script


async def _engine(script):
    engine = await Replica(script).start()
    return engine, Instance("a@1", "s", f"127.0.0.1:{engine.port}", "z", 4, replica="a")


def test_nothing_is_asked_of_an_engine_that_rests():
    async def scenario():
        engine, instance = await _engine(plain("503 Busy", "Retry-After: 0.5"))
        calls = PlatformEngineCalls()
        assert await calls.order(instance, ORDER) is OrderAnswer.RESTS
        for _ in range(5):
            assert await calls.order(instance, ORDER) is OrderAnswer.RESTS
            assert await calls.report(instance) is None
        assert len(engine.requests) == 1
        await asyncio.sleep(0.55)
        await calls.report(instance)
        assert len(engine.requests) == 2
        await engine.stop()

    run(scenario())


def test_a_rest_is_that_of_one_life():
    async def scenario():
        engine, instance = await _engine(plain("503 Busy", "Retry-After: 5"))
        calls = PlatformEngineCalls()
        await calls.report(instance)
        later = Instance("a@2", "s", instance.address, "z", 4, replica="a", started_ms=2)
        await calls.report(later)
        assert len(engine.requests) == 2
        await engine.stop()

    run(scenario())


def test_answers_to_orders_and_reports_tell_that_an_engine_leaves():
    async def scenario():
        engine, instance = await _engine(plain("202 Accepted", "Server-Leaving: 1"))
        heard = []
        calls = PlatformEngineCalls()
        calls.on_draining = heard.extend
        assert await calls.order(instance, ORDER) is OrderAnswer.ACCEPTED
        await calls.report(instance)
        assert heard == ["a@1", "a@1"]
        await engine.stop()

    run(scenario())


def test_an_order_refused_without_a_rest_is_without_an_answer_as_before():
    async def scenario():
        engine, instance = await _engine(plain("503 Busy"))
        calls = PlatformEngineCalls()
        assert await calls.order(instance, ORDER) is OrderAnswer.UNKNOWN
        assert await calls.order(instance, ORDER) is OrderAnswer.UNKNOWN
        assert len(engine.requests) == 2
        await engine.stop()

    run(scenario())
