"""Connections that go silent for good, without a reset, while new ones work."""

import asyncio

import pytest

from crowsill.model.instances import Instance
from crowsill_lab.relay import SilencingRelay
from tests.control_group import ControlGroup, FollowingGateway, until
from tests.gateway_world import LOCAL, good, world
from tests.platform_site import free_ports

DIRECTIONS = pytest.mark.parametrize(
    ("to_target", "to_caller"), [(True, False), (False, True), (True, True)]
)


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 60))


@DIRECTIONS
def test_a_change_is_in_force_though_streams_between_members_and_gateways_went_silent(
    tmp_path, to_target, to_caller
):
    # Seen as a hypothesis for a change that was not in force: a member whose stream from the leader
    # is silent applies nothing, and has the leader confirm on another stream that it should.
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
            # All members have it, and stay together: nobody is left behind a silent stream.
            machines = [role._machine for role in group.roles]
            await until(lambda: all(item.routes.current.version == 2 for item in machines))
        finally:
            await gateway.stop()
            await group.stop()

    run(scenario())


def test_a_replica_whose_open_connections_went_silent_is_asked_on_new_ones():
    # A request on such a connection waits for its deadline, since it may have run. The others that
    # are kept open to the same replica are as old and must not cost a request each.
    async def scenario():
        async with world(good) as here:
            relay = SilencingRelay()
            (port,) = free_ports(1)
            await relay.listen(port, here._replicas[0].port)
            here.adopt([Instance("i-2", "plain", f"{LOCAL}:{port}", "z1", 8)])
            callers = [await here.caller() for _ in range(4)]
            for caller in callers:
                caller.send("once")
            for caller in callers:
                _, headers = await caller.head()
                await caller.body(headers)
            assert here.role.pool.has_idle("i-2")
            relay.silence(to_target=True, to_caller=True)
            status, _, _ = await callers[0].ask("once", headers=["crowsill-deadline-ms: 1800"])
            assert status == 504
            await until(lambda: not here.role.book.find("i-2").is_unreachable)
            status, _, _ = await callers[1].ask("once", headers=["crowsill-deadline-ms: 1800"])
            assert status == 200
            relay.close()

    run(scenario())
