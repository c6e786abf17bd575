"""Which replicas several gateways fail to reach, as one control member knows it. Pure.

A gateway that fails to reach a replica may have lost its own links. So a replica is suspected only
if several gateways fail, and no longer once any of them has reached it.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from crowsill.model.replica_reach import (
    MAX_REPORTED_REPLICAS,
    ReachedReplica,
    SuspectedReplica,
)

MIN_GATEWAYS = 2
# A suspicion rests on failures of `MIN_GATEWAYS` gateways within this time.
SUSPICION_LIFETIME_S = 3.0
# For this time after a replica was reached, failures that began before show only lost links.
REACHED_LIFETIME_S = 3.0
# While gateways share the checks of a replica, each of them reports only now and then.
GATEWAY_LIFETIME_S = 10.0
MAX_REPLICAS = 512
MAX_GATEWAYS_PER_REPLICA = 128


@dataclass(slots=True)
class _Failures:
    """Failures of one gateway to reach a replica, since it last did."""

    first_at_s: float
    last_at_s: float


@dataclass(slots=True)
class _Replica:
    failures: OrderedDict[str, _Failures] = field(default_factory=OrderedDict)
    reached_at_s: float = float("-inf")


class ReplicaReach:
    """Reports of gateways about the replicas that they failed to reach or reached again.

    All times are on the caller's monotonic clock, in seconds.

    >>> reach = ReplicaReach()
    >>> reach.note_failed("g1", ["a"], 1.0), reach.note_failed("g1", ["a"], 1.5)
    (None, None)
    >>> reach.suspected(2.0)
    []
    >>> reach.note_failed("g2", ["a"], 2.0), reach.suspected(2.5)
    (None, [SuspectedReplica(instance_id='a', gateways=2, since_ago_s=0.5, remaining_s=2.0)])
    >>> reach.note_reached("g3", ["a"], [0.25], 3.0), reach.suspected(3.0), reach.reached(3.0)
    (None, [], [ReachedReplica(instance_id='a', ago_s=0.25)])
    """

    def __init__(self) -> None:
        # In the order of the last report.
        self._replicas: OrderedDict[str, _Replica] = OrderedDict()

    def note_failed(self, gateway: str, instance_ids: list[str], now_s: float) -> None:
        """Record that a gateway has just failed to reach replicas."""
        for instance_id in instance_ids:
            failures = self._replica(instance_id).failures
            known = failures.pop(gateway, None)
            first_at_s = now_s
            if known is not None and now_s - known.last_at_s < GATEWAY_LIFETIME_S:
                first_at_s = known.first_at_s
            failures[gateway] = _Failures(first_at_s, now_s)
            if len(failures) > MAX_GATEWAYS_PER_REPLICA:
                failures.popitem(last=False)

    def note_reached(
        self, gateway: str, instance_ids: list[str], ago_s: list[float], now_s: float
    ) -> None:
        """Record that a gateway has reached replicas.

        Args:
            gateway: The gateway.
            instance_ids: The replicas; those that no gateway failed to reach are ignored.
            ago_s: Time since each of them was reached, in the same order.
            now_s: Current monotonic time.
        """
        for instance_id, reached_ago_s in zip(instance_ids, ago_s, strict=False):
            if instance_id not in self._replicas:
                continue
            replica = self._replica(instance_id)
            at_s = now_s - min(REACHED_LIFETIME_S, max(0.0, reached_ago_s))
            replica.reached_at_s = max(replica.reached_at_s, at_s)
            known = replica.failures.get(gateway)
            if known is not None and known.last_at_s <= at_s:
                del replica.failures[gateway]

    def _replica(self, instance_id: str) -> _Replica:
        """Return the record of a replica, as the one that was reported last."""
        replica = self._replicas.setdefault(instance_id, _Replica())
        self._replicas.move_to_end(instance_id)
        if len(self._replicas) > MAX_REPLICAS:
            self._replicas.popitem(last=False)
        return replica

    def forget(self, instance_id: str) -> None:
        """Forget a replica that is gone."""
        self._replicas.pop(instance_id, None)

    def suspected(self, now_s: float) -> list[SuspectedReplica]:
        """Return the suspected replicas, last reported first; at most `MAX_REPORTED_REPLICAS`."""
        self._forget_old(now_s)
        found = []
        for instance_id, replica in reversed(self._replicas.items()):
            suspicion = _suspicion(instance_id, replica, now_s)
            if suspicion is not None:
                found.append(suspicion)
        return found[:MAX_REPORTED_REPLICAS]

    def reached(self, now_s: float) -> list[ReachedReplica]:
        """Return the replicas reached lately that are not suspected; limited like the others."""
        found = [
            ReachedReplica(instance_id, round(now_s - replica.reached_at_s, 3))
            for instance_id, replica in reversed(self._replicas.items())
            if now_s - replica.reached_at_s < REACHED_LIFETIME_S
            and _suspicion(instance_id, replica, now_s) is None
        ]
        return found[:MAX_REPORTED_REPLICAS]

    def _forget_old(self, now_s: float) -> None:
        for instance_id, replica in list(self._replicas.items()):
            for gateway, failures in list(replica.failures.items()):
                if now_s - failures.last_at_s >= GATEWAY_LIFETIME_S:
                    del replica.failures[gateway]
            if not replica.failures and now_s - replica.reached_at_s >= REACHED_LIFETIME_S:
                del self._replicas[instance_id]


def _suspicion(instance_id: str, replica: _Replica, now_s: float) -> SuspectedReplica | None:
    """Return the suspicion of a replica, or None if too few gateways fail to reach it."""
    counted = list(replica.failures.values())
    if now_s - replica.reached_at_s < REACHED_LIFETIME_S:
        counted = [item for item in counted if item.first_at_s > replica.reached_at_s]
    if len(counted) < MIN_GATEWAYS:
        return None
    last_at_s = sorted((item.last_at_s for item in counted), reverse=True)[MIN_GATEWAYS - 1]
    remaining_s = SUSPICION_LIFETIME_S - (now_s - last_at_s)
    if remaining_s <= 0.0:
        return None
    since_s = sorted(item.first_at_s for item in counted)[MIN_GATEWAYS - 1]
    return SuspectedReplica(
        instance_id, len(counted), round(now_s - since_s, 3), round(remaining_s, 3)
    )
