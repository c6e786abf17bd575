"""How callers fared, read from the saved logs of gateways: first tries, and those that came back.

What is known of a request is its last line at its gateway; whether it was its caller's first try
is told by the time that it had left, as the gateway sees it.
"""

from dataclasses import dataclass, field

from crowsill.cli.trace import LogLine, parse_line
from crowsill.events import Event

# A refusal within this time was not waited for, in milliseconds.
AT_ONCE_MS = 50.0
BAR_WIDTH = 40
# Upper bounds of the bars of the plot, in seconds.
WAIT_BOUNDS_S = (0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, float("inf"))
FAILED_STATUS = 400
# Shares of tries, then seconds.
HEADS = (
    *("in time", "late", "failed", "left", "at once", "waited"),
    *("wait p50", "p99", "told p50", "p99"),
)


@dataclass(slots=True)
class TryTally:
    """What became of tries.

    Attributes:
        in_time: Answered within the target.
        late: Answered later, or with a pause that is too long.
        failed: Answered with a failure, or broken off.
        left: Their caller left.
        at_once: Refused without a wait.
        waits_ms: How long those waited that were refused after a wait.
        retry_after_s: What the refused were told.
    """

    in_time: int = 0
    late: int = 0
    failed: int = 0
    left: int = 0
    at_once: int = 0
    waits_ms: list[float] = field(default_factory=list)
    retry_after_s: list[float] = field(default_factory=list)

    @property
    def tries(self) -> int:
        """Number of tries."""
        ended = self.in_time + self.late + self.failed + self.left
        return ended + self.at_once + len(self.waits_ms)

    def take(self, line: LogLine) -> None:
        """Count the last line of a try."""
        if line.number == Event.REQUEST_FINISHED.value.number:
            self._finished(line)
        elif line.number == Event.CALLER_LEFT.value.number:
            self.left += 1
        elif line.fields.get("may_have_run") == "True":
            self.failed += 1
        else:
            self._refused(line)

    def _finished(self, line: LogLine) -> None:
        if int(line.fields.get("status", "0")) >= FAILED_STATUS:
            self.failed += 1
        elif line.fields.get("late") == "True":
            self.late += 1
        else:
            self.in_time += 1

    def _refused(self, line: LogLine) -> None:
        waited_ms = float(line.fields.get("ms", "0"))
        if waited_ms <= AT_ONCE_MS:
            self.at_once += 1
        else:
            self.waits_ms.append(waited_ms)
        told = line.fields.get("retry_after_s", "")
        if told:
            self.retry_after_s.append(float(told))


def percentile(values: list[float], share: float) -> float:
    """Return the value that a share of all values does not exceed; 0 without values.

    >>> percentile([3.0, 1.0, 2.0], 0.5), percentile([], 0.5)
    (2.0, 0.0)
    """
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


def read_tries(texts: list[str]) -> dict[tuple[str, bool], TryTally]:
    """Return tallies by route and by whether the caller had come back."""
    last: dict[str, LogLine] = {}
    endings = {
        Event.REQUEST_FINISHED.value.number,
        Event.REQUEST_REFUSED.value.number,
        Event.CALLER_LEFT.value.number,
    }
    for text in texts:
        for line in filter(None, map(parse_line, text.splitlines())):
            if line.number in endings and "request" in line.fields:
                last.setdefault(line.fields["request"], line)
    tallies: dict[tuple[str, bool], TryTally] = {}
    for line in last.values():
        key = (line.fields.get("route", ""), line.fields.get("returned") == "True")
        tallies.setdefault(key, TryTally()).take(line)
    return tallies


def _row(name: str, tally: TryTally) -> str:
    tries = max(1, tally.tries)
    shares = [tally.in_time, tally.late, tally.failed, tally.left, tally.at_once]
    words = [f"{count / tries:9.3f}" for count in (*shares, len(tally.waits_ms))]
    waits_s = [value / 1000.0 for value in tally.waits_ms]
    words += [f"{percentile(waits_s, share):9.2f}" for share in (0.5, 0.99)]
    words += [f"{percentile(tally.retry_after_s, share):9.2f}" for share in (0.5, 0.99)]
    return f"{name:<24}{tally.tries:8d}{''.join(words)}"


def table(tallies: dict[tuple[str, bool], TryTally]) -> str:
    """Return a table: a row for each route, first tries and those that came back."""
    heads = "".join(f"{head:>9}" for head in HEADS)
    lines = [f"{'route, try':<24}{'tries':>8}{heads}"]
    for (route, has_returned), tally in sorted(tallies.items()):
        name = f"{route or 'no route'}, {'later' if has_returned else 'first'}"
        lines.append(_row(name, tally))
    return "\n".join(lines)


def plot(tallies: dict[tuple[str, bool], TryTally]) -> str:
    """Return bars of how long first tries waited that were refused after a wait."""
    waits_s = [
        value / 1000.0
        for (_, has_returned), tally in tallies.items()
        if not has_returned
        for value in tally.waits_ms
    ]
    lines = ["first tries refused after a wait, by how long they waited"]
    lower_s = 0.0
    counts = []
    for upper_s in WAIT_BOUNDS_S:
        counts.append(sum(1 for wait_s in waits_s if lower_s < wait_s <= upper_s))
        lower_s = upper_s
    most = max(1, *counts)
    for upper_s, count in zip(WAIT_BOUNDS_S, counts, strict=True):
        bar = "#" * round(count / most * BAR_WIDTH)
        lines.append(f"up to {upper_s:5.2f} s {count:6d} {bar}")
    return "\n".join(lines)
