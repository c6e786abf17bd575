"""A follower's stream to the leader, when the leader is lost without a word.

What happened: after the loss of a leader its followers went on asking it. Gateways were without a
confirmation for 0.5 to 1.3 s after the next leader stood, and a change that the operator sent to a
follower waited up to 3 s for a reply of the lost one.

Cause: the stream was looked after between two questions only, and a question to a machine that
says nothing lasts until its time-out.
"""

import asyncio
from types import SimpleNamespace

from crowsill.control.leader_link import LeaderLink
from crowsill.model.fleet import FleetView
from crowsill.transport.connection import ConnectionServer
from crowsill.transport.messages import Currency
from crowsill.transport.stream import LocalIdentity
from tests.control_group import KEY, until

LOCAL = LocalIdentity("m0", "m0.1", "z", KEY)


class Follower:
    """What the link needs of a member that follows."""

    def __init__(self):
        self.driver = SimpleNamespace(is_leader=False, leader_address=lambda: self.address)
        self.address = None
        self.leader_stream = None
        self.refreshed = 0

    async def refresh_from_leader(self):
        """Ask through the stream, as the member's service does."""
        await self.leader_stream.request(Currency(0, 1), 100.0)
        self.refreshed += 1


async def leader(answers):
    """Start what a leader listens with; return it and its address."""

    async def on_request(_connection, _body):
        if not answers:
            await asyncio.sleep(100.0)
        return Currency(0, 1)

    server = ConnectionServer(LOCAL, on_request, lambda *_: None, lambda _: None)
    port = await server.start("127.0.0.1", 0)
    return server, f"127.0.0.1:{port}"


def test_a_follower_turns_to_the_next_leader_though_the_last_one_never_answers():
    async def scenario():
        silent, silent_address = await leader(answers=False)
        sound, sound_address = await leader(answers=True)
        follower = Follower()
        link = LeaderLink(LOCAL, follower, FleetView(), lambda delta: None)
        task = asyncio.create_task(link.run())
        follower.address = silent_address
        await until(lambda: follower.leader_stream is not None)
        asked = asyncio.create_task(follower.leader_stream.request(Currency(0, 1), 100.0))
        follower.address = sound_address
        await until(lambda: follower.refreshed > 0)
        # What was asked of the lost leader fails at once, so that it can be asked of the next.
        await until(asked.done)
        task.cancel()
        await asyncio.gather(task, asked, return_exceptions=True)
        await silent.stop()
        await sound.stop()

    asyncio.run(asyncio.wait_for(scenario(), 30))
