"""What a replica says of itself in the head of an answer, whatever it answers. Pure.

Its load, that it wants nothing more for a while (`Retry-After`, RFC 9110, section 10.2.3), the rate
that it takes from all gateways together, and that it leaves. What cannot be read says nothing, and
is named for the log.
"""

from dataclasses import dataclass

from crowsill.gateway.headers import HeaderNames, Headers, all_values, find_header, read_number
from crowsill.routing.advertised_limit import read_limit_per_s
from crowsill.routing.retry_after import REJECTION_STATUSES, parse_longest_delay_s

RETRY_AFTER = b"retry-after"
MAX_UNREADABLE_CHARS = 80
_DRAINING_VALUE = b"1"


@dataclass(frozen=True, slots=True)
class ReplicaLoad:
    """Load that a replica told.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait there.
    """

    running: float
    waiting: float


@dataclass(frozen=True, slots=True)
class ReplicaSignals:
    """What one answer says of its replica.

    Attributes:
        load: Its load, if it told any.
        backoff_s: How long from now it wants nothing from this process; 0 if it does not say.
        is_draining: Whether it leaves: it is to get nothing new in this life.
        limit_per_s: Requests a second that it takes from all gateways; None if it names none that
            can be read. Of several, the least.
        has_limit_header: Whether it names any, one that cannot be read included.
        unreadable: What it said that cannot be read, for the log; empty without.
    """

    load: ReplicaLoad | None = None
    backoff_s: float = 0.0
    is_draining: bool = False
    limit_per_s: float | None = None
    has_limit_header: bool = False
    unreadable: str = ""


def read_signals(
    status: int, headers: Headers, names: HeaderNames, wall_s: float
) -> ReplicaSignals:
    """Read what an answer says of its replica.

    Args:
        status: Status of the answer.
        headers: Its headers.
        names: Header names.
        wall_s: Unix time, for dates.

    >>> names = HeaderNames()
    >>> read_signals(503, [(b"Retry-After", b"2.5")], names, 0.0).backoff_s
    2.5
    >>> read_signals(200, [(b"Retry-After", b"2.5")], names, 0.0).backoff_s
    0.0
    >>> read_signals(200, [(b"Crowsill-Server-Leaving", b"1")], names, 0.0).is_draining
    True
    >>> read_signals(200, [(b"Crowsill-Server-Limit", b"1.5")], names, 0.0).limit_per_s
    1.5
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
    named = [value for name in names.limit for value in all_values(headers, name)]
    limits = {value: read_limit_per_s(value) for value in named}
    unreadable.extend(
        f"limit: {value.decode('latin-1')}" for value in named if limits[value] is None
    )
    return ReplicaSignals(
        load=read_load(find_header(headers, names.load)),
        backoff_s=backoff_s,
        is_draining=_DRAINING_VALUE in drain_values,
        limit_per_s=min((per_s for per_s in limits.values() if per_s is not None), default=None),
        has_limit_header=bool(named),
        unreadable=", ".join(unreadable)[:MAX_UNREADABLE_CHARS],
    )


def read_load(header: bytes | None) -> ReplicaLoad | None:
    """Read a load of the form `running,waiting,slots`; None when there is none.

    >>> read_load(b"3,1,8"), read_load(b"3"), read_load(None)
    (ReplicaLoad(running=3.0, waiting=1.0), None, None)
    """
    words = [] if header is None else header.split(b",")
    if len(words) < 2:
        return None
    running, waiting = read_number(words[0]), read_number(words[1])
    if running is None or waiting is None:
        return None
    return ReplicaLoad(running, waiting)
