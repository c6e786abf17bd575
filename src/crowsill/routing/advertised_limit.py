"""The rate limit that a replica advertises in its responses, for all gateways together. Pure.

Responses of one replica reach many gateways in any order. Each process keeps the time when the
limit was last advertised and the time when it was lifted. Reports from other processes are merged
by these times, so that the order in which they arrive does not matter, and a process that has just
started gets the limit from any other one. Only a response without a limit, to a request that was
sent after the limit was last advertised, lifts the limit.
"""

import re
from dataclasses import dataclass

from crowsill.model.replica_limits import LimitReport

# After a limit is lifted, the permitted rate doubles with each step, so that waiting callers don't
# all send at once.
RAMP_STEP_S = 1.0
RAMP_STEPS = 4
# Lower bound of the rate from which the ramp starts.
MIN_RAMP_RATE_PER_S = 1.0
# A replica that advertises a limit of 0 still receives one request in ten seconds: without any
# response no gateway could detect that the limit was lifted.
PROBE_RATE_PER_S = 0.1
# A limit expires when it was not advertised for this time and for this number of its intervals.
LIMIT_LIFETIME_S = 60.0
LIMIT_LIFETIME_INTERVALS = 3.0
_DECIMAL = re.compile(rb"\d{1,12}(\.\d{1,12})?")


def read_limit_per_s(value: bytes) -> float | None:
    """Parse a header value, a decimal number of requests per second; None if it is not a number.

    >>> read_limit_per_s(b" 2.5 "), read_limit_per_s(b"0"), read_limit_per_s(b"-1")
    (2.5, 0.0, None)
    """
    value = value.strip()
    return float(value) if _DECIMAL.fullmatch(value) else None


@dataclass(slots=True)
class AdvertisedLimit:
    """The rate limit of one incarnation of a replica, as this process knows it.

    The caller passes the times; all are from its monotonic clock.

    Attributes:
        per_s: Requests per second from all gateways together; None before any limit was advertised.
        advertised_at_s: Time when it was last advertised.
        lifted_at_s: Time when a request after that was sent whose response had no limit: the first
            one of each process, the last one of all processes; None while the limit is advertised.

    >>> limit = AdvertisedLimit()
    >>> limit.note_advertised(2.0, now_s=5.0), limit.note_advertised(2.0, now_s=6.0)
    (True, False)
    >>> limit.note_advertised(1.0, now_s=7.0)
    True
    >>> limit.note_not_advertised(sent_at_s=6.5), limit.note_not_advertised(sent_at_s=7.5)
    (False, True)
    >>> limit.is_in_effect(7.0), limit.rate_per_s(8.0), limit.rate_per_s(9.0)
    (True, 2.0, 4.0)
    >>> limit.is_in_effect(12.0)
    False
    """

    per_s: float | None = None
    advertised_at_s: float = float("-inf")
    lifted_at_s: float | None = None

    @property
    def is_advertised(self) -> bool:
        """Whether the replica advertises a limit, by the latest response that counts."""
        return self.per_s is not None and self.lifted_at_s is None

    def note_advertised(self, per_s: float, now_s: float) -> bool:
        """Record a limit from a response; return whether it is new or its rate changed."""
        is_new = not self.is_advertised or per_s != self.per_s
        self.per_s, self.advertised_at_s, self.lifted_at_s = per_s, now_s, None
        return is_new

    def note_not_advertised(self, sent_at_s: float) -> bool:
        """Record a response without a limit; return whether it lifts the limit.

        Args:
            sent_at_s: Time when its request was sent. A response to a request that was sent before
                the limit was last advertised does not lift it.
        """
        if not self.is_advertised or sent_at_s <= self.advertised_at_s:
            return False
        self.lifted_at_s = sent_at_s
        return True

    def is_in_effect(self, now_s: float) -> bool:
        """Whether requests need a grant: while the limit is advertised and during the ramp."""
        if self.per_s is None:
            return False
        if self.lifted_at_s is not None:
            return now_s < self.lifted_at_s + RAMP_STEPS * RAMP_STEP_S
        return now_s < self.advertised_at_s + max(
            LIMIT_LIFETIME_S, LIMIT_LIFETIME_INTERVALS / self._base_per_s
        )

    def rate_per_s(self, now_s: float) -> float:
        """Return the requests per second that all gateways together may send to the replica."""
        if self.lifted_at_s is None:
            return self._base_per_s
        steps = 1 + max(0, int((now_s - self.lifted_at_s) / RAMP_STEP_S))
        return max(self._base_per_s, MIN_RAMP_RATE_PER_S) * 2.0 ** min(steps, RAMP_STEPS)

    @property
    def _base_per_s(self) -> float:
        return self.per_s or PROBE_RATE_PER_S

    def to_report(self, instance_id: str, now_s: float) -> LimitReport:
        """Return the report for other processes; a limit must have been advertised."""
        lifted_ago_s = None if self.lifted_at_s is None else now_s - self.lifted_at_s
        return LimitReport(
            instance_id, self.per_s or 0.0, now_s - self.advertised_at_s, lifted_ago_s
        )

    def merge(self, report: LimitReport, now_s: float) -> None:
        """Merge the report of another process.

        >>> limit = AdvertisedLimit(2.0, advertised_at_s=5.0)
        >>> limit.merge(LimitReport("i-1", 1.0, advertised_ago_s=1.0), now_s=7.0)
        >>> limit
        AdvertisedLimit(per_s=1.0, advertised_at_s=6.0, lifted_at_s=None)
        >>> limit.merge(LimitReport("i-1", 2.0, advertised_ago_s=9.0, lifted_ago_s=0.5), now_s=8.0)
        >>> limit
        AdvertisedLimit(per_s=1.0, advertised_at_s=6.0, lifted_at_s=7.5)
        """
        advertised_at_s = now_s - report.advertised_ago_s
        lifts_at_s = [
            self.lifted_at_s,
            None if report.lifted_ago_s is None else now_s - report.lifted_ago_s,
        ]
        if advertised_at_s > self.advertised_at_s:
            self.per_s, self.advertised_at_s = report.per_s, advertised_at_s
        later_lifts_at_s = [
            lifted_at_s
            for lifted_at_s in lifts_at_s
            if lifted_at_s is not None and lifted_at_s > self.advertised_at_s
        ]
        # The last one: an earlier one may be dropped by an advertisement that is merged later.
        self.lifted_at_s = max(later_lifts_at_s, default=None)
