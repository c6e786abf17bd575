"""Liveness of replicas at one member, from heartbeats and from gateways that cannot reach them."""

from collections.abc import Callable

from crowsill.clock import monotonic_s
from crowsill.control.replica_reach import ReplicaReach
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.model.replica_reach import SuspectedReplica
from crowsill.transport.replica_messages import SeenInstances, SuspectInstances

# Heartbeat intervals for which a replica that gateways cannot reach may be silent before it counts
# as lost.
MAX_SUSPECT_SILENCE_HEARTBEATS = 1.25
SUSPICION_LIFETIME_S = 2.0
# Replicas that a log line names, of those that are newly suspected and those that no longer are.
MAX_LOGGED = 16


class ReplicaLiveness:
    """Times of the last heartbeat and of the last suspicion, by instance id.

    Attributes:
        reach: Replicas that gateways fail to reach or reached again.
    """

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
        self.reach = ReplicaReach()
        self._logged_ids: set[str] = set()

    def note_heartbeats(self, instance_ids: list[str]) -> None:
        """Record that replicas sent a heartbeat; a follower notifies the leader."""
        self._seen_at_s.update(dict.fromkeys(instance_ids, monotonic_s()))
        self._push_to_leader(SeenInstances(instance_ids))

    def note_suspects(self, notice: SuspectInstances) -> None:
        """Record which replicas a gateway cannot reach; a follower notifies the leader."""
        now_s = monotonic_s()
        self._suspected_at_s.update(dict.fromkeys(notice.instance_ids, now_s))
        if notice.gateway:
            self.reach.note_failed(notice.gateway, notice.instance_ids, now_s)
            reached = notice.reached_ids, notice.reached_ago_s
            self.reach.note_reached(notice.gateway, *reached, now_s)
        self._push_to_leader(notice)

    def suspected(self, now_s: float) -> list[SuspectedReplica]:
        """Return the replicas that several gateways fail to reach, and log changes."""
        suspected = self.reach.suspected(now_s)
        ids = {item.instance_id for item in suspected}
        if ids != self._logged_ids:
            log_event(
                Event.SUSPECTED_REPLICAS_CHANGED,
                suspected=",".join(sorted(ids - self._logged_ids)[:MAX_LOGGED]),
                ended=",".join(sorted(self._logged_ids - ids)[:MAX_LOGGED]),
                replicas=len(ids),
            )
            self._logged_ids = ids
        return suspected

    def forget(self, instance_id: str) -> None:
        """Forget a replica that is gone."""
        self._seen_at_s.pop(instance_id, None)
        self._suspected_at_s.pop(instance_id, None)
        self.reach.forget(instance_id)

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
