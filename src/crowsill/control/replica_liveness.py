"""Liveness of replicas at one member, from heartbeats and from gateways that cannot reach them."""

from collections.abc import Callable

from crowsill.clock import monotonic_s
from crowsill.transport.replica_messages import SeenInstances, SuspectInstances

# Heartbeat intervals for which a replica that gateways cannot reach may be silent before it counts
# as lost.
MAX_SUSPECT_SILENCE_HEARTBEATS = 1.25
SUSPICION_LIFETIME_S = 2.0


class ReplicaLiveness:
    """Times of the last heartbeat and of the last suspicion, by instance id."""

    def __init__(
        self, heartbeat_s: float, push_to_leader: Callable[[SeenInstances | SuspectInstances], None]
    ) -> None:
        """Make the record of replicas.

        Args:
            heartbeat_s: Time between two heartbeats of a replica.
            push_to_leader: Sends a notice to the leader if this member follows.
        """
        self._heartbeat_s = heartbeat_s
        self._push_to_leader = push_to_leader
        self._seen_at_s: dict[str, float] = {}
        self._suspected_at_s: dict[str, float] = {}

    def note_heartbeats(self, instance_ids: list[str]) -> None:
        """Record that replicas sent a heartbeat; a follower notifies the leader."""
        self._seen_at_s.update(dict.fromkeys(instance_ids, monotonic_s()))
        self._push_to_leader(SeenInstances(instance_ids))

    def note_suspects(self, instance_ids: list[str]) -> None:
        """Record that gateways cannot reach replicas; a follower notifies the leader."""
        self._suspected_at_s.update(dict.fromkeys(instance_ids, monotonic_s()))
        self._push_to_leader(SuspectInstances(instance_ids))

    def forget(self, instance_id: str) -> None:
        """Forget a replica that is gone."""
        self._seen_at_s.pop(instance_id, None)
        self._suspected_at_s.pop(instance_id, None)

    def is_lost(self, instance_id: str, since_at_s: float) -> bool:
        """Whether a replica counts as lost: silent here, and unreachable for gateways.

        Silence alone proves nothing: the heartbeats may reach a member that is cut off.
        """
        suspected_ago_s = monotonic_s() - self._suspected_at_s.get(instance_id, float("-inf"))
        missed_heartbeats = self.silence_s(instance_id, since_at_s) / self._heartbeat_s
        return (
            suspected_ago_s < SUSPICION_LIFETIME_S
            and missed_heartbeats > MAX_SUSPECT_SILENCE_HEARTBEATS
        )

    def silence_s(self, instance_id: str, since_at_s: float) -> float:
        """Return the time since a replica's last heartbeat, at most the time since `since_at_s`."""
        return monotonic_s() - max(since_at_s, self._seen_at_s.get(instance_id, since_at_s))
