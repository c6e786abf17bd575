"""A machine is suspended for seconds; the steady clock of the system does not count that time.

A request that was held while its gateway's machine slept for 2 s was passed on with
"crowsill-deadline-ms" telling all that the steady clock had left, 2 s more than its caller would
wait. Here the clock that also counts a suspension jumps, and the steady one does not.
"""

import asyncio

from crowsill import clock, event_loop
from crowsill.event_loop import DaemonEventLoop
from tests.gateway_world import NAMES, respond_ok, world

DEADLINE = NAMES.deadline.decode()
ASLEEP_S = 2.0


def run(scenario):
    with asyncio.Runner(loop_factory=DaemonEventLoop) as runner:
        runner.run(asyncio.wait_for(scenario, 30))


def sleep_for(monkeypatch, seconds):
    """Suspend the machine, as far as clocks tell."""
    monkeypatch.setattr(event_loop, "monotonic_s", lambda: clock.monotonic_s() + seconds)


def test_the_loop_of_a_daemon_counts_a_suspension(monkeypatch):
    async def scenario():
        loop = asyncio.get_running_loop()
        before_s = loop.time()
        sleep_for(monkeypatch, ASLEEP_S)
        assert loop.time() - before_s >= ASLEEP_S

    run(scenario())


def test_a_request_held_across_a_suspension_gets_no_more_time_than_is_left(monkeypatch):
    async def scenario():
        async with world(respond_ok) as played:
            known = [record.instance for record in played.role.registry.of_service("plain")]
            played.adopt([])
            caller = await played.caller()
            caller.send("safe", "r1", headers=["crowsill-deadline-ms: 2800"])
            await asyncio.sleep(0.1)
            sleep_for(monkeypatch, ASLEEP_S)
            played.adopt(known)
            status, _ = await caller.head()
            if status == 200:
                (_, headers, _) = played._replicas[0].requests[0]
                assert float(headers[DEADLINE]) <= 800
            else:
                assert played._replicas[0].requests == []

    run(scenario())


def test_a_request_whose_time_ended_during_a_suspension_is_sent_nowhere(monkeypatch):
    async def scenario():
        async with world(respond_ok) as played:
            known = [record.instance for record in played.role.registry.of_service("plain")]
            played.adopt([])
            caller = await played.caller()
            caller.send("safe", "r1", headers=["crowsill-deadline-ms: 1500"])
            await asyncio.sleep(0.1)
            sleep_for(monkeypatch, ASLEEP_S)
            await asyncio.sleep(0.0)
            played.adopt(known)
            status, _ = await caller.head()
            assert status in (502, 503, 504)
            assert played._replicas[0].requests == []

    run(scenario())
