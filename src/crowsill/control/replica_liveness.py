"""What a member has heard of replicas: their heartbeats, and that gateways cannot reach them."""

from collections.abc import Callable

from crowsill.clock import monotonic_s
from crowsill.transport.replica_messages import SeenInstances, SuspectInstances

# Heartbeats that a replica out of reach may miss before it counts as lost.
SUSPECT_BEATS = 1.25
SUSPICION_S = 2.0


class ReplicaLiveness:
    """Clocks of what was heard, by the id of a replica's life."""

    def __init__(
        self, heartbeat_s: float, tell_leader: Callable[[SeenInstances | SuspectInstances], None]
    ) -> None:
        """Make it.

        Args:
            heartbeat_s: Time between two heartbeats of a replica.
            tell_leader: Passes on what a follower hears.
        """
        self._heartbeat_s = heartbeat_s
        self._tell_leader = tell_leader
        self._seen_s: dict[str, float] = {}
        self._suspected_s: dict[str, float] = {}

    def note_heartbeats(self, instance_ids: list[str]) -> None:
        """Note that replicas sent a heartbeat; a follower tells the leader."""
        self._seen_s.update(dict.fromkeys(instance_ids, monotonic_s()))
        self._tell_leader(SeenInstances(instance_ids))

    def note_suspects(self, instance_ids: list[str]) -> None:
        """Note that gateways cannot reach replicas; a follower tells the leader."""
        self._suspected_s.update(dict.fromkeys(instance_ids, monotonic_s()))
        self._tell_leader(SuspectInstances(instance_ids))

    def forget(self, instance_id: str) -> None:
        """A replica is gone."""
        self._seen_s.pop(instance_id, None)
        self._suspected_s.pop(instance_id, None)

    def is_lost(self, instance_id: str, since_s: float) -> bool:
        """Whether a replica counts as lost: silent here, and out of reach for gateways.

        Silence alone proves nothing: its heartbeats may go to a member that is cut off.
        """
        suspected_s = monotonic_s() - self._suspected_s.get(instance_id, float("-inf"))
        beats = self.silent_s(instance_id, since_s) / self._heartbeat_s
        return suspected_s < SUSPICION_S and beats > SUSPECT_BEATS

    def silent_s(self, instance_id: str, since_s: float) -> float:
        """Return for how long, since a moment, a replica has sent no heartbeat."""
        return monotonic_s() - max(since_s, self._seen_s.get(instance_id, since_s))
