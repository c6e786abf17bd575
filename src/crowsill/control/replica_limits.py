"""How much replicas that name a limit get from all gateways together, granted by the leader. Pure.

One bucket a replica, filled at the rate that the replica names and empty as a leader's term begins:

    granted in any W  <=  rate x W + the most that a bucket holds

over a change of leader, too, since two leaders never grant at one time and the second bucket holds
only what has come in since. So nothing needs to be recorded. A grant is good for a short time, by
which the window in which requests arrive is longer than the one in which they were granted.
"""

from dataclasses import dataclass, field

from crowsill.model.replica_limits import MAX_REPORTED_LIMITS, LimitReport
from crowsill.routing.advertised_limit import AdvertisedLimit
from crowsill.tenancy.grant_ledger import MAX_GRANT_DELAY_S, GrantDecision

# A bucket holds what comes in within this time: a replica in need is not to get the requests of
# seconds at once. It holds three at least: what is kept for those that cannot wait, and two of
# others, since with one each moment without a request would be lost.
BUCKET_S = 0.5
LEAST_BUCKET = 3.0
# Requests that are kept for those that cannot wait, while others press.
URGENT_RESERVE = 1.0
# Nobody who is refused is told to come back later than this: those before may not come.
LONGEST_BACK_S = 2.0


@dataclass(slots=True)
class _Bucket:
    """What one replica may still get.

    Attributes:
        level: Requests; below 0 where some were granted that take effect later.
        at_s: Clock of that.
        promised_s: Clock until which room is promised to those who were refused, by whether they
            cannot wait.
        granted: Requests granted.
    """

    level: float
    at_s: float
    promised_s: dict[bool, float] = field(default_factory=dict)
    granted: int = 0

    def fill(self, rate_per_s: float, now_s: float) -> None:
        """Add what has come in."""
        most = max(LEAST_BUCKET, rate_per_s * BUCKET_S)
        self.level = min(most, self.level + max(0.0, now_s - self.at_s) * rate_per_s)
        self.at_s = max(self.at_s, now_s)


class ReplicaLimits:
    """The limits that one member knows, and the buckets of its term if it leads.

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
        self._term_s = float("-inf")

    def begin_term(self, now_s: float) -> None:
        """Begin with empty buckets, since another leader may have granted until now."""
        self._buckets.clear()
        self._term_s = now_s

    def note(self, words: list[LimitReport], now_s: float) -> list[str]:
        """Take in what another process knows; return the replicas whose limit is new or over."""
        changed: list[str] = []
        for word in words:
            limit = self._limits.setdefault(word.instance_id, AdvertisedLimit())
            before = limit.per_s if limit.is_advertised else None
            limit.merge(word, now_s)
            if before != (limit.per_s if limit.is_advertised else None):
                changed.append(word.instance_id)
        return changed

    def find(self, instance_id: str) -> AdvertisedLimit | None:
        """Return what is known of a replica's limit; None without any."""
        return self._limits.get(instance_id)

    def advertised_per_s(self, instance_id: str) -> float | None:
        """Return the requests a second that a replica takes by its own word; None without limit."""
        limit = self._limits.get(instance_id)
        return limit.per_s if limit is not None and limit.is_advertised else None

    def granted(self, instance_id: str) -> int:
        """Return the requests granted in this term."""
        bucket = self._buckets.get(instance_id)
        return 0 if bucket is None else bucket.granted

    def told(self, now_s: float) -> list[LimitReport]:
        """Return all that binds, for other processes, and forget the rest."""
        self._limits = {
            key: limit for key, limit in self._limits.items() if limit.is_in_effect(now_s)
        }
        self._buckets = {key: item for key, item in self._buckets.items() if key in self._limits}
        words = [limit.to_report(instance_id, now_s) for instance_id, limit in self._limits.items()]
        return sorted(words, key=lambda word: word.advertised_ago_s)[:MAX_REPORTED_LIMITS]

    def grant(self, instance_id: str, now_s: float, is_urgent: bool = True) -> GrantDecision:
        """Decide on one request at a replica.

        Args:
            instance_id: The replica.
            now_s: The clock.
            is_urgent: Whether the request cannot wait; one that can leaves some for those.
        """
        limit = self._limits.get(instance_id)
        if limit is None or not limit.is_in_effect(now_s):
            return GrantDecision(True, 0.0)
        rate_per_s = limit.rate_per_s(now_s)
        bucket = self._buckets.get(instance_id)
        if bucket is None:
            bucket = _Bucket(0.0, max(limit.advertised_at_s, self._term_s))
            self._buckets[instance_id] = bucket
        bucket.fill(rate_per_s, now_s)
        needed = 1.0 if is_urgent else 1.0 + URGENT_RESERVE
        wait_s = max(0.0, (needed - bucket.level) / rate_per_s)
        # What can wait takes nothing ahead: that would be the reserve.
        if wait_s <= (MAX_GRANT_DELAY_S if is_urgent else 0.0):
            bucket.level -= 1.0
            bucket.granted += 1
            return GrantDecision(True, wait_s)
        # Told the same time, all who were refused would come back at once, to be refused again.
        promised_s = bucket.promised_s.get(is_urgent, now_s)
        begins_s = min(max(now_s + wait_s, promised_s), now_s + LONGEST_BACK_S)
        bucket.promised_s[is_urgent] = begins_s + 1.0 / rate_per_s
        return GrantDecision(False, begins_s - now_s)
