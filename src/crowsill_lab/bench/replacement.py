"""Replacement of a control member that lost its disk, followed by the loss of another one."""

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
from crowsill_lab.bench.site import run_operator_command
from crowsill_lab.demo.site import Site


class ReplaceFigures(msgspec.Struct, frozen=True):
    """Result of replacing a member that lost its disk, and then losing another member.

    Attributes:
        whole_after_s: Time from the command until the group is reported as fully replicated.
        words_before: Last output line of the command, printed before full replication.
        whole_reported_early: Whether full replication was reported while entries were missing.
        lost_changes: Accepted changes that are missing after the second loss.
        commits_after: Whether the two remaining members still commit.
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
    replaced = next(index for index in range(3) if index != leader)
    name = f"control-{replaced}"
    process = site.processes[name]
    process.send(signal.SIGKILL)
    process.wait()
    shutil.rmtree(site.folder / name)
    process.start()
    port = str(site.control_ports[replaced])
    started_s = time.monotonic()
    for _ in range(100):
        try:
            output = await asyncio.to_thread(
                run_operator_command, site, "members", "replace", name, "127.0.0.1", port
            )
            break
        except RuntimeError:
            await asyncio.sleep(0.1)
    reported_early = False
    while True:
        report = await fetch_operator(site, leader, "/v1/members", MembersReport)
        behind = max(member.behind for member in report.members)
        reported_early = reported_early or (
            report.is_fully_replicated and (behind > 0 or len(report.members) != 3)
        )
        if report.is_fully_replicated:
            break
        await asyncio.sleep(0.02)
    fully_replicated_after_s = time.monotonic() - started_s
    second_lost = next(index for index in range(3) if index not in (leader, replaced))
    site.processes[f"control-{second_lost}"].send(signal.SIGKILL)
    site.processes[f"control-{second_lost}"].wait()
    shutil.rmtree(site.folder / f"control-{second_lost}")
    last_revision = await apply_changes(client, revision, 50)
    configuration = Configuration()
    for _ in range(50):
        # The new member receives the last commit index with the next heartbeat.
        configuration = await fetch_operator(site, replaced, "/v1/configuration", Configuration)
        if configuration.revision >= last_revision:
            break
        await asyncio.sleep(0.05)
    client.close()
    return ReplaceFigures(
        whole_after_s=round(fully_replicated_after_s, 2),
        words_before=output.strip().splitlines()[-1],
        whole_reported_early=reported_early,
        lost_changes=max(0, last_revision - configuration.revision),
        commits_after=last_revision == revision + 50,
    )


def run_replace_bench(folder: Path) -> ReplaceFigures:
    """Replace a member that lost its disk, then kill another member and delete its disk state."""
    site = control_site(folder)
    try:
        return asyncio.run(_replace(site))
    finally:
        site.stop()
