"""Handles gateways' requests for grants at replicas that advertise a rate limit."""

from crowsill.clock import monotonic_s
from crowsill.control.driver import ConsensusDriver
from crowsill.control.recorded_grants import forward_to_leader
from crowsill.control.replica_limits import ReplicaLimits
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.model.replica_limits import LimitReport
from crowsill.tenancy.grant_ledger import GRANT_LIFETIME_S
from crowsill.transport.connection import Connection
from crowsill.transport.messages import Body, GrantReply, NotLeader
from crowsill.transport.replica_messages import ReplicaGrantRequest


class ReplicaGrants:
    """Grants requests while this member leads; forwards grant requests while it follows.

    Attributes:
        limits: The rate limits that this member knows. A follower keeps them too, since it may
            become the leader.
    """

    def __init__(self) -> None:
        self.limits = ReplicaLimits()
        self._term = 0

    def note(self, reports: list[LimitReport]) -> None:
        """Merge another process's reports, and log changed limits."""
        for instance_id in self.limits.note(reports, monotonic_s()):
            per_s = self.limits.advertised_per_s(instance_id)
            log_event(
                Event.REPLICA_LIMIT_KNOWN,
                replica=instance_id,
                per_s="" if per_s is None else per_s,
                granted=self.limits.granted(instance_id),
            )

    def to_reports(self) -> list[LimitReport]:
        """Return the limits in effect, as reports to other processes."""
        return self.limits.to_reports(monotonic_s())

    def limit_per_s_of(self, instance_id: str) -> float | None:
        """Return the rate limit in requests per second that a replica advertises, or None."""
        limit = self.limits.find(instance_id)
        if limit is None or not limit.is_advertised or not limit.is_in_effect(monotonic_s()):
            return None
        return limit.per_s

    async def handle(
        self, request: ReplicaGrantRequest, driver: ConsensusDriver, leader: Connection | None
    ) -> Body:
        """Handle a gateway's request, through the leader if another member leads.

        Args:
            request: The replica, and the gateway's report of its limit.
            driver: This member's consensus driver.
            leader: Stream to the leader, if there is one.
        """
        if not driver.is_leader:
            return await forward_to_leader(request, driver, leader)
        if not driver.has_lease():
            return NotLeader(None)
        if self._term != driver.node.term:
            self._term = driver.node.term
            self.limits.begin_term(monotonic_s())
        self.note([request.report])
        instance_id = request.report.instance_id
        decision = self.limits.grant(instance_id, monotonic_s(), request.is_urgent)
        # The lease is checked after the grant is counted: a leader suspended before this line may
        # have a successor that grants the same requests.
        if not driver.has_lease():
            return NotLeader(None)
        return GrantReply(decision.is_granted, decision.wait_s, GRANT_LIFETIME_S)
