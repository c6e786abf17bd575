"""A follower's stream to the leader when the leader fails silently.

The follower used to check the stream only between two requests, and a request to a machine that
sends nothing lasts until its time-out. After the loss of a leader, gateways were without a
confirmation for 0.5 to 1.3 s after the next election, and an operator's change waited up to 3 s.
"""

import asyncio
from types import SimpleNamespace

from crowsill.control.leader_link import LeaderLink
from crowsill.model.fleet import FleetView
from crowsill.transport.connection import ConnectionServer
from crowsill.transport.messages import Freshness
from crowsill.transport.stream import LocalIdentity
from tests.control_group import KEY, until

LOCAL = LocalIdentity("m0", "m0.1", "z", KEY)


class Follower:
    """The parts of a following member that the link uses."""

    def __init__(self):
        self.driver = SimpleNamespace(
            is_leader=False, is_elected=False, leader_address=lambda: self.address
        )
        self.address = None
        self.leader_stream = None
        self.refreshed = 0

    async def refresh_from_leader(self):
        """Send a request through the stream, as the member's service does."""
        await self.leader_stream.request(Freshness(0, 1), 100.0)
        self.refreshed += 1


async def start_leader(responds):
    """Start a leader's server; return it and its address."""

    async def on_request(_connection, _body):
        if not responds:
            await asyncio.sleep(100.0)
        return Freshness(0, 1)

    server = ConnectionServer(LOCAL, on_request, lambda *_: None, lambda _: None)
    port = await server.start("127.0.0.1", 0)
    return server, f"127.0.0.1:{port}"


def test_follower_connects_to_the_new_leader_while_the_former_one_never_responds():
    async def scenario():
        silent_leader, silent_leader_address = await start_leader(responds=False)
        new_leader, new_leader_address = await start_leader(responds=True)
        follower = Follower()
        link = LeaderLink(LOCAL, follower, FleetView(), lambda delta: None)
        link_task = asyncio.create_task(link.run())
        follower.address = silent_leader_address
        await until(lambda: follower.leader_stream is not None)
        pending_request = asyncio.create_task(
            follower.leader_stream.request(Freshness(0, 1), 100.0)
        )
        follower.address = new_leader_address
        await until(lambda: follower.refreshed > 0)
        # The request to the lost leader fails at once, so that it can be sent to the next one.
        await until(pending_request.done)
        link_task.cancel()
        await asyncio.gather(link_task, pending_request, return_exceptions=True)
        await silent_leader.stop()
        await new_leader.stop()

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_a_new_leader_has_no_stream_to_itself():
    # It received what it pushed to the leader, pushed it again, and ran without an end.
    async def scenario():
        own_server, own_address = await start_leader(responds=True)
        member = Follower()
        # Elected, but its first entry is not committed yet.
        member.address = own_address
        link = LeaderLink(LOCAL, member, FleetView(), lambda delta: None)
        link_task = asyncio.create_task(link.run())
        waited_until_s = asyncio.get_running_loop().time() + 2.0
        while member.leader_stream is None and asyncio.get_running_loop().time() < waited_until_s:
            await asyncio.sleep(0.01)
        member.driver.is_leader = True
        await asyncio.sleep(0.3)
        try:
            assert member.leader_stream is None
        finally:
            link_task.cancel()
            await asyncio.gather(link_task, return_exceptions=True)
            await own_server.stop()

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_an_elected_member_opens_no_stream_to_itself():
    async def scenario():
        connections = []

        async def on_request(connection, _body):
            connections.append(connection)
            return Freshness(0, 1)

        server = ConnectionServer(LOCAL, on_request, lambda *_: None, lambda _: None)
        member = Follower()
        member.driver.is_elected = True
        member.address = f"127.0.0.1:{await server.start('127.0.0.1', 0)}"
        link = LeaderLink(LOCAL, member, FleetView(), lambda delta: None)
        link_task = asyncio.create_task(link.run())
        await asyncio.sleep(0.5)
        assert member.leader_stream is None and connections == []
        # It follows once another member is elected.
        member.driver.is_elected = False
        await until(lambda: member.refreshed > 0)
        link_task.cancel()
        await asyncio.gather(link_task, return_exceptions=True)
        await server.stop()

    asyncio.run(asyncio.wait_for(scenario(), 30))
