"""CPU time, memory and traffic that entries cost the control members, with hollow entries."""

import asyncio
import statistics
import time
from pathlib import Path

import msgspec

from crowsill_lab.bench.control import control_site
from crowsill_lab.bench.hollow import (
    HollowEntry,
    leader_index,
    sent_bytes,
    wait_until,
)
from crowsill_lab.demo.site import Site


class CrowdFigures(msgspec.Struct, frozen=True):
    """Cost of one number of hollow entries to the control members.

    Attributes:
        entries: Number of hollow entries.
        leader_cpu_percent: CPU use of the leader, in percent of one core.
        follower_cpu_percent: CPU use of a follower, mean of both.
        leader_memory_mib: Resident memory of the leader.
        sent_bytes_per_entry_s: Bytes that all members send per entry and second.
        hollow_cpu_percent_each: CPU use of this process per hollow entry.
    """

    entries: int
    leader_cpu_percent: float
    follower_cpu_percent: float
    leader_memory_mib: float
    sent_bytes_per_entry_s: float
    hollow_cpu_percent_each: float


async def _crowd(site: Site, entries: int, seconds: float) -> CrowdFigures:
    hollow_entries = [HollowEntry(site, number) for number in range(entries)]
    await wait_until(lambda: all(item.is_current() for item in hollow_entries), 60.0)
    await asyncio.sleep(2.0)
    leader = await leader_index(site)
    names = [f"control-{index}" for index in range(3)]
    cpu_before_s = {name: site.processes[name].cpu_s() for name in names}
    sent_before = await sent_bytes(site)
    own_cpu_before_s = time.process_time()
    started_s = time.monotonic()
    await asyncio.sleep(seconds)
    elapsed_s = time.monotonic() - started_s
    own_cpu_s = time.process_time() - own_cpu_before_s
    sent = await sent_bytes(site) - sent_before
    percent = {
        name: (site.processes[name].cpu_s() - cpu_before_s[name]) / elapsed_s * 100
        for name in names
    }
    followers = [percent[name] for index, name in enumerate(names) if index != leader]
    memory_mib = site.processes[names[leader]].resident_mib()
    for item in hollow_entries:
        item.stop()
    await asyncio.sleep(0.5)
    return CrowdFigures(
        entries=entries,
        leader_cpu_percent=round(percent[names[leader]], 2),
        follower_cpu_percent=round(statistics.mean(followers), 2),
        leader_memory_mib=round(memory_mib, 1),
        sent_bytes_per_entry_s=round(sent / elapsed_s / max(1, entries)),
        hollow_cpu_percent_each=round(own_cpu_s / elapsed_s * 100 / max(1, entries), 3),
    )


def run_crowd_bench(counts: list[int], seconds: float, folder: Path) -> list[CrowdFigures]:
    """Measure the cost of hollow entries, for each of several numbers of them."""
    site = control_site(folder)
    try:
        return [asyncio.run(_crowd(site, count, seconds)) for count in counts]
    finally:
        site.stop()
