"""A replica at its limit of connections: it keeps those that are open and refuses new ones.

Guards against a request that waited for such a replica without ever returning to the event loop,
which stopped all requests of its gateway.
"""

import asyncio

import pytest

from crowsill.gateway.availability import Availability
from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.selection import NoReplicaReason, choose
from crowsill.gateway.selection_limits import SelectionLimits
from crowsill.model.instances import Instance
from tests.gateway_world import ID, encode_response, run, world

# A gateway answers its callers and its group within a small part of a second.
MAX_LAG_S = 0.25
TICK_S = 0.01
PLAIN = CallerRequest(b"POST", b"/", [], b"", True, 0.0)


class LagMeter:
    """Measures how long the event loop did not run a timer that was due."""

    def __init__(self):
        self.longest_s = 0.0

    async def run(self):
        loop = asyncio.get_running_loop()
        while True:
            due_at_s = loop.time() + TICK_S
            await asyncio.sleep(TICK_S)
            self.longest_s = max(self.longest_s, loop.time() - due_at_s)


def respond_when(released):
    async def script(headers, writer, _number):
        await released.wait()
        writer.write(encode_response(headers[ID]))
        return True

    return script


@pytest.mark.parametrize("route", ["safe", "once", "stream", "resumable"])
@pytest.mark.parametrize("replicas", [1, 3])
def test_requests_that_wait_for_a_connection_do_not_stop_their_gateway(route, replicas):
    async def scenario():
        released = asyncio.Event()
        async with world(*[respond_when(released)] * replicas) as site:
            running = [await site.caller() for _ in range(2 * replicas)]
            for number, caller in enumerate(running):
                caller.send(route, f"running-{number}")
            while sum(len(replica.requests) for replica in site._replicas) < 2 * replicas:
                await asyncio.sleep(TICK_S)
            for replica in site._replicas:
                await replica.stop()
            meter = LagMeter()
            measuring = asyncio.create_task(meter.run())
            waiting = [await site.caller() for _ in range(4)]
            for number, caller in enumerate(waiting):
                caller.send(route, f"waiting-{number}")
                await asyncio.sleep(TICK_S)
            await asyncio.sleep(0.5)
            measuring.cancel()
            assert meter.longest_s < MAX_LAG_S
            released.set()
            for caller in running:
                status, headers = await caller.head()
                assert status == 200, headers

    run(scenario())


def refusing_record(**more):
    availability = Availability(refuses_connections=True)
    return ReplicaRecord(
        Instance("a", "s", "127.0.0.1:1", "z", 4), availability=availability, **more
    )


@pytest.mark.parametrize(
    ("has_open", "expected"),
    [(True, NoReplicaReason.ALL_FULL), (False, NoReplicaReason.UNREACHABLE)],
)
def test_a_replica_that_refuses_connections_is_full_while_one_is_in_use(has_open, expected):
    limits = SelectionLimits("z", 10, has_idle=lambda _: False, has_open=lambda _: has_open)
    assert choose([refusing_record()], PLAIN, set(), limits, 0.0) is expected


def test_a_request_waits_for_the_connection_that_becomes_free_first():
    backing_off = ReplicaRecord(
        Instance("b", "s", "127.0.0.1:2", "z", 4), availability=Availability(backoff_ends_at_s=5.0)
    )
    limits = SelectionLimits("z", 10, has_idle=lambda _: False, has_open=lambda _: True)
    chosen = choose([refusing_record(), backing_off], PLAIN, set(), limits, 0.0)
    assert chosen is NoReplicaReason.ALL_FULL


def test_a_waiting_request_is_sent_on_the_connection_that_another_one_used():
    async def scenario():
        released = asyncio.Event()
        async with world(respond_when(released)) as site:
            running = [await site.caller() for _ in range(2)]
            for number, caller in enumerate(running):
                caller.send("safe", f"running-{number}")
            while len(site._replicas[0].requests) < 2:
                await asyncio.sleep(TICK_S)
            await site._replicas[0].stop()
            # Finds out that new connections are refused.
            status, _, _ = await (await site.caller()).request("safe", "first")
            assert status == 503
            waiting = await site.caller()
            waiting.send("safe", "waiting")
            await asyncio.sleep(0.05)
            released.set()
            status, _ = await waiting.head()
            assert status == 200

    run(scenario())
