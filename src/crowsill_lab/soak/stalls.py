"""Checks that no process's event loop stood still while the process used the processor."""

import re
from pathlib import Path

from crowsill.events import Event

# A process that is paused, or waits for a processor, uses none meanwhile.
MAX_BUSY_STALL_S = 0.35
_STALL = re.compile(rf"^(\S+) \S+ E{Event.LOOP_STALLED.value.number} .*cpu_s=(\S+) node=(\S+)")


def busy_stalls(lines: list[str]) -> list[str]:
    """Return a line for each stall that used the processor for longer than allowed.

    Args:
        lines: Log lines of processes.

    >>> head = "2026-01-01T00:00:00.000Z WARNING E106 loop_stalled"
    >>> busy_stalls([f"{head} lag_s=0.9 cpu_s=0.1 node=g1", f"{head} lag_s=0.9 cpu_s=0.8 node=g2"])
    ['g2: the event loop used the processor for 0.8 s and ran nothing else, 2026-01-01T00:00:00.000Z']
    """  # noqa: E501
    found = [match for line in lines if (match := _STALL.match(line)) is not None]
    return [
        f"{match[3]}: the event loop used the processor for {match[2]} s and ran nothing else, "
        f"{match[1]}"
        for match in found
        if float(match[2]) > MAX_BUSY_STALL_S
    ]


def read_busy_stalls(folder: Path) -> list[str]:
    """Return the same for the log files of a folder."""
    lines: list[str] = []
    for path in sorted(folder.glob("*.log")):
        lines += path.read_text(encoding="utf-8", errors="replace").splitlines()
    return busy_stalls(lines)
