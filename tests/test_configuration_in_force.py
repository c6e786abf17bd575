"""An acknowledged configuration reaches every gateway, even if its control member's disk hangs.

A member whose disk hangs (E314) can't apply new routes, but the leader confirms the newer version
to its gateways. A gateway that waits for that version without a limit (E409) keeps its old routes:
five of six gateways did so for 7.5 s, while 2.5 s are allowed.
"""

import asyncio

from tests.control_group import ControlGroup, FollowingGateway, until


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 60))


def test_gateway_of_a_member_whose_disk_hangs_gets_the_active_routes(tmp_path):
    async def scenario():
        group = ControlGroup(tmp_path)
        await group.start()
        await group.publish(1)
        lagging_member = group.follower_number()
        gateway = FollowingGateway(group.addresses[lagging_member])
        await gateway.start()
        try:
            await until(lambda: gateway.follower.routes_version == 1)
            group.disks[lagging_member].hang()
            await group.publish(2)
            await until(lambda: gateway.follower.routes_version == 2)
        finally:
            await gateway.stop()
            await group.stop()

    run(scenario())
