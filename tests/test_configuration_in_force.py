"""Whether an acknowledged configuration reaches every gateway, whatever its control member does.

What happened: an acknowledged change of the routes was not in force at one gateway 3.9 s after its
acknowledgement (2.5 s are allowed), while the others had it; nothing was cut, and no machine was
down.

Sequence that brings it about: the disk of one control member stops answering. The member goes on
reading its streams, so that it still has the leader confirm to its gateways which version is in
force; but it applies nothing, since what it takes in must be on its disk first. A change is
committed by the others and acknowledged. The gateways at that member are told every half second
that a newer version is in force, and wait for it without a limit; no log line said so. With the
lines added since:

    E314 storage_slow seconds=0.3 applied=3 node=m0
    E409 routes_awaited member=m0 routes=1 confirmed_routes=2 directory=0 confirmed_directory=0

Cause: a member vouched for what it did not have itself, and a gateway took the word for the thing.
"""

import asyncio

from tests.control_group import ControlGroup, FollowingGateway, until


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 60))


def test_a_gateway_at_a_member_whose_disk_hangs_gets_what_is_in_force(tmp_path):
    async def scenario():
        group = ControlGroup(tmp_path)
        await group.start()
        await group.publish(1)
        stuck = group.follower_number()
        gateway = FollowingGateway(group.addresses[stuck])
        await gateway.start()
        try:
            await until(lambda: gateway.follower.routes_version == 1)
            group.disks[stuck].hang()
            await group.publish(2)
            await until(lambda: gateway.follower.routes_version == 2)
        finally:
            await gateway.stop()
            await group.stop()

    run(scenario())
