"""Renders the reference pages docs/ERRORS.md, docs/EVENTS.md and docs/METRICS.md from the code."""

from pathlib import Path

from crowsill.errors import ERROR_ANSWERS
from crowsill.events import Event
from crowsill.metrics import LABELS, REGISTRY

_ERRORS_HEAD = """# Errors

Every refusal and failure has one of these kinds. The JSON body is
`{"kind", "outcome", "retryable", "detail", "request_id"}`.

`outcome` says what is known about the run: `not_run` means that no back end ran the request;
`unknown` means that one may have. `retryable` says that sending the same request again, with the
same `Idempotency-Key` if it had one, is safe and useful; `Retry-After` says when. A request that
may have run on an earlier try is never answered with `not_run`, whatever the table says.

This page is written by `crowsill-lab reference`; a test keeps it equal to the code.

| kind | status | outcome | retryable | Retry-After (s) |
| --- | --- | --- | --- | --- |
"""

_EVENTS_HEAD = """# Log events

Each log line is `TIME LEVEL E<number> <name> key=value ... node=<node>`. Numbers are stable and
never reused. This page is written by `crowsill-lab reference`; a test keeps it equal to the code.

| number | name | level | meaning |
| --- | --- | --- | --- |
"""

_METRICS_HEAD = """# Metrics

Served as text at `/metrics` of a gateway's readiness address and of every HTTP listener of an entry
or a control member. Counters end in `_total` there, histograms in `_bucket`, `_sum` and `_count`.

This page is written by `crowsill-lab reference`; a test keeps it equal to the code.

| name | type | labels | meaning |
| --- | --- | --- | --- |
"""


def errors_page() -> str:
    """Return the text of docs/ERRORS.md."""
    rows = []
    for kind, answer in ERROR_ANSWERS.items():
        retryable = "yes" if answer.retryable else "no"
        after = "" if answer.retry_after_s is None else str(answer.retry_after_s)
        rows.append(f"| `{kind}` | {answer.status} | {answer.outcome} | {retryable} | {after} |")
    return _ERRORS_HEAD + "\n".join(rows) + "\n"


def events_page() -> str:
    """Return the text of docs/EVENTS.md."""
    rows = [
        f"| {event.value.number} | `{event.name.lower()}` | {event.value.level} "
        f"| {event.value.meaning} |"
        for event in Event
    ]
    return _EVENTS_HEAD + "\n".join(rows) + "\n"


def metrics_page() -> str:
    """Return the text of docs/METRICS.md."""
    rows = []
    for family in REGISTRY.collect():
        shown = ", ".join(LABELS.get(family.name, ()))
        rows.append(f"| `{family.name}` | {family.type} | {shown} | {family.documentation} |")
    return _METRICS_HEAD + "\n".join(rows) + "\n"


def write_pages(folder: Path) -> None:
    """Write all reference pages to a folder."""
    (folder / "ERRORS.md").write_text(errors_page(), encoding="utf-8")
    (folder / "METRICS.md").write_text(metrics_page(), encoding="utf-8")
    (folder / "EVENTS.md").write_text(events_page(), encoding="utf-8")
