"""Rate limits and concurrency limits."""

import math


class TokenBucket:
    """A token bucket: a rate limit that allows bursts.

    >>> bucket = TokenBucket(rate_per_s=1.0, burst=2, now_s=0.0)
    >>> [bucket.take(0.0), bucket.take(0.0), bucket.take(0.0), bucket.take(1.0)]
    [True, True, False, True]
    """

    def __init__(self, rate_per_s: float, burst: int, now_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_at_s = now_s

    def take(self, now_s: float) -> bool:
        """Take one token; return False if there is none."""
        gained = (now_s - self._refilled_at_s) * self._rate_per_s
        self._tokens = min(float(self._burst), self._tokens + gained)
        self._refilled_at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def entry_slots(
    *,
    max_concurrency: int,
    entries: int,
    own_in_flight: int,
    others_in_flight: int,
    headroom: float,
    urgent: bool,
) -> int:
    """Return how many requests this entry may have in flight at one replica.

    Entries share the slots of a replica without coordination: each may always use its equal share,
    and beyond it an equal share of the slots that the last report showed as free. Patient requests
    leave `headroom` of the slots to urgent ones.

    Args:
        max_concurrency: Number of requests that the replica runs at once.
        entries: Number of live entries, at least 1.
        own_in_flight: Requests of this entry at the replica.
        others_in_flight: Requests of other entries at the replica, by the last report.
        headroom: Share of the slots that patient requests leave free.
        urgent: Whether the request is urgent.

    >>> entry_slots(max_concurrency=8, entries=4, own_in_flight=0, others_in_flight=8,
    ...             headroom=0.25, urgent=True)
    2
    >>> entry_slots(max_concurrency=8, entries=4, own_in_flight=0, others_in_flight=0,
    ...             headroom=0.25, urgent=False)
    2
    """
    usable = max_concurrency if urgent else math.floor(max_concurrency * (1.0 - headroom))
    usable = max(1, usable)
    share = max(1, usable // entries)
    free = max(0, usable - others_in_flight - own_in_flight)
    beyond = own_in_flight + math.ceil(free / entries) if free > 0 else 0
    return max(share, min(usable, beyond))
