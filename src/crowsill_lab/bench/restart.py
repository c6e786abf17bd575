"""Restart of a member and an entry after many configuration changes, and a burst of changes."""

import asyncio
import signal
import statistics
import time
from pathlib import Path

import msgspec

from crowsill.control.operations import Status
from crowsill_lab.bench.control import control_site, leader_client
from crowsill_lab.bench.hollow import (
    HollowEntry,
    apply_changes,
    change_configuration,
    leader_index,
    sent_bytes,
    wait_until,
)
from crowsill_lab.bench.operator_http import fetch_operator
from crowsill_lab.demo.site import Site

CHANGES = 1000


class RestartFigures(msgspec.Struct, frozen=True):
    """Result of restarts after many configuration changes, and of a burst of changes.

    Attributes:
        changes: Changes while a member was stopped, and before the first entry started.
        member_serves_after_s: Time from the member's start until it has applied all changes.
        member_memory_mib: Resident memory of the member at that time.
        journal_bytes: Size of the member's journal.
        entry_current_after_s: Time from the start of a new entry until it has proof of freshness.
        entry_received_bytes: Upper bound of the bytes that it received in that time: all bytes that
            the members sent.
        burst: Number of changes in the burst.
        burst_s: Duration of the burst, in seconds.
        entries: Number of hollow entries.
        in_force_p50_ms: Median time from acceptance of a change to adoption, over all entries.
        in_force_p99_ms: The same at the 99th percentile.
        in_force_max_ms: The maximum.
    """

    changes: int
    member_serves_after_s: float
    member_memory_mib: float
    journal_bytes: int
    entry_current_after_s: float
    entry_received_bytes: float
    burst: int
    burst_s: float
    entries: int
    in_force_p50_ms: float
    in_force_p99_ms: float
    in_force_max_ms: float


async def _restart(site: Site, entries: int) -> RestartFigures:
    client = leader_client(site)
    leader = await leader_index(site)
    stopped = next(index for index in range(3) if index != leader)
    process = site.processes[f"control-{stopped}"]
    process.send(signal.SIGKILL)
    process.wait()
    revision = await apply_changes(client, 0, CHANGES)
    started_s = time.monotonic()
    process.start()
    while True:
        try:
            status = await fetch_operator(site, stopped, "/v1/status", Status)
        except RuntimeError:
            await asyncio.sleep(0.02)
            continue
        if status.revision >= revision and status.entries is not None:
            break
        await asyncio.sleep(0.02)
    member_ready_s = time.monotonic() - started_s
    memory_mib = process.resident_mib()
    journal_bytes = (site.folder / f"control-{stopped}" / "journal").stat().st_size
    sent_before = await sent_bytes(site)
    entry = HollowEntry(site, 0)
    entry_current_s = await wait_until(entry.is_current)
    received_bytes = await sent_bytes(site) - sent_before
    hollow_entries = [entry, *(HollowEntry(site, number) for number in range(1, entries))]
    await wait_until(lambda: all(item.is_current() for item in hollow_entries))
    accepted_s: dict[int, float] = {}
    burst_started_s = time.monotonic()
    for number in range(100):
        target_s = burst_started_s + number * 0.6 * 0.2
        await asyncio.sleep(max(0.0, target_s - time.monotonic()))
        result = await change_configuration(client, revision + 1, revision)
        revision = result.revision
        accepted_s[revision] = time.monotonic()
    burst_s = time.monotonic() - burst_started_s
    await wait_until(lambda: all(revision in item.adopted_s for item in hollow_entries))
    delays_ms = sorted(
        (item.adopted_s[changed_revision] - accepted_s[changed_revision]) * 1000
        for item in hollow_entries
        for changed_revision in accepted_s
        if changed_revision in item.adopted_s
    )
    for item in hollow_entries:
        item.stop()
    client.close()
    return RestartFigures(
        changes=CHANGES,
        member_serves_after_s=round(member_ready_s, 2),
        member_memory_mib=round(memory_mib, 1),
        journal_bytes=journal_bytes,
        entry_current_after_s=round(entry_current_s, 3),
        entry_received_bytes=received_bytes,
        burst=len(accepted_s),
        burst_s=round(burst_s, 1),
        entries=entries,
        in_force_p50_ms=round(statistics.median(delays_ms), 1),
        in_force_p99_ms=round(delays_ms[int(len(delays_ms) * 0.99)], 1),
        in_force_max_ms=round(delays_ms[-1], 1),
    )


def run_restart_bench(entries: int, folder: Path) -> RestartFigures:
    """Restart a member and an entry after `CHANGES` changes, then apply a burst of changes."""
    site = control_site(folder)
    try:
        return asyncio.run(_restart(site, entries))
    finally:
        site.stop()
