"""Reports what became of the requests for each model and adapter, from saved logs of all processes.

Gateways log what happened to each request, the leader of the control group which loads it decided
on, how they ended and why others were put off. Together they tell for each model or adapter that
was never served whether it was never ordered, not loaded, or loaded and not used.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import StrEnum

from crowsill.cli.trace import LogLine, parse_line
from crowsill.events import Event
from crowsill.state.commands import OrderKind
from crowsill_lab.explain_day import FAILED_STATUS, CallerTry, Cause, read_tries

# A model or adapter counts as requested throughout with this many tries over this time, in seconds.
MIN_TRIES = 4
MIN_SPAN_S = 8.0
REASONS_SHOWN = 3


class LoadState(StrEnum):
    """How far the loads of a model or adapter came."""

    NEVER_ORDERED = "never ordered"
    NOT_LOADED = "ordered, not loaded"
    LOADED = "loaded"


@dataclass(slots=True)
class ResourceReport:
    """What became of the requests for one model or adapter. All times are Unix times in seconds.

    Attributes:
        resource: `model` or `model/adapter`.
        requested_at_s: Arrival of each try.
        served_at_s: Time of each complete response.
        causes: Tries that did not end in time, by cause.
        decided_at_s: Time of each decision to load it.
        loaded_at_s: Time of each completed load.
        evicted_at_s: Time of each decision to evict a copy of it.
        deferrals: Number of log lines by the reason for not loading it, newest reasons last.
    """

    resource: str
    requested_at_s: list[float] = field(default_factory=list)
    served_at_s: list[float] = field(default_factory=list)
    causes: Counter[Cause] = field(default_factory=Counter)
    decided_at_s: list[float] = field(default_factory=list)
    loaded_at_s: list[float] = field(default_factory=list)
    evicted_at_s: list[float] = field(default_factory=list)
    deferrals: Counter[str] = field(default_factory=Counter)

    @property
    def span_s(self) -> float:
        """Time from the first try to the last one."""
        return max(self.requested_at_s) - min(self.requested_at_s) if self.requested_at_s else 0.0

    @property
    def is_requested_throughout(self) -> bool:
        """Whether it was requested often enough, over long enough, to expect a response."""
        return len(self.requested_at_s) >= MIN_TRIES and self.span_s >= MIN_SPAN_S

    @property
    def is_never_served(self) -> bool:
        """Whether it was requested throughout and got no complete response."""
        return self.is_requested_throughout and not self.served_at_s

    @property
    def load_state(self) -> LoadState:
        """How far its loads came."""
        if self.loaded_at_s:
            return LoadState.LOADED
        return LoadState.NOT_LOADED if self.decided_at_s else LoadState.NEVER_ORDERED


def read_resources(texts: list[str]) -> list[ResourceReport]:
    """Return a report for each model and adapter in the texts of logs of all processes."""
    reports: dict[str, ResourceReport] = {}
    for caller_try in read_tries(texts):
        if caller_try.resource and caller_try.end is not None:
            _add_try(_report(reports, caller_try.resource), caller_try)
    for text in texts:
        for line in filter(None, map(parse_line, text.splitlines())):
            _add_placement(reports, line)
    return list(reports.values())


def _report(reports: dict[str, ResourceReport], resource: str) -> ResourceReport:
    return reports.setdefault(resource, ResourceReport(resource))


def _add_try(report: ResourceReport, caller_try: CallerTry) -> None:
    end = caller_try.end
    if end is None:
        return
    ended_at_s = end.at.timestamp()
    report.requested_at_s.append(ended_at_s - float(end.fields.get("ms", "0")) / 1000.0)
    is_finished = end.number == Event.REQUEST_FINISHED.value.number
    if is_finished and int(end.fields.get("status", "0")) < FAILED_STATUS:
        report.served_at_s.append(ended_at_s)
    cause = caller_try.cause()
    if cause is not None:
        report.causes[cause] += 1


def _add_placement(reports: dict[str, ResourceReport], line: LogLine) -> None:
    at_s, fields = line.at.timestamp(), line.fields
    if line.number == Event.PLACEMENT_DECIDED.value.number and "load" in fields:
        if fields["load"]:
            _report(reports, fields["load"]).decided_at_s.append(at_s)
        for evicted in filter(None, fields.get("unload", "").split(",")):
            _report(reports, evicted).evicted_at_s.append(at_s)
    elif line.number == Event.ORDER_SETTLED.value.number:
        is_load = fields.get("kind") == OrderKind.LOAD and fields.get("succeeded") == "True"
        if is_load and "resource" in fields:
            _report(reports, fields["resource"]).loaded_at_s.append(at_s)
    elif line.number == Event.PLACEMENT_DEFERRED.value.number and "resource" in fields:
        deferrals = _report(reports, fields["resource"]).deferrals
        why = fields.get("why", "")
        # Reinserted, so that the newest reasons stand last.
        deferrals[why] = deferrals.pop(why, 0) + 1


def resource_table(reports: list[ResourceReport]) -> str:
    """Return counts of all models and adapters, and a line for each one that was never served."""
    requested = [report for report in reports if report.is_requested_throughout]
    unserved = [report for report in requested if report.is_never_served]
    begin_s = min((min(item.requested_at_s) for item in requested), default=0.0)
    by_state: dict[LoadState, int] = defaultdict(int)
    for report in unserved:
        by_state[report.load_state] += 1
    counts = ", ".join(f"{number} {state}" for state, number in sorted(by_state.items()))
    lines = [
        f"{len(requested)} models and adapters requested throughout, {len(unserved)} never served"
        + (f": {counts}" if counts else "")
    ]
    for report in sorted(unserved, key=lambda item: -len(item.requested_at_s)):
        lines.extend(_describe(report, begin_s))
    return "\n".join(lines)


def _describe(report: ResourceReport, begin_s: float) -> list[str]:
    """Return the lines about a model or adapter; times are given from `begin_s`."""

    def times(at_s: list[float]) -> str:
        return " ".join(f"{moment - begin_s:.1f}" for moment in sorted(at_s)) or "never"

    causes = ", ".join(f"{count} {cause}" for cause, count in report.causes.most_common())
    lines = [
        f"{report.resource}: {report.load_state}; {causes}",
        f"    requested at {times(report.requested_at_s)}",
    ]
    for label, at_s in (
        ("load decided", report.decided_at_s),
        ("loaded", report.loaded_at_s),
        ("eviction decided", report.evicted_at_s),
    ):
        if at_s:
            lines.append(f"    {label} at {times(at_s)}")
    for why in list(report.deferrals)[-REASONS_SHOWN:]:
        lines.append(f"    put off {report.deferrals[why]} times: {why}")
    return lines
