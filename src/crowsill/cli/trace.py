"""Traces a request through saved logs of any number of processes.

The trace has the request's own lines at the gateways, and lines shortly before and while it was
served: those about the replicas that it was sent to, and those about the model that it waited for.
"""

import re
from dataclasses import dataclass
from datetime import datetime, timedelta

from crowsill.events import Event

MAX_BEFORE_S = 15.0
MAX_AFTER_S = 1.0

_LINE = re.compile(r"(\d{4}-\d\d-\d\dT[\d:.]+)Z (\w+) E(\d+) (\w+) (.*)")
_FIELD = re.compile(r'(\w+)=("[^"]*"|\S*)')
_FINGERPRINT = re.compile(r"fingerprint ([0-9a-f]+)")
_PARTS = re.compile(r"with part ([0-9a-f/]+)")
_MEANINGS = {event.value.number: event.value.meaning for event in Event}
_BACKING_OFF_REPLICA = re.compile(r"(?:asked for rest|its limit allows): (\S+) for ")
_REPLICA_EVENTS = frozenset(
    (205, 206, 208, 211, 212, 213, 214, 215, 216, 502, 504, 505, 506, 512, 513)
)
_MODEL_EVENTS = frozenset((501, 502, 506, 507))
_PART_EVENTS = frozenset((510, 514))


@dataclass(frozen=True, slots=True)
class LogLine:
    """One parsed log line.

    Attributes:
        at: Date and time in UTC.
        number: Number of the event.
        name: Name of the event.
        fields: Fields of the line, without quotes.
    """

    at: datetime
    number: int
    name: str
    fields: dict[str, str]

    def text(self) -> str:
        """Return the line as it is printed in a trace."""
        words = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.at.time().isoformat('milliseconds')} E{self.number} {self.name} {words}"


def parse_line(text: str) -> LogLine | None:
    """Parse one log line; return None for any other text.

    >>> parse_line('2026-01-02T03:04:05.678Z INFO E201 refused kind=a detail="b c"').fields
    {'kind': 'a', 'detail': 'b c'}
    """
    found = _LINE.search(text)
    if found is None:
        return None
    fields = {name: value.strip('"') for name, value in _FIELD.findall(found.group(5))}
    at = datetime.fromisoformat(found.group(1))
    return LogLine(at, int(found.group(3)), found.group(4), fields)


def trace_request(lines: list[LogLine], request_id: str) -> list[str]:
    """Return the lines of a request's trace by time; empty if no line has the request's id."""
    request_lines = [line for line in lines if line.fields.get("request") == request_id]
    if not request_lines:
        return []
    begin = min(line.at for line in request_lines) - timedelta(seconds=MAX_BEFORE_S)
    end = max(line.at for line in request_lines) + timedelta(seconds=MAX_AFTER_S)
    details = " ".join(line.fields.get("detail", "") for line in request_lines)
    replicas = {line.fields["replica"] for line in request_lines if line.fields.get("replica")}
    # The rejection of a request that was never sent names the replica that is backing off.
    replicas |= set(_BACKING_OFF_REPLICA.findall(details))
    resources = {line.fields["resource"] for line in request_lines if line.fields.get("resource")}
    models = {resource.partition("/")[0] for resource in resources}
    other_lines = [line for line in lines if line not in request_lines]
    nearby = [line for line in other_lines if begin <= line.at <= end]
    related_lines = [line for line in nearby if _is_related(line, replicas, models)]
    # The crashes for which a request is quarantined may be much older.
    quarantined_fingerprints = _FINGERPRINT.findall(details)
    related_lines += [
        line for line in other_lines if line.fields.get("fingerprint") in quarantined_fingerprints
    ]
    quarantined_parts = _PARTS.findall(details)
    related_lines += [
        line
        for line in other_lines
        if line.number in _PART_EVENTS and line.fields.get("parts") in quarantined_parts
    ]
    unique = {line.text(): line for line in [*request_lines, *related_lines]}
    shown = [
        f"{'*' if line in request_lines else ' '} {text}"
        for text, line in sorted(unique.items(), key=lambda item: item[1].at)
    ]
    last = max(request_lines, key=lambda line: line.at)
    return [*shown, f"It ended with E{last.number}: {_MEANINGS.get(last.number, 'unknown')}"]


def _is_related(line: LogLine, replicas: set[str], models: set[str]) -> bool:
    if line.number in _MODEL_EVENTS:
        field_values = [line.fields.get(name, "") for name in ("load", "unload", "resource")]
        named_models = {
            word.partition("/")[0] for value in field_values for word in value.split(",") if word
        }
        if named_models & models:
            return True
    return line.number in _REPLICA_EVENTS and line.fields.get("replica", "") in replicas
