"""Connections that go silent for good, without a reset, while new ones work."""

import asyncio

import pytest

from tests.control_group import ControlGroup, FollowingGateway, until

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
