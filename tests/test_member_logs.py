"""Log lines of a control member whose disk hangs or whose event loop is blocked."""

import asyncio
import time

from crowsill.logs import configure_logs
from tests.control_group import ControlGroup, until


def run_with_group(folder, scenario):
    """Run a scenario with a group and collect the log lines of all its members."""

    async def run():
        lines = []
        group = ControlGroup(folder)
        await group.start()
        configure_logs("test", "INFO", lines.append)
        try:
            await scenario(group, lines)
        finally:
            await group.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_hanging_write_is_logged(tmp_path):
    async def scenario(group, lines):
        group.disks[group.follower_number()].hang()
        await group.publish(1)
        await until(lambda: any(" E314 storage_slow " in line for line in lines))

    run_with_group(tmp_path, scenario)


def test_blocked_event_loop_is_logged(tmp_path):
    async def scenario(_group, lines):
        time.sleep(0.5)  # noqa: ASYNC251
        await until(lambda: any(" E313 member_stalled " in line for line in lines))

    run_with_group(tmp_path, scenario)
