"""What a leader confirms covers what other members have applied."""

import asyncio
import threading
from random import Random

from crowsill.clock import monotonic_s
from crowsill.consensus.log import RaftLog
from crowsill.consensus.membership import Member, Membership
from crowsill.consensus.node import RaftNode
from crowsill.consensus.types import HardState, MemberSetup, RaftConfig
from crowsill.control.driver import ConsensusDriver
from crowsill.control.service import MemberService
from crowsill.control.subscribers import Subscribers
from crowsill.model.fleet import FleetView
from crowsill.state.commands import RecordHeartbeat
from crowsill.state.machine import StateMachine
from crowsill.transport.group_contacts import GroupContacts
from crowsill.transport.stream import LocalIdentity
from tests.test_resumed_streams import heartbeat

NAMES = ["a", "b", "c"]
MEMBERSHIP = Membership([Member(name, name, "127.0.0.1", 1) for name in NAMES])


class HangingJournal:
    """A journal whose writes hang between `hang` and `release`.

    Attributes:
        hanging_writes: Number of writes that have begun to hang.
    """

    def __init__(self):
        self.size_bytes = 0
        self.hanging_writes = 0
        self._may_write = threading.Semaphore(0)
        self._hangs = False

    def hang(self):
        self._hangs = True

    def write_one(self):
        """End the write that hangs; the next one hangs again."""
        self._may_write.release()

    def release(self):
        self._hangs = False
        self._may_write.release()

    def save(self, _ready):
        if self._hangs:
            self.hanging_writes += 1
            self._may_write.acquire()


class Group:
    """Three members in the test process."""

    def __init__(self):
        self.journals = {name: HangingJournal() for name in NAMES}
        self.drivers = {name: self._driver(name) for name in NAMES}
        self._tasks = [asyncio.create_task(driver.run()) for driver in self.drivers.values()]

    def _driver(self, name):
        setup = MemberSetup(
            member_id=name,
            group="g",
            hard_state=HardState(term=1),
            log=RaftLog(1, 1),
            membership=MEMBERSHIP,
            config=RaftConfig(),
            random=Random(name),
            now_s=monotonic_s(),
        )
        return ConsensusDriver(
            node=RaftNode(setup, lambda: None),
            journal=self.journals[name],
            machine=StateMachine(),
            applied_index=1,
            applied_membership=MEMBERSHIP,
            send=self._send,
            tick_s=0.01,
            on_applied=lambda _command, _result: None,
            on_role=lambda _role: None,
            on_restored=lambda: None,
        )

    def _send(self, envelopes):
        loop = asyncio.get_running_loop()
        for envelope in envelopes:
            loop.call_soon(self.drivers[envelope.target].receive, [envelope])

    async def leader(self):
        """Return the name of the leader, as soon as there is one."""
        while True:
            for name, driver in self.drivers.items():
                if driver.is_leader and driver.has_lease():
                    return name
            await asyncio.sleep(0.01)

    async def stop(self):
        for journal in self.journals.values():
            journal.release()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def member_service(driver):
    local = LocalIdentity("n", "a", "z", b"k" * 32)
    subscribers = Subscribers(driver.machine.configuration, FleetView())
    contacts = GroupContacts([], Random(1))
    service = MemberService(local, False, subscribers, None, contacts, quota=None, retries=None)
    service.driver = driver
    return service


async def until(condition):
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.002)


# A leader sends followers the index of a commit before it has applied it itself: while the write
# of a later entry lasts, gateways of followers know a replica that the leader does not.
def test_a_leader_confirms_no_version_as_the_only_one_if_a_follower_has_applied_another():
    async def scenario():
        group = Group()
        name = await group.leader()
        leader, journal = group.drivers[name], group.journals[name]
        followers = [driver for driver in group.drivers.values() if driver is not leader]
        await leader.submit(RecordHeartbeat(heartbeat(1, "v1")))
        journal.hang()
        submits = [asyncio.create_task(leader.submit(RecordHeartbeat(heartbeat(2, "v2"))))]
        await until(lambda: journal.hanging_writes == 1)
        await until(lambda: leader.node.commit_index > leader.applied_index)
        submits.append(asyncio.create_task(leader.submit(RecordHeartbeat(heartbeat(3, "v2")))))
        await asyncio.sleep(0)
        journal.write_one()
        await until(lambda: any(item.machine.directory.find("i-2") for item in followers))
        answer = asyncio.create_task(member_service(leader).infer_stream_origin("engines"))
        await asyncio.sleep(0.05)
        journal.release()
        assert (await answer).sole_version is None
        await group.stop()

    asyncio.run(asyncio.wait_for(scenario(), 20))
