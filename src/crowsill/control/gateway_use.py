"""What all gateways have at replicas, as a control member knows it. Pure.

Each gateway tells its member what it has, a member that follows tells the leader the sum of its
gateways, and the leader answers with the sum of all.
"""

from dataclasses import dataclass, field

from crowsill.model.replica_use import UseByReplica, add_uses

# A gateway tells every 0.5 s: what is older than this has missed several times.
TELLING_LIFETIME_S = 2.0
# A member that follows tells the leader so often.
TELL_LEADER_S = 0.25
# What the leader told is passed on for so long.
TOTAL_LIFETIME_S = 1.0


@dataclass(slots=True)
class _Telling:
    use: UseByReplica
    told_s: float


@dataclass(slots=True)
class GatewayUse:
    """Sums what gateways have at replicas."""

    _tellings: dict[str, _Telling] = field(default_factory=dict)
    _total: _Telling | None = None
    _leader: object = None
    _told_leader_s: float = float("-inf")

    def note(self, source: str, use: UseByReplica, now_s: float) -> None:
        """Take in what a gateway, or a member for its gateways, has now; it replaces the last."""
        self._tellings[source] = _Telling(use, now_s)

    def sum(self, now_s: float) -> UseByReplica:
        """Return what all have that told this member lately, and forget the others."""
        horizon_s = now_s - TELLING_LIFETIME_S
        self._tellings = {
            source: telling
            for source, telling in self._tellings.items()
            if telling.told_s >= horizon_s
        }
        return add_uses([telling.use for telling in self._tellings.values()])

    def is_due(self, leader: object, now_s: float) -> bool:
        """Whether this member, which follows, should tell the leader what its gateways have.

        Args:
            leader: The stream to the leader; one that is new has been told nothing.
            now_s: Clock.
        """
        if leader is self._leader and now_s - self._told_leader_s < TELL_LEADER_S:
            return False
        self._leader, self._told_leader_s = leader, now_s
        return True

    def note_total(self, total: UseByReplica, now_s: float) -> None:
        """Take in what all gateways have, as the leader told it."""
        self._total = _Telling(total, now_s)

    def total(self, now_s: float) -> UseByReplica | None:
        """Return what all gateways have by the leader's last word; None where that is old."""
        total = self._total
        if total is None or now_s - total.told_s > TOTAL_LIFETIME_S:
            return None
        return total.use
