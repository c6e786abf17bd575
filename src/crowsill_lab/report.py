"""Reports the outcomes of requests by route, from saved logs of gateways.

A try is one request of a caller; a retry by the caller has another id and counts as another try.
The outcome of a try is the line with which its gateway ends it.
"""

from dataclasses import dataclass, field

from crowsill.cli.trace import LogLine, parse_line
from crowsill.events import Event

# A rejection within this time in milliseconds counts as immediate, without a wait.
IMMEDIATE_MS = 50.0
BAR_WIDTH = 40
# Upper bounds of the bins of the plot, in seconds.
WAIT_BOUNDS_S = (0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, float("inf"))
FAILED_STATUS = 400
# Columns of the table: shares of tries, then times in seconds.
COLUMNS = (
    *("in time", "late", "failed", "left", "at once", "waited"),
    *("wait p50", "p99", "told p50", "p99"),
)


@dataclass(slots=True)
class TryTally:
    """Counts of tries by outcome.

    Attributes:
        in_time: Served within the target time.
        late: Served later, or with too long a pause in the response.
        failed: Ended with an error status, or rejected after a replica may have run them.
        cancelled: Closed by the caller before the end.
        immediate: Rejected without a wait.
        waits_ms: Waiting time of each try that was rejected after a wait.
        retry_after_s: `Retry-After` of each rejected try that has one.
    """

    in_time: int = 0
    late: int = 0
    failed: int = 0
    cancelled: int = 0
    immediate: int = 0
    waits_ms: list[float] = field(default_factory=list)
    retry_after_s: list[float] = field(default_factory=list)

    @property
    def tries(self) -> int:
        """Number of tries."""
        ended = self.in_time + self.late + self.failed + self.cancelled
        return ended + self.immediate + len(self.waits_ms)

    def add_line(self, line: LogLine) -> None:
        """Count a try by the line that ends it."""
        if line.number == Event.REQUEST_FINISHED.value.number:
            self._add_finished(line)
        elif line.number == Event.CALLER_LEFT.value.number:
            self.cancelled += 1
        elif line.fields.get("may_have_run") == "True":
            self.failed += 1
        else:
            self._add_rejected(line)

    def _add_finished(self, line: LogLine) -> None:
        if int(line.fields.get("status", "0")) >= FAILED_STATUS:
            self.failed += 1
        elif line.fields.get("late") == "True":
            self.late += 1
        else:
            self.in_time += 1

    def _add_rejected(self, line: LogLine) -> None:
        waited_ms = float(line.fields.get("ms", "0"))
        if waited_ms <= IMMEDIATE_MS:
            self.immediate += 1
        else:
            self.waits_ms.append(waited_ms)
        retry_after = line.fields.get("retry_after_s", "")
        if retry_after:
            self.retry_after_s.append(float(retry_after))


def percentile(values: list[float], share: float) -> float:
    """Return the value that a share of all values does not exceed; 0 without values.

    >>> percentile([3.0, 1.0, 2.0], 0.5), percentile([], 0.5)
    (2.0, 0.0)
    """
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


def read_tries(texts: list[str]) -> dict[str, TryTally]:
    """Return tallies by route."""
    first_end: dict[str, LogLine] = {}
    end_events = {
        Event.REQUEST_FINISHED.value.number,
        Event.REQUEST_REFUSED.value.number,
        Event.CALLER_LEFT.value.number,
    }
    for text in texts:
        for line in filter(None, map(parse_line, text.splitlines())):
            if line.number in end_events and "request" in line.fields:
                first_end.setdefault(line.fields["request"], line)
    tallies: dict[str, TryTally] = {}
    for line in first_end.values():
        tallies.setdefault(line.fields.get("route", ""), TryTally()).add_line(line)
    return tallies


def _row(label: str, tally: TryTally) -> str:
    tries = max(1, tally.tries)
    shares = [tally.in_time, tally.late, tally.failed, tally.cancelled, tally.immediate]
    cells = [f"{count / tries:9.3f}" for count in (*shares, len(tally.waits_ms))]
    waits_s = [value / 1000.0 for value in tally.waits_ms]
    cells += [f"{percentile(waits_s, share):9.2f}" for share in (0.5, 0.99)]
    cells += [f"{percentile(tally.retry_after_s, share):9.2f}" for share in (0.5, 0.99)]
    return f"{label:<24}{tally.tries:8d}{''.join(cells)}"


def table(tallies: dict[str, TryTally]) -> str:
    """Return a table with a row for the tries of each route."""
    header = "".join(f"{head:>9}" for head in COLUMNS)
    lines = [f"{'route':<24}{'tries':>8}{header}"]
    for route, tally in sorted(tallies.items()):
        lines.append(_row(route or "no route", tally))
    return "\n".join(lines)


def plot(tallies: dict[str, TryTally]) -> str:
    """Return a histogram of the waits of tries that were rejected after a wait."""
    waits_s = [value / 1000.0 for tally in tallies.values() for value in tally.waits_ms]
    lines = ["tries refused after a wait, by how long they waited"]
    lower_s = 0.0
    counts = []
    for upper_s in WAIT_BOUNDS_S:
        counts.append(sum(1 for wait_s in waits_s if lower_s < wait_s <= upper_s))
        lower_s = upper_s
    max_count = max(1, *counts)
    for upper_s, count in zip(WAIT_BOUNDS_S, counts, strict=True):
        bar = "#" * round(count / max_count * BAR_WIDTH)
        lines.append(f"up to {upper_s:5.2f} s {count:6d} {bar}")
    return "\n".join(lines)
