"""What refused callers were told against when their like was served again, from saved logs.

A caller that comes back does so under a new id, so that nobody can tell which tries are one
caller's. What can be told: when the next request for the same route and model was sent to a replica
that answered it, at any gateway. Told less than that, a caller is refused again or waits; told far
more, it stays away while it could be served.
"""

import math
from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass
from statistics import median

from crowsill.events import Event
from crowsill_lab.explain_day import FAILED_STATUS, Cause, Try

# A caller that is told so much more than it took is counted as kept away.
KEPT_AWAY_S = 1.0


@dataclass(frozen=True, slots=True)
class ToldTime:
    """One refusal that named a time.

    Attributes:
        cause: Why it was refused.
        told_s: Time after which the caller was to come back.
        served_s: Time after which its like was served; infinite if it never was.
    """

    cause: Cause
    told_s: float
    served_s: float


def return_times(tries: list[Try]) -> list[ToldTime]:
    """Return the refusals that named a time, with when their like was served."""
    served_at: dict[tuple[str, str], list[float]] = defaultdict(list)
    for one in tries:
        sent_s = _sent_s(one)
        if sent_s is not None:
            served_at[one.route, one.resource].append(sent_s)
    for moments in served_at.values():
        moments.sort()
    found = []
    for one in tries:
        cause, told = one.cause(), _told_s(one)
        if cause is not None and told is not None and one.end is not None:
            refused_s = one.end.at.timestamp()
            moments = served_at[one.route, one.resource]
            found.append(ToldTime(cause, told, _next_after(moments, refused_s) - refused_s))
    return found


def _sent_s(one: Try) -> float | None:
    """When a try was sent to the replica that answered it, or None."""
    if one.end is None or one.end.number != Event.REQUEST_FINISHED.value.number:
        return None
    if int(one.end.fields.get("status", "0")) >= FAILED_STATUS:
        return None
    replica_ms = float(one.end.fields.get("ms", "0")) - one.sent_ms
    return one.end.at.timestamp() - max(0.0, replica_ms) / 1000.0


def _told_s(one: Try) -> float | None:
    if one.end is None or one.end.number != Event.REQUEST_REFUSED.value.number:
        return None
    told = one.end.fields.get("retry_after_s", "")
    return float(told) if told else None


def _next_after(moments: list[float], moment_s: float) -> float:
    """Return the first of sorted moments that is later, or infinity.

    >>> _next_after([1.0, 3.0], 1.0), _next_after([1.0], 2.0)
    (3.0, inf)
    """
    index = bisect_right(moments, moment_s)
    return moments[index] if index < len(moments) else math.inf


def told_table(told: list[ToldTime]) -> str:
    """Return a line for each cause: told and served times, and how often they disagree."""
    heads = ("refusals", "told s", "served s", "too early", "kept away", "never")
    lines = [f"{'what refused callers were told (medians)':<56}{_row(heads)}"]
    for cause in Cause:
        times = [item for item in told if item.cause is cause]
        if not times:
            continue
        early = sum(item.told_s < item.served_s for item in times) / len(times)
        away = sum(item.told_s > item.served_s + KEPT_AWAY_S for item in times) / len(times)
        never = sum(math.isinf(item.served_s) for item in times) / len(times)
        cells = (
            str(len(times)),
            f"{median(item.told_s for item in times):.2f}",
            f"{median(item.served_s for item in times):.2f}",
            *(f"{share:.3f}" for share in (early, away, never)),
        )
        lines.append(f"{cause:<56}{_row(cells)}")
    return "\n".join(lines)


def _row(cells: tuple[str, ...]) -> str:
    return "".join(f"{cell:>11}" for cell in cells)
