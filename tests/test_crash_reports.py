"""A crash that a gateway reported while nobody led counts, also if the gateway is gone since.

Guards against crashes that only a gateway knew: it repeated its report until it was stopped, and
the group never learned of it.
"""

import asyncio
import contextlib

from crowsill.control.crash_reports import CrashReports
from crowsill.model.prompt_parts import InterruptedPrompt
from crowsill.state.commands import Acknowledged
from crowsill.state.machine import StateMachine
from crowsill.transport.connection import ConnectionLostError
from crowsill.transport.messages import NotLeader, Submitted
from crowsill.transport.replica_messages import FinishSuspectRun, ReportCrash
from tests.control_group import ControlGroup, FollowingGateway, until, until_done
from tests.crash_world import suspect

ATTEMPTS_WITHOUT_LEADER = 3


class Group:
    """A group without a leader at first."""

    def __init__(self):
        self.commands = []
        self.committed = []

    async def submit(self, request):
        self.commands.append(request.command)
        if len(self.commands) == 1:
            raise ConnectionLostError
        if len(self.commands) <= ATTEMPTS_WITHOUT_LEADER:
            return NotLeader(None)
        self.committed.append(request.command)
        return Submitted(Acknowledged(True))


def test_a_report_that_no_leader_accepts_is_repeated_by_its_member():
    async def scenario():
        group = Group()
        reports, machine = CrashReports(group.submit), StateMachine()
        reply = await reports.handle(ReportCrash("i-1", [suspect()], 0.5), machine)
        assert isinstance(reply, NotLeader)
        # The gateway repeats it as well.
        await reports.handle(ReportCrash("i-1", [suspect()], 0.6), machine)
        await until(lambda: group.committed)
        await asyncio.sleep(0.3)
        assert [command.instance_id for command in group.committed] == ["i-1"]
        assert group.committed[0].ago_s > 0.5
        await reports.stop()

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_reports_of_other_prompts_at_the_same_crash_are_all_repeated():
    async def scenario():
        group = Group()
        reports, machine = CrashReports(group.submit), StateMachine()
        for number in range(2):
            prompt = InterruptedPrompt(f"r{number}", [b"part"], 0.1)
            await reports.handle(ReportCrash("i-1", [], 0.5, [prompt]), machine)
        await until(lambda: len(group.committed) >= 2)
        assert {command.prompts[0].request_id for command in group.committed} == {"r0", "r1"}
        await reports.stop()

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_only_crashes_are_repeated():
    async def scenario():
        group = Group()
        reports = CrashReports(group.submit)
        await reports.handle(FinishSuspectRun("r1"), StateMachine())
        await asyncio.sleep(0.3)
        assert len(group.commands) == 1
        await reports.stop()

    asyncio.run(asyncio.wait_for(scenario(), 10))


@contextlib.asynccontextmanager
async def gateway_of_a_member_without_leader(folder):
    """A gateway that follows the last member of its group, and that member."""
    group = ControlGroup(folder)
    await group.start()
    await group.publish(1)
    left = group.follower_number()
    gateway = FollowingGateway(group.addresses[left])
    await gateway.start()
    try:
        member = group.roles[left]
        for number in reversed(range(len(group.roles))):
            if number != left:
                group.disks.pop(number)
                await group.roles.pop(number).stop()
        await until(lambda: not gateway.follower.is_connected())
        yield gateway.follower, member
    finally:
        await gateway.stop()
        await group.stop()


def test_a_gateway_reports_a_crash_to_a_member_that_has_no_leader(tmp_path):
    async def scenario():
        async with gateway_of_a_member_without_leader(tmp_path) as (follower, member):
            # The stream ends as the member confirms nothing; the reply may be lost with it.
            async def is_kept():
                await follower.query(ReportCrash("i-1", [suspect()], 0.0), 0.8)
                return bool(member._service.crash_reports._repeat_tasks)

            await until_done(is_kept)

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_a_report_is_sent_as_soon_as_a_stream_to_a_member_without_leader_is_open(tmp_path):
    # Guards against reports that are lost between such streams, each of which is open only briefly.
    async def scenario():
        async with gateway_of_a_member_without_leader(tmp_path) as (follower, member):
            for number in range(5):
                await until(lambda: follower._open_connection is None)
                await follower.query(ReportCrash(f"i-{number}", [suspect()], 0.0), 0.8)
                kept = member._service.crash_reports._repeat_tasks
                instance_id = f"i-{number}"
                await until(lambda: any(instance_id in key for key in kept), 0.5)  # noqa: B023

    asyncio.run(asyncio.wait_for(scenario(), 60))
