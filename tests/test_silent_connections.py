"""Connections that go silent for good, without a reset, while new ones work."""

import asyncio
import json
import sys

import pytest

from crowsill.backends.engine_calls import EngineOrder, OrderResponse
from crowsill.model.instances import Instance
from crowsill.state.commands import OrderKind
from crowsill_lab.relay import SilencingRelay
from tests.control_group import ControlGroup, FollowingGateway, until
from tests.gateway_world import LOCAL, Caller, never_respond, respond_ok, world
from tests.platform_site import ROOT

sys.path.insert(0, str(ROOT / "platform"))
from crowsill_platform.engine_calls import PlatformEngineCalls

from crowsill_lab.demo.processes import free_ports

DIRECTIONS = pytest.mark.parametrize(
    ("to_target", "to_caller"), [(True, False), (False, True), (True, True)]
)


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 60))


@DIRECTIONS
def test_a_change_takes_effect_though_streams_between_members_and_gateways_went_silent(
    tmp_path, to_target, to_caller
):
    # A member whose stream from the leader is silent applies nothing, while the leader confirms on
    # another stream what it should have applied. A change would then not take effect there.
    async def scenario():
        group = ControlGroup(tmp_path)
        await group.start()
        gateway = FollowingGateway(group.addresses[group.follower_number()])
        await gateway.start()
        try:
            await group.publish(1)
            await until(lambda: gateway.follower.routes_version == 1)
            for relay in group.relays:
                relay.silence(to_target, to_caller)
            await group.publish(2)
            await until(lambda: gateway.follower.routes_version == 2)
            # All members have it: none is left behind a silent stream.
            machines = [role._machine for role in group.roles]
            await until(lambda: all(item.routes.current.version == 2 for item in machines))
        finally:
            await gateway.stop()
            await group.stop()

    run(scenario())


def test_a_replica_whose_open_connections_went_silent_is_used_on_new_ones():
    # A request on such a connection waits for its deadline, since it may have run. The other idle
    # connections to that replica are as old and must not cost a request each.
    async def scenario():
        async with world(respond_ok) as here:
            relay = SilencingRelay()
            (port,) = free_ports(1)
            await relay.listen(port, here._replicas[0].port)
            here.adopt([Instance("i-2", "plain", f"{LOCAL}:{port}", "z1", 8)])
            callers = [await here.caller() for _ in range(4)]
            for number, caller in enumerate(callers):
                caller.send("once", f"r{number}")
            for caller in callers:
                _, headers = await caller.head()
                await caller.body(headers)
            assert here.role.pool.has_idle("i-2")
            relay.silence(to_target=True, to_caller=True)
            deadline = ["crowsill-deadline-ms: 1800"]
            status, _, _ = await callers[0].request("once", "late", headers=deadline)
            assert status == 504
            await until(lambda: not here.role.registry.find("i-2").availability.is_unreachable)
            status, _, _ = await callers[1].request("once", "later", headers=deadline)
            assert status == 200
            relay.close()

    run(scenario())


class FakeEngine:
    """Responds to reports and orders, and counts the orders that it accepted."""

    def __init__(self):
        self.accepted = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, LOCAL, 0)
        return self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                size = next(
                    (int(line.split(":")[1]) for line in head.split("\r\n") if "Length" in line), 0
                )
                order = json.loads(await reader.readexactly(size)) if size else None
                writer.write(self._answer(order))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def _answer(self, order):
        if order is None:
            body = json.dumps({"models": [], "busy": False, "seq": self.accepted}).encode()
            return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        status = 202 if order["expect"] == self.accepted else 409
        self.accepted += status == 202
        return b"HTTP/1.1 %d S\r\nContent-Length: 0\r\n\r\n" % status

    def stop(self):
        self._server.close()


@DIRECTIONS
def test_an_engine_whose_open_connections_went_silent_gets_orders_on_new_ones(to_target, to_caller):
    async def scenario():
        engine, relay = FakeEngine(), SilencingRelay()
        target = await engine.start()
        (port,) = free_ports(1)
        await relay.listen(port, target)
        instance = Instance("i-1", "s", f"{LOCAL}:{port}", "z", 8)
        calls = PlatformEngineCalls()
        # Two connections are open by then.
        reports = await asyncio.gather(calls.report(instance), calls.report(instance))
        assert [report.sequence for report in reports] == [0, 0]
        relay.silence(to_target, to_caller)
        order = EngineOrder(OrderKind.LOAD, "m0", "", 0, "n", 1)
        responses = [await calls.order(instance, order) for _ in range(4)]
        # Only a report on a new connection shows whether the first attempts arrived.
        assert responses[0] is OrderResponse.UNKNOWN
        assert responses[-1] in (OrderResponse.ACCEPTED, OrderResponse.CONFLICT)
        assert (await calls.report(instance)).sequence == engine.accepted == 1
        relay.close()
        engine.stop()

    run(scenario())


@DIRECTIONS
def test_a_request_of_a_caller_that_went_silent_ends_with_its_deadline(to_target, to_caller):
    # Behind a relay that still acknowledges, the gateway can't detect that the caller is gone. The
    # deadline ends the request, and the gateway continues to serve others.
    async def scenario():
        async with world(never_respond) as here:
            relay = SilencingRelay()
            (port,) = free_ports(1)
            await relay.listen(port, here.role.port())
            caller = Caller(*await asyncio.open_connection(LOCAL, port))
            caller.send("once", headers=["crowsill-deadline-ms: 800"])
            await until(lambda: here.role._running.exchanges)
            relay.silence(to_target, to_caller)
            await until(lambda: not here.role._running.exchanges)
            record = here.role.registry.find("i-1")
            await until(lambda: record.in_flight == 0)
            other = await here.caller()
            status, _, _ = await other.request("unknown-route")
            assert status == 404
            relay.close()

    run(scenario())
