"""Parses what a replica reports about itself in a response head, whatever the status. Pure.

These are its load, a backoff (`Retry-After`, RFC 9110, section 10.2.3), the rate limit that it
enforces for all gateways together, that it crashes if it rejects too many requests, and that it
drains. A value that cannot be parsed has no effect
and is passed to the log.
"""

from dataclasses import dataclass

from crowsill.gateway.headers import HeaderNames, Headers, all_values, find_header, read_number
from crowsill.routing.advertised_limit import read_limit_per_s
from crowsill.routing.retry_after import REJECTION_STATUSES, parse_longest_delay_s

RETRY_AFTER = b"retry-after"
MAX_UNREADABLE_CHARS = 80
_DRAINING_VALUE = b"1"
# A pace beyond these bounds is not credible and counts as not reported.
MIN_PACE_PERCENT = 5.0
MAX_PACE_PERCENT = 10_000.0


@dataclass(frozen=True, slots=True)
class ReplicaLoad:
    """Load reported by a replica.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait there.
        pace_percent: Time that work takes there now, in percent of the usual time; None if not
            reported, or outside `MIN_PACE_PERCENT` to `MAX_PACE_PERCENT`.
    """

    running: float
    waiting: float
    pace_percent: float | None = None


@dataclass(frozen=True, slots=True)
class ReplicaSignals:
    """What one response head reports about its replica.

    Attributes:
        load: Its load; None if not reported.
        backoff_s: Time from now for which it accepts nothing from this process; 0 if not reported.
        is_draining: Whether it drains: this incarnation gets no new requests.
        limit_per_s: Advertised rate limit for all gateways, in requests a second; the lowest of
            several. None if no readable one is advertised.
        has_limit_header: Whether it advertises any rate limit, readable or not.
        rejections_per_s: Requests a second that it can reject without a crash; the lowest of
            several. None if it does not say so, or nothing readable.
        has_brittle_header: Whether it says so, readable or not.
        unreadable: Values that cannot be parsed, for the log; empty if there are none.
    """

    load: ReplicaLoad | None = None
    backoff_s: float = 0.0
    is_draining: bool = False
    limit_per_s: float | None = None
    has_limit_header: bool = False
    rejections_per_s: float | None = None
    has_brittle_header: bool = False
    unreadable: str = ""


def read_signals(
    status: int, headers: Headers, names: HeaderNames, wall_s: float
) -> ReplicaSignals:
    """Parse what a response head reports about its replica.

    Args:
        status: Status of the response.
        headers: Its headers.
        names: Header names.
        wall_s: Current Unix time, to resolve dates.

    >>> names = HeaderNames()
    >>> read_signals(503, [(b"Retry-After", b"2.5")], names, 0.0).backoff_s
    2.5
    >>> read_signals(200, [(b"Retry-After", b"2.5")], names, 0.0).backoff_s
    0.0
    >>> read_signals(200, [(b"Crowsill-Server-Leaving", b"1")], names, 0.0).is_draining
    True
    >>> read_signals(200, [(b"Crowsill-Server-Limit", b"1.5")], names, 0.0).limit_per_s
    1.5
    >>> read_signals(200, [(b"Crowsill-Server-Brittle", b"4")], names, 0.0).rejections_per_s
    4.0
    """
    unreadable: list[str] = []
    backoff_s = 0.0
    if status in REJECTION_STATUSES:
        values = [value.decode("latin-1") for value in all_values(headers, RETRY_AFTER)]
        backoff_s, wrong = parse_longest_delay_s(values, wall_s)
        unreadable.extend(f"Retry-After: {value}" for value in wrong)
    drain_values = [value.strip() for name in names.leaving for value in all_values(headers, name)]
    unreadable.extend(
        f"leaving: {value.decode('latin-1')}" for value in drain_values if value != _DRAINING_VALUE
    )
    limit_per_s, has_limit_header = _read_lowest(headers, names.limit, "limit", unreadable)
    rejections_per_s, is_brittle = _read_lowest(headers, names.brittle, "brittle", unreadable)
    return ReplicaSignals(
        load=read_load(find_header(headers, names.load)),
        backoff_s=backoff_s,
        is_draining=_DRAINING_VALUE in drain_values,
        limit_per_s=limit_per_s,
        has_limit_header=has_limit_header,
        rejections_per_s=rejections_per_s,
        has_brittle_header=is_brittle,
        unreadable=", ".join(unreadable)[:MAX_UNREADABLE_CHARS],
    )


def _read_lowest(
    headers: Headers, names: tuple[bytes, ...], signal: str, unreadable: list[str]
) -> tuple[float | None, bool]:
    """Return the lowest readable number a second of some headers, and whether there are any.

    Args:
        headers: Headers of a response.
        names: Names of these headers.
        signal: What they mean, for the log.
        unreadable: Receives the values that cannot be parsed.
    """
    values = [value for name in names for value in all_values(headers, name)]
    numbers = {value: read_limit_per_s(value) for value in values}
    unreadable.extend(
        f"{signal}: {value.decode('latin-1')}" for value in values if numbers[value] is None
    )
    readable = [number for number in numbers.values() if number is not None]
    return min(readable, default=None), bool(values)


def read_load(header: bytes | None) -> ReplicaLoad | None:
    """Parse a load of the form `running,waiting,slots`, with or without `,pace`.

    Returns None if it is absent or invalid.

    >>> read_load(b"3,1,8"), read_load(b"3"), read_load(None)
    (ReplicaLoad(running=3.0, waiting=1.0, pace_percent=None), None, None)
    >>> [read_load(b"3,1,8," + pace).pace_percent for pace in (b"250", b"0", b"-1", b"soon")]
    [250.0, None, None, None]
    """
    fields = [] if header is None else header.split(b",")
    if len(fields) < 2:
        return None
    running, waiting = read_number(fields[0]), read_number(fields[1])
    if running is None or waiting is None:
        return None
    pace = read_number(fields[3]) if len(fields) > 3 else None
    if pace is not None and not MIN_PACE_PERCENT <= pace <= MAX_PACE_PERCENT:
        pace = None
    return ReplicaLoad(running, waiting, pace)
