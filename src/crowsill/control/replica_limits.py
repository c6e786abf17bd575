"""Grants requests at replicas that advertise a rate limit, to all gateways together. Pure.

The leader keeps one token bucket for each replica, filled at the advertised rate and empty at the
start of a leadership term:

    granted in any window W  <=  rate x W + capacity of the bucket

This also holds across a change of leader: two leaders never grant at the same time, and the second
bucket holds only what was filled since. So no grant needs to be recorded. A grant is valid for a
short time, by which the window in which requests arrive is longer than the window of their grants.
"""

from dataclasses import dataclass, field

from crowsill.model.replica_limits import MAX_REPORTED_LIMITS, LimitReport
from crowsill.routing.advertised_limit import AdvertisedLimit
from crowsill.tenancy.grant_ledger import MAX_GRANT_DELAY_S, GrantDecision

# A bucket holds at most the requests allowed in this time, so that a replica under load doesn't
# receive the requests of several seconds at once. It holds at least three: the reserve for urgent
# requests, and two others. With one other, every moment without a request would lose capacity.
BUCKET_PERIOD_S = 0.5
MIN_BUCKET_REQUESTS = 3.0
# Requests reserved for urgent requests while other requests compete.
URGENT_RESERVE_REQUESTS = 1.0
# Upper bound of the retry delay after a rejection, since earlier callers may not return.
MAX_RETRY_DELAY_S = 2.0


@dataclass(slots=True)
class _Bucket:
    """The token bucket of one replica.

    Attributes:
        level: Available requests; negative if granted requests take effect later.
        filled_at_s: Monotonic time in seconds of the last fill.
        next_retry_at_s: Monotonic time in seconds before which all retry times are assigned to
            rejected requests, by whether the request is urgent.
        granted: Number of granted requests.
    """

    level: float
    filled_at_s: float
    next_retry_at_s: dict[bool, float] = field(default_factory=dict)
    granted: int = 0

    def fill(self, rate_per_s: float, now_s: float) -> None:
        """Add the requests allowed since the last fill."""
        capacity = max(MIN_BUCKET_REQUESTS, rate_per_s * BUCKET_PERIOD_S)
        self.level = min(capacity, self.level + max(0.0, now_s - self.filled_at_s) * rate_per_s)
        self.filled_at_s = max(self.filled_at_s, now_s)


class ReplicaLimits:
    """The rate limits that one member knows, and the buckets of its term if it leads.

    >>> limits = ReplicaLimits()
    >>> limits.grant("i-1", 9.0)
    GrantDecision(is_granted=True, wait_s=0.0)
    >>> limits.note([LimitReport("i-1", 2.0, advertised_ago_s=0.0)], now_s=10.0)
    ['i-1']
    >>> limits.grant("i-1", 10.25), limits.grant("i-1", 10.25).is_granted
    (GrantDecision(is_granted=True, wait_s=0.25), False)
    """

    def __init__(self) -> None:
        self._limits: dict[str, AdvertisedLimit] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._term_began_at_s = float("-inf")

    def begin_term(self, now_s: float) -> None:
        """Start with empty buckets, since another leader may have granted requests until now."""
        self._buckets.clear()
        self._term_began_at_s = now_s

    def note(self, reports: list[LimitReport], now_s: float) -> list[str]:
        """Merge another process's reports; return the replicas whose limit changed."""
        changed: list[str] = []
        for report in reports:
            limit = self._limits.setdefault(report.instance_id, AdvertisedLimit())
            before = limit.per_s if limit.is_advertised else None
            limit.merge(report, now_s)
            if before != (limit.per_s if limit.is_advertised else None):
                changed.append(report.instance_id)
        return changed

    def find(self, instance_id: str) -> AdvertisedLimit | None:
        """Return a replica's known limit, or None."""
        return self._limits.get(instance_id)

    def advertised_per_s(self, instance_id: str) -> float | None:
        """Return the rate limit in requests per second that a replica advertises, or None."""
        limit = self._limits.get(instance_id)
        return limit.per_s if limit is not None and limit.is_advertised else None

    def granted(self, instance_id: str) -> int:
        """Return the number of requests granted in this term."""
        bucket = self._buckets.get(instance_id)
        return 0 if bucket is None else bucket.granted

    def to_reports(self, now_s: float) -> list[LimitReport]:
        """Return all limits in effect as reports to other processes, and forget the others."""
        self._limits = {
            key: limit for key, limit in self._limits.items() if limit.is_in_effect(now_s)
        }
        self._buckets = {key: item for key, item in self._buckets.items() if key in self._limits}
        reports = [
            limit.to_report(instance_id, now_s) for instance_id, limit in self._limits.items()
        ]
        return sorted(reports, key=lambda report: report.advertised_ago_s)[:MAX_REPORTED_LIMITS]

    def grant(self, instance_id: str, now_s: float, is_urgent: bool = True) -> GrantDecision:
        """Grant or reject one request at a replica.

        Args:
            instance_id: The replica.
            now_s: Monotonic time in seconds.
            is_urgent: Whether the request cannot wait; other requests leave a reserve for urgent
                ones.
        """
        limit = self._limits.get(instance_id)
        if limit is None or not limit.is_in_effect(now_s):
            return GrantDecision(True, 0.0)
        rate_per_s = limit.rate_per_s(now_s)
        bucket = self._buckets.get(instance_id)
        if bucket is None:
            bucket = _Bucket(0.0, max(limit.advertised_at_s, self._term_began_at_s))
            self._buckets[instance_id] = bucket
        bucket.fill(rate_per_s, now_s)
        needed = 1.0 if is_urgent else 1.0 + URGENT_RESERVE_REQUESTS
        wait_s = max(0.0, (needed - bucket.level) / rate_per_s)
        # Requests that can wait take no future capacity: that would be the reserve.
        if wait_s <= (MAX_GRANT_DELAY_S if is_urgent else 0.0):
            bucket.level -= 1.0
            bucket.granted += 1
            return GrantDecision(True, wait_s)
        # With a common retry time, all rejected callers would return at once and be rejected again.
        next_retry_at_s = bucket.next_retry_at_s.get(is_urgent, now_s)
        retry_at_s = min(max(now_s + wait_s, next_retry_at_s), now_s + MAX_RETRY_DELAY_S)
        bucket.next_retry_at_s[is_urgent] = retry_at_s + 1.0 / rate_per_s
        return GrantDecision(False, retry_at_s - now_s)
