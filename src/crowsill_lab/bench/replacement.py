"""A control member that lost its disk is replaced, and another one is lost right after."""

import asyncio
import shutil
import signal
import time
from pathlib import Path

import msgspec

from crowsill.model.configuration import (
    Configuration,
)
from crowsill.transport.membership_messages import MembersReport
from crowsill_lab.bench.control import control_site, leader_client
from crowsill_lab.bench.hollow import (
    apply_changes,
    leader_index,
)
from crowsill_lab.bench.operator_http import fetch_operator
from crowsill_lab.bench.site import crowsill
from crowsill_lab.demo.site import Site


class ReplaceFigures(msgspec.Struct, frozen=True):
    """A member loses its disk, is replaced, and another member is killed right after.

    Attributes:
        whole_after_s: From the command to the report that the group is whole.
        words_before: What the command said while the group was not whole.
        whole_reported_early: Whether it was called whole while the new member lacked entries.
        lost_changes: Accepted changes missing after the second loss.
        commits_after: Whether the two that are left go on committing.
    """

    whole_after_s: float
    words_before: str
    whole_reported_early: bool
    lost_changes: int
    commits_after: bool


async def _replace(site: Site) -> ReplaceFigures:
    client = leader_client(site)
    revision = await apply_changes(client, 0, 200)
    leader = await leader_index(site)
    lost = next(index for index in range(3) if index != leader)
    name = f"control-{lost}"
    process = site.processes[name]
    process.send(signal.SIGKILL)
    process.wait()
    shutil.rmtree(site.folder / name)
    process.start()
    port = str(site.control_ports[lost])
    started_s = time.monotonic()
    for _ in range(100):
        try:
            words = await asyncio.to_thread(
                crowsill, site, "members", "replace", name, "127.0.0.1", port
            )
            break
        except RuntimeError:
            await asyncio.sleep(0.1)
    early = False
    while True:
        report = await fetch_operator(site, leader, "/v1/members", MembersReport)
        behind = max(member.behind for member in report.members)
        early = early or (report.is_fully_replicated and (behind > 0 or len(report.members) != 3))
        if report.is_fully_replicated:
            break
        await asyncio.sleep(0.02)
    whole_s = time.monotonic() - started_s
    second = next(index for index in range(3) if index not in (leader, lost))
    site.processes[f"control-{second}"].send(signal.SIGKILL)
    site.processes[f"control-{second}"].wait()
    shutil.rmtree(site.folder / f"control-{second}")
    last = await apply_changes(client, revision, 50)
    current = Configuration()
    for _ in range(50):
        # The new member learns of the last commit with the next heartbeat.
        current = await fetch_operator(site, lost, "/v1/configuration", Configuration)
        if current.revision >= last:
            break
        await asyncio.sleep(0.05)
    client.close()
    return ReplaceFigures(
        whole_after_s=round(whole_s, 2),
        words_before=words.strip().splitlines()[-1],
        whole_reported_early=early,
        lost_changes=max(0, last - current.revision),
        commits_after=last == revision + 50,
    )


def run_replace_bench(folder: Path) -> ReplaceFigures:
    """Replace a member that lost its disk, then lose another one at once."""
    site = control_site(folder)
    try:
        return asyncio.run(_replace(site))
    finally:
        site.stop()
