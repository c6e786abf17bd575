"""Reports which requests failed or were late on a day, and why, from saved logs of gateways.

A try is one request of a caller; a retry by the caller has another id and counts as another try.
Each try that did not end in time has one cause, which follows from its own log lines: why it was
rejected, what it waited for, or which phase at its replica took the time.
"""

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from crowsill.cli.trace import LogLine, parse_line
from crowsill.events import Event

FAILED_STATUS = 400
BAR_WIDTH = 50
MAX_ROWS = 8
# A late response counts as late because of the wait if the wait took this share of its time.
WAIT_SHARE = 0.5


class Cause(StrEnum):
    """Why a try did not end in time."""

    MODEL_MISSING = "refused: no replica holds the model"
    REPLICAS_FULL = "refused: every replica is full"
    BACKING_OFF = "refused: every replica asked for rest"
    REPLICAS_LIMITED = "refused: every replica had what its limit allows"
    NO_REPLICA = "refused: the service has no replica"
    TENANT_REJECTED = "refused: key or rate of the tenant"
    QUARANTINED = "refused: ended replicas before"
    GATEWAY_UNAVAILABLE = "refused: the gateway stops, or knows no configuration"
    OTHER = "refused: for another reason"
    NOT_SENT = "not sent before its deadline"
    NO_RESPONSE = "no answer of a replica before the deadline"
    REPLICA_FAILED = "a replica broke off or failed"
    CANCELLED_WAITING = "its caller left while it waited"
    CANCELLED_RUNNING = "its caller left while a replica had it"
    LATE_WAITING = "late: it waited for a replica"
    LATE_START = "late: its replica was slow to begin"
    LATE_PAUSE = "late: its replica paused"


_CAUSE_BY_KIND = {
    "unauthenticated": Cause.TENANT_REJECTED,
    "rate_limited": Cause.TENANT_REJECTED,
    "quarantined": Cause.QUARANTINED,
    "not_ready": Cause.GATEWAY_UNAVAILABLE,
    "backend_failed": Cause.REPLICA_FAILED,
    "answer_cut": Cause.REPLICA_FAILED,
    "answer_truncated": Cause.NO_RESPONSE,
    "deadline_exceeded": Cause.NO_RESPONSE,
}
_CAUSE_BY_DETAIL = (
    ("no replica holds the model", Cause.MODEL_MISSING),
    ("the service has no replica", Cause.NO_REPLICA),
    ("asked for rest", Cause.BACKING_OFF),
    ("its limit allows", Cause.REPLICAS_LIMITED),
    ("every replica is full", Cause.REPLICAS_FULL),
    ("not sent in time", Cause.NOT_SENT),
    ("would outlast this process", Cause.GATEWAY_UNAVAILABLE),
)


@dataclass(slots=True)
class CallerTry:
    """The lines of one try.

    Attributes:
        route: Name of its route.
        resource: Model or other resource that it needs.
        replica: Replica that it was sent to last; empty if none.
        last_sent_ms: Time from its arrival to its last attempt.
        arrived_at_s: Unix time of its first line, in whole seconds.
        end: The line that ends it; None before that line is read.
    """

    route: str = ""
    resource: str = ""
    replica: str = ""
    last_sent_ms: float = 0.0
    arrived_at_s: int = 0
    end: LogLine | None = None

    def add_line(self, line: LogLine) -> None:
        """Add one of its log lines."""
        self.resource = line.fields.get("resource") or self.resource
        self.route = line.fields.get("route") or self.route
        if line.number == Event.REQUEST_ROUTED.value.number:
            self.replica = line.fields.get("replica", "")
            self.last_sent_ms = float(line.fields.get("ms", "0"))
        elif line.number in _END_EVENTS and self.end is None:
            self.end = line

    def cause(self) -> Cause | None:
        """Return why it did not end in time; None if it did, or has no end."""
        if self.end is None:
            return None
        if self.end.number == Event.CALLER_LEFT.value.number:
            return Cause.CANCELLED_RUNNING if self.replica else Cause.CANCELLED_WAITING
        if self.end.number == Event.REQUEST_REFUSED.value.number:
            return rejection_cause(self.end.fields)
        return self._completed_cause(self.end.fields)

    def _completed_cause(self, fields: dict[str, str]) -> Cause | None:
        if int(fields.get("status", "0")) >= FAILED_STATUS:
            return Cause.REPLICA_FAILED
        if fields.get("late") != "True":
            return None
        first_ms = float(fields.get("first_ms", "0")) or float(fields.get("ms", "0"))
        if self.last_sent_ms >= first_ms * WAIT_SHARE:
            return Cause.LATE_WAITING
        return Cause.LATE_PAUSE if float(fields.get("gap_ms", "0")) > first_ms else Cause.LATE_START


_END_EVENTS = frozenset(
    event.value.number
    for event in (Event.REQUEST_FINISHED, Event.REQUEST_REFUSED, Event.CALLER_LEFT)
)
_REQUEST_EVENTS = _END_EVENTS | {Event.REQUEST_ROUTED.value.number, Event.REQUEST_HELD.value.number}


def rejection_cause(fields: dict[str, str]) -> Cause:
    """Return why a try was rejected, by the log fields of its rejection.

    >>> rejection_cause({"kind": "overloaded", "detail": "every replica is full: status 503"})
    <Cause.REPLICAS_FULL: 'refused: every replica is full'>
    """
    detail = fields.get("detail", "")
    for text, cause in _CAUSE_BY_DETAIL:
        if text in detail:
            return cause
    return _CAUSE_BY_KIND.get(fields.get("kind", ""), Cause.OTHER)


@dataclass(slots=True)
class DayLosses:
    """Counts of all tries, and of lost ones: those that did not end in time.

    Attributes:
        tries: All tries that have an end, by route.
        by_cause: Lost tries by cause and route.
        by_resource: Lost tries by the resource that they need.
        by_replica: Lost tries by the replica that they were sent to last.
        by_second: Lost tries by the second of their arrival.
    """

    tries: Counter[str] = field(default_factory=Counter)
    by_cause: Counter[tuple[Cause, str]] = field(default_factory=Counter)
    by_resource: Counter[str] = field(default_factory=Counter)
    by_replica: Counter[str] = field(default_factory=Counter)
    by_second: Counter[int] = field(default_factory=Counter)


def read_tries(texts: list[str]) -> list[CallerTry]:
    """Return the tries in the texts of gateway logs."""
    tries_by_id: dict[str, CallerTry] = {}
    for text in texts:
        for line in filter(None, map(parse_line, text.splitlines())):
            if line.number not in _REQUEST_EVENTS or "request" not in line.fields:
                continue
            caller_try = tries_by_id.get(line.fields["request"])
            if caller_try is None:
                caller_try = tries_by_id[line.fields["request"]] = CallerTry(
                    arrived_at_s=int(line.at.timestamp())
                )
            caller_try.add_line(line)
    return list(tries_by_id.values())


def losses_of(tries: list[CallerTry]) -> DayLosses:
    """Count the tries, and those that were lost."""
    losses = DayLosses()
    for caller_try in tries:
        _count(losses, caller_try)
    return losses


def _count(losses: DayLosses, caller_try: CallerTry) -> None:
    if caller_try.end is None:
        return
    route = caller_try.route or "no route"
    losses.tries[route] += 1
    cause = caller_try.cause()
    if cause is None:
        return
    losses.by_cause[cause, route] += 1
    losses.by_second[caller_try.arrived_at_s] += 1
    if caller_try.resource:
        losses.by_resource[caller_try.resource] += 1
    if caller_try.replica:
        losses.by_replica[caller_try.replica] += 1


def table(losses: DayLosses) -> str:
    """Return a table of lost tries by cause and route, and their share of the route's tries."""
    routes = sorted(losses.tries)
    header = "".join(f"{route[:14]:>16}" for route in routes)
    lines = [f"{'tries that did not end in time':<56}{header}"]
    tries_cells = "".join(f"{losses.tries[route]:>16}" for route in routes)
    lines.append(f"{'all tries':<56}{tries_cells}")
    for cause in Cause:
        counts = [losses.by_cause[cause, route] for route in routes]
        if any(counts):
            cells = "".join(
                _cell(count, losses.tries[route])
                for count, route in zip(counts, routes, strict=True)
            )
            lines.append(f"{cause:<56}{cells}")
    for label, counter in (("model", losses.by_resource), ("replica", losses.by_replica)):
        largest = ", ".join(f"{name} {count}" for name, count in counter.most_common(MAX_ROWS))
        lines.append(f"most by {label}: {largest or 'none'}")
    return "\n".join(lines)


def _cell(count: int, tries: int) -> str:
    return f"{count:>8} ({count / max(1, tries):.3f})"


def plot(losses: DayLosses) -> str:
    """Return a bar for each second from the first to the last one with a lost try."""
    if not losses.by_second:
        return "nothing was lost"
    first_s, last_s = min(losses.by_second), max(losses.by_second)
    max_count = max(losses.by_second.values())
    lines = ["lost tries by the second in which they came"]
    for second in range(first_s, last_s + 1):
        count = losses.by_second[second]
        bar = "#" * round(count / max_count * BAR_WIDTH)
        lines.append(f"{second - first_s:5d} s {count:6d} {bar}")
    return "\n".join(lines)
