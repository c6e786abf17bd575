"""Replicas that failed lately, as one gateway saw it. Pure."""

import math
from collections import OrderedDict

# Failures within this time are related: this gateway may have lost its own links.
RELATED_FAILURES_S = 2.0
# A replica that sent anything within this time needs no check.
RECENT_S = 0.5
# While replicas of a service fail, all others are checked at most so often.
MIN_CHECK_INTERVAL_S = 1.0


class RecentFailures:
    """The last failure of each replica, and the last check of each whole service.

    >>> failures = RecentFailures()
    >>> failures.is_second("a", "s", 1.0), failures.is_second("a", "s", 1.5)
    (False, False)
    >>> failures.is_second("b", "s", 2.0), failures.is_second("c", "t", 2.0)
    (True, False)
    >>> failures.begin_check_of("s", 2.0), failures.begin_check_of("s", 2.9)
    (True, False)
    """

    def __init__(self) -> None:
        # By service: the time of each replica's last failure, in the order of these times.
        self._failed_at_s: dict[str, OrderedDict[str, float]] = {}
        self._checked_at_s: dict[str, float] = {}

    def is_second(self, instance_id: str, service: str, now_s: float) -> bool:
        """Record a failure; return whether another replica of the service has failed lately."""
        failed = self._failed_at_s.setdefault(service, OrderedDict())
        failed.pop(instance_id, None)
        while failed and now_s - next(iter(failed.values())) >= RELATED_FAILURES_S:
            failed.popitem(last=False)
        is_second = bool(failed)
        failed[instance_id] = now_s
        return is_second

    def first_failed_at_s(self, service: str) -> float:
        """Return the monotonic time of the first of the related failures of a service.

        Minus infinity without any.
        """
        failed = self._failed_at_s.get(service)
        return next(iter(failed.values())) if failed else -math.inf

    def failed_at_s(self, instance_id: str) -> float:
        """Return the monotonic time of a replica's last failure; minus infinity if long ago."""
        return max(
            (failed.get(instance_id, -math.inf) for failed in self._failed_at_s.values()),
            default=-math.inf,
        )

    def begin_check_of(self, service: str, now_s: float) -> bool:
        """Whether all replicas of a service may be checked again now; if so, count it as begun."""
        if now_s - self._checked_at_s.get(service, -math.inf) < MIN_CHECK_INTERVAL_S:
            return False
        self._checked_at_s[service] = now_s
        return True
