"""What a control member answers to gateways that ask for a request at a replica with a limit."""

from crowsill.clock import monotonic_s
from crowsill.control.driver import ConsensusDriver
from crowsill.control.quota_grants import ask_leader
from crowsill.control.replica_limits import ReplicaLimits
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.model.replica_limits import LimitReport
from crowsill.tenancy.grant_ledger import GRANT_LIFETIME_S
from crowsill.transport.connection import Connection
from crowsill.transport.messages import Body, GrantReply, NotLeader
from crowsill.transport.replica_messages import ReplicaGrantRequest


class ReplicaGrants:
    """Grants requests while this member leads; passes questions on while it follows.

    Attributes:
        limits: The limits that this member knows. A member that follows keeps them, too: it may be
            the next leader.
    """

    def __init__(self) -> None:
        self.limits = ReplicaLimits()
        self._term = 0

    def note(self, words: list[LimitReport]) -> None:
        """Take in what another process knows, and log what is new."""
        for instance_id in self.limits.note(words, monotonic_s()):
            per_s = self.limits.advertised_per_s(instance_id)
            log_event(
                Event.REPLICA_LIMIT_KNOWN,
                replica=instance_id,
                per_s="" if per_s is None else per_s,
                granted=self.limits.granted(instance_id),
            )

    def told(self) -> list[LimitReport]:
        """Return the limits that bind, for other processes."""
        return self.limits.told(monotonic_s())

    def limit_of(self, instance_id: str) -> float | None:
        """Return the requests a second that a replica takes by its own word; None without limit."""
        limit = self.limits.find(instance_id)
        if limit is None or not limit.is_advertised or not limit.is_in_effect(monotonic_s()):
            return None
        return limit.per_s

    async def answer(
        self, question: ReplicaGrantRequest, driver: ConsensusDriver, leader: Connection | None
    ) -> Body:
        """Answer a gateway, through the leader if another member leads.

        Args:
            question: Which replica, and what the gateway knows of its limit.
            driver: This member's consensus driver.
            leader: Stream to the leader, if there is one.
        """
        if not driver.is_leader:
            return await ask_leader(question, driver, leader)
        if not driver.has_lease():
            return NotLeader(None)
        if self._term != driver.node.term:
            self._term = driver.node.term
            self.limits.begin_term(monotonic_s())
        self.note([question.word])
        instance_id = question.word.instance_id
        decision = self.limits.grant(instance_id, monotonic_s(), question.is_urgent)
        # Looked at after the grant was counted: a leader that was suspended before this line may
        # have a successor that grants the same.
        if not driver.has_lease():
            return NotLeader(None)
        return GrantReply(decision.is_granted, decision.wait_s, GRANT_LIFETIME_S)
