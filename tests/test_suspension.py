"""Deadlines of requests when the machine of a gateway is suspended for seconds.

`time.monotonic` stops during a suspension. A request that waited across a suspension of 2 s was
forwarded with a "crowsill-deadline-ms" 2 s longer than its caller waits. Here the clock that
includes suspensions jumps, and `time.monotonic` does not.
"""

import asyncio

from crowsill import clock, event_loop
from crowsill.event_loop import DaemonEventLoop
from tests.gateway_world import NAMES, respond_ok, world

DEADLINE = NAMES.deadline.decode()
SUSPENSION_S = 2.0


def run(scenario):
    with asyncio.Runner(loop_factory=DaemonEventLoop) as runner:
        runner.run(asyncio.wait_for(scenario, 30))


def simulate_suspension(monkeypatch, seconds):
    """Advance the clock that includes suspensions."""
    monkeypatch.setattr(event_loop, "monotonic_s", lambda: clock.monotonic_s() + seconds)


def test_the_clock_of_the_event_loop_includes_a_suspension(monkeypatch):
    async def scenario():
        loop = asyncio.get_running_loop()
        before_s = loop.time()
        simulate_suspension(monkeypatch, SUSPENSION_S)
        assert loop.time() - before_s >= SUSPENSION_S

    run(scenario())


def test_the_deadline_of_a_waiting_request_includes_a_suspension(monkeypatch):
    async def scenario():
        async with world(respond_ok) as here:
            known = [record.instance for record in here.role.registry.of_service("plain")]
            here.adopt([])
            caller = await here.caller()
            caller.send("safe", "r1", headers=["crowsill-deadline-ms: 2800"])
            await asyncio.sleep(0.1)
            simulate_suspension(monkeypatch, SUSPENSION_S)
            here.adopt(known)
            status, _ = await caller.head()
            if status == 200:
                (_, headers, _) = here._replicas[0].requests[0]
                assert float(headers[DEADLINE]) <= 800
            else:
                assert here._replicas[0].requests == []

    run(scenario())


def test_a_request_that_expires_during_a_suspension_is_not_sent(monkeypatch):
    async def scenario():
        async with world(respond_ok) as here:
            known = [record.instance for record in here.role.registry.of_service("plain")]
            here.adopt([])
            caller = await here.caller()
            caller.send("safe", "r1", headers=["crowsill-deadline-ms: 1500"])
            await asyncio.sleep(0.1)
            simulate_suspension(monkeypatch, SUSPENSION_S)
            await asyncio.sleep(0.0)
            here.adopt(known)
            status, _ = await caller.head()
            assert status in (502, 503, 504)
            assert here._replicas[0].requests == []

    run(scenario())
