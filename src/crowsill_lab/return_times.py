"""Compares the `Retry-After` of rejections in saved logs with when a retry would have succeeded.

A caller retries under a new request id, so the logs don't show which requests come from one caller.
They show when the next request for the same route and model was sent, by any gateway, to a replica
that served it. With a shorter `Retry-After` the caller is rejected again or waits; with a much
longer one it stays away while replicas could serve it.
"""

import math
from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass
from statistics import median

from crowsill.events import Event
from crowsill_lab.explain_day import FAILED_STATUS, CallerTry, Cause

# A `Retry-After` that exceeds the time until the next served request by more counts as too late.
TOO_LATE_S = 1.0


@dataclass(frozen=True, slots=True)
class RetryTime:
    """A rejection with a `Retry-After`.

    Attributes:
        cause: Reason of the rejection.
        retry_after_s: Time after which the caller was asked to retry.
        served_after_s: Time after which a request for the same route and model was served; infinite
            if none was.
    """

    cause: Cause
    retry_after_s: float
    served_after_s: float


def return_times(tries: list[CallerTry]) -> list[RetryTime]:
    """Return the rejections with a `Retry-After`, and when a similar request was served next."""
    served_at_s: dict[tuple[str, str], list[float]] = defaultdict(list)
    for caller_try in tries:
        sent_at_s = _sent_at_s(caller_try)
        if sent_at_s is not None:
            served_at_s[caller_try.route, caller_try.resource].append(sent_at_s)
    for times_s in served_at_s.values():
        times_s.sort()
    retry_times = []
    for caller_try in tries:
        cause, retry_after_s = caller_try.cause(), _retry_after_s(caller_try)
        if cause is not None and retry_after_s is not None and caller_try.end is not None:
            rejected_at_s = caller_try.end.at.timestamp()
            times_s = served_at_s[caller_try.route, caller_try.resource]
            retry_times.append(
                RetryTime(cause, retry_after_s, _next_after(times_s, rejected_at_s) - rejected_at_s)
            )
    return retry_times


def _sent_at_s(caller_try: CallerTry) -> float | None:
    """Return when a request was sent to the replica that served it, or None if none did."""
    if caller_try.end is None or caller_try.end.number != Event.REQUEST_FINISHED.value.number:
        return None
    if int(caller_try.end.fields.get("status", "0")) >= FAILED_STATUS:
        return None
    replica_ms = float(caller_try.end.fields.get("ms", "0")) - caller_try.last_sent_ms
    return caller_try.end.at.timestamp() - max(0.0, replica_ms) / 1000.0


def _retry_after_s(caller_try: CallerTry) -> float | None:
    if caller_try.end is None or caller_try.end.number != Event.REQUEST_REFUSED.value.number:
        return None
    retry_after = caller_try.end.fields.get("retry_after_s", "")
    return float(retry_after) if retry_after else None


def _next_after(times_s: list[float], after_s: float) -> float:
    """Return the first of the sorted times that is later than `after_s`, or infinity.

    >>> _next_after([1.0, 3.0], 1.0), _next_after([1.0], 2.0)
    (3.0, inf)
    """
    index = bisect_right(times_s, after_s)
    return times_s[index] if index < len(times_s) else math.inf


def retry_table(retry_times: list[RetryTime]) -> str:
    """Return a table with a line for each cause: the times, and the shares of mismatches."""
    header = ("refusals", "told s", "served s", "too early", "kept away", "never")
    lines = [f"{'what refused callers were told (medians)':<56}{_row(header)}"]
    for cause in Cause:
        times = [item for item in retry_times if item.cause is cause]
        if not times:
            continue
        too_early = sum(item.retry_after_s < item.served_after_s for item in times) / len(times)
        too_late = sum(
            item.retry_after_s > item.served_after_s + TOO_LATE_S for item in times
        ) / len(times)
        never_served = sum(math.isinf(item.served_after_s) for item in times) / len(times)
        cells = (
            str(len(times)),
            f"{median(item.retry_after_s for item in times):.2f}",
            f"{median(item.served_after_s for item in times):.2f}",
            *(f"{share:.3f}" for share in (too_early, too_late, never_served)),
        )
        lines.append(f"{cause:<56}{_row(cells)}")
    return "\n".join(lines)


def _row(cells: tuple[str, ...]) -> str:
    return "".join(f"{cell:>11}" for cell in cells)
