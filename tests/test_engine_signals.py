"""Engines also ask control members for backoffs and report to them that they drain.

Guards against two faults: an order answered with 503 counted as unanswered and was sent again every
0.1 s during the backoff; and an engine that reported in its answers that it drains got further
loads until a gateway or its heartbeat reported it.
"""

import asyncio
import sys

from crowsill.backends.engine_calls import EngineOrder, OrderResponse
from crowsill.model.instances import Instance
from crowsill.state.commands import OrderKind
from tests.gateway_world import Replica, run
from tests.platform_site import ROOT

sys.path.insert(0, str(ROOT / "platform"))
from crowsill_platform.engine_calls import PlatformEngineCalls

ORDER = EngineOrder(OrderKind.LOAD, "m", "", 0, "core-1", 1)


def script_for(status, *extra):
    """Return a script of an engine that answers all calls alike."""

    async def script(_headers, writer, _number):
        lines = [f"HTTP/1.1 {status}", "Content-Length: 0", *extra]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        return True

    return script


async def _engine(script):
    engine = await Replica(script).start()
    return engine, Instance("a@1", "s", f"127.0.0.1:{engine.port}", "z", 4, replica="a")


def test_nothing_is_sent_to_an_engine_that_backs_off():
    async def scenario():
        engine, instance = await _engine(script_for("503 Busy", "Retry-After: 0.5"))
        calls = PlatformEngineCalls()
        assert await calls.order(instance, ORDER) is OrderResponse.BACKING_OFF
        for _ in range(5):
            assert await calls.order(instance, ORDER) is OrderResponse.BACKING_OFF
            assert await calls.report(instance) is None
        assert len(engine.requests) == 1
        await asyncio.sleep(0.55)
        await calls.report(instance)
        assert len(engine.requests) == 2
        await engine.stop()

    run(scenario())


def test_a_backoff_applies_to_one_incarnation():
    async def scenario():
        engine, instance = await _engine(script_for("503 Busy", "Retry-After: 5"))
        calls = PlatformEngineCalls()
        await calls.report(instance)
        later = Instance("a@2", "s", instance.address, "z", 4, replica="a", started_ms=2)
        await calls.report(later)
        assert len(engine.requests) == 2
        await engine.stop()

    run(scenario())


def test_responses_to_orders_and_reports_show_that_an_engine_drains():
    async def scenario():
        engine, instance = await _engine(script_for("202 Accepted", "Server-Leaving: 1"))
        reported = []
        calls = PlatformEngineCalls()
        calls.on_draining = reported.extend
        assert await calls.order(instance, ORDER) is OrderResponse.ACCEPTED
        await calls.report(instance)
        assert reported == ["a@1", "a@1"]
        await engine.stop()

    run(scenario())


def test_an_order_rejected_without_a_backoff_has_no_answer():
    async def scenario():
        engine, instance = await _engine(script_for("503 Busy"))
        calls = PlatformEngineCalls()
        assert await calls.order(instance, ORDER) is OrderResponse.UNKNOWN
        assert await calls.order(instance, ORDER) is OrderResponse.UNKNOWN
        assert len(engine.requests) == 2
        await engine.stop()

    run(scenario())
