"""A crash that a gateway reported while nobody led counts, also if the gateway is gone since.

Guards against crashes that only a gateway knew: it repeated its report until it was stopped, and
the group never learned of it.
"""

import asyncio

from crowsill.control.crash_reports import CrashReports
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


def test_only_crashes_are_repeated():
    async def scenario():
        group = Group()
        reports = CrashReports(group.submit)
        await reports.handle(FinishSuspectRun("r1"), StateMachine())
        await asyncio.sleep(0.3)
        assert len(group.commands) == 1
        await reports.stop()

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_a_gateway_reports_a_crash_to_a_member_that_has_no_leader(tmp_path):
    async def scenario():
        group = ControlGroup(tmp_path)
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

            # The stream ends as the member confirms nothing; the reply may be lost with it.
            async def is_kept():
                await gateway.follower.query(ReportCrash("i-1", [suspect()], 0.0), 0.8)
                return bool(member._service.crash_reports._repeat_tasks)

            await until_done(is_kept)
        finally:
            await gateway.stop()
            await group.stop()

    asyncio.run(asyncio.wait_for(scenario(), 60))
