"""The consensus core of one member: a pure state machine behind a small interface.

The driver calls `tick`, `step`, `propose` and `mark_synced`, and after each call executes the
effects that `take_ready` returns. All times are seconds of the member's monotonic clock.
"""

from crowsill.consensus.core import RaftCore
from crowsill.consensus.election import Election
from crowsill.consensus.follower import Follower
from crowsill.consensus.leader import Leader, SnapshotProvider
from crowsill.consensus.log import RaftLog
from crowsill.consensus.membership import Membership
from crowsill.consensus.messages import (
    AppendRequest,
    AppendResponse,
    EntryKind,
    Envelope,
    SnapshotChunk,
    SnapshotChunkResponse,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
)
from crowsill.consensus.types import MemberSetup, Ready, Role


class RaftNode:
    """One member of a consensus group."""

    def __init__(self, setup: MemberSetup, snapshot_provider: SnapshotProvider) -> None:
        """Restore a member.

        Args:
            setup: Initial state and settings.
            snapshot_provider: Returns a snapshot of the applied state for a follower.
        """
        self._core = RaftCore(setup)
        self._election = Election(self._core)
        self._follower = Follower(self._core)
        self._leader: Leader | None = None
        self._snapshot_provider = snapshot_provider

    @property
    def member_id(self) -> str:
        """This member's identity."""
        return self._core.member_id

    @property
    def role(self) -> Role:
        """The current role."""
        return self._core.role

    @property
    def term(self) -> int:
        """The current term."""
        return self._core.term

    @property
    def leader_id(self) -> str | None:
        """The leader of the current term, if known."""
        return self._core.leader_id

    @property
    def last_leader_contact_at_s(self) -> float:
        """Time of the last message from a current leader."""
        return self._core.last_leader_contact_at_s

    @property
    def commit_index(self) -> int:
        """Highest index known to be committed."""
        return self._core.commit_index

    @property
    def synced_index(self) -> int:
        """Last entry of this member's log that is known to be durable."""
        return self._core.synced_index

    @property
    def log(self) -> RaftLog:
        """The log after the last snapshot."""
        return self._core.log

    @property
    def membership(self) -> Membership:
        """The newest membership in the log."""
        return self._core.membership

    @property
    def membership_is_committed(self) -> bool:
        """Whether the newest membership in the log is committed, not only proposed."""
        return self._core.membership_index <= self._core.commit_index

    @property
    def leader(self) -> Leader | None:
        """The leader state, or None while this member does not lead."""
        return self._leader

    @property
    def is_established_leader(self) -> bool:
        """Whether this member leads and knows all committed entries of earlier terms."""
        return self._leader is not None and self._leader.is_established

    def has_lease(self, now_s: float) -> bool:
        """Return whether this member is an established leader and provably the only one."""
        leader = self._leader
        return leader is not None and leader.is_established and leader.has_lease(now_s)

    def tick(self, now_s: float) -> None:
        """Process timeouts; call this at a small fraction of the heartbeat interval."""
        core = self._core
        if self._leader is not None:
            self._leader.tick(now_s)
            if not self._leader.has_quorum_contact(now_s) or self._leader.transfer_failed(now_s):
                self._step_down(core.term, None, now_s)
            return
        if core.is_voter and now_s >= core.election_deadline_at_s:
            self._become_leader_if_won(self._election.campaign(now_s), now_s)

    def _step_down(self, term: int, leader_id: str | None, now_s: float) -> None:
        self._leader = None
        self._core.become_follower(term, leader_id, now_s)

    def _become_leader_if_won(self, won: bool, now_s: float) -> None:
        if not won:
            return
        core = self._core
        core.role = Role.LEADER
        core.no_leader_since_start = False
        core.leader_id = core.member_id
        self._leader = Leader(core, now_s, self._snapshot_provider)

    def step(self, now_s: float, envelope: Envelope) -> None:
        """Process a message. A message for another identity or group is ignored."""
        core = self._core
        if envelope.target != core.member_id or envelope.group != core.group:
            return
        message, source = envelope.message, envelope.source
        if isinstance(message, VoteRequest):
            self._on_vote_request(now_s, source, message)
            return
        if isinstance(message, VoteResponse):
            self._on_vote_response(now_s, source, message)
            return
        if message.term > core.term:
            self._step_down(message.term, None, now_s)
        if isinstance(message, AppendRequest):
            self._follower.on_append(now_s, source, message)
        elif isinstance(message, SnapshotChunk):
            self._follower.on_snapshot_chunk(now_s, source, message)
        elif isinstance(message, TimeoutNow):
            self._on_timeout_now(now_s, message)
        elif self._leader is not None and message.term == core.term:
            self._on_leader_response(now_s, source, message)

    def _on_leader_response(
        self, now_s: float, source: str, message: AppendResponse | SnapshotChunkResponse
    ) -> None:
        leader = self._leader
        if leader is None:
            return
        if isinstance(message, AppendResponse):
            leader.on_append_response(now_s, source, message)
            self._step_down_if_removed(now_s)
        else:
            leader.on_snapshot_response(now_s, source, message)

    def _step_down_if_removed(self, now_s: float) -> None:
        """Step down if the committed membership no longer has this leader as a voter."""
        core = self._core
        committed = core.membership_index <= core.commit_index
        if self._leader is not None and committed and not core.is_voter:
            self._step_down(core.term, None, now_s)

    def _on_vote_request(self, now_s: float, source: str, request: VoteRequest) -> None:
        core = self._core
        if self._leader is not None:
            if not (request.transfer and request.term > core.term):
                core.send(source, VoteResponse(core.term, False, request.pre_vote))
                return
            self._step_down(core.term, None, now_s)
        self._election.on_request(now_s, source, request)

    def _on_vote_response(self, now_s: float, source: str, response: VoteResponse) -> None:
        core = self._core
        is_eligible = response.pre_vote and (response.granted or response.no_leader_since_start)
        if response.term > core.term and not is_eligible:
            self._step_down(response.term, None, now_s)
            return
        self._become_leader_if_won(self._election.on_response(now_s, source, response), now_s)

    def _on_timeout_now(self, now_s: float, message: TimeoutNow) -> None:
        core = self._core
        if message.term == core.term and core.is_voter and core.role is Role.FOLLOWER:
            self._become_leader_if_won(self._election.campaign(now_s, transfer=True), now_s)

    def propose(self, now_s: float, data: bytes) -> int | None:
        """Propose a command; return its index, or None if this member cannot propose now."""
        leader = self._leader
        if leader is None or leader.transfer_target is not None:
            return None
        return leader.propose(now_s, EntryKind.COMMAND, data)

    def propose_membership(self, now_s: float, membership: Membership) -> int | None:
        """Propose a membership that differs by one voter; None if that is not possible now."""
        if self._leader is None:
            return None
        return self._leader.propose_membership(now_s, membership)

    def transfer_leadership(self, now_s: float) -> bool:
        """Transfer leadership to the most up-to-date voter; return whether the transfer started."""
        leader = self._leader
        if leader is None:
            return False
        target = leader.best_successor()
        return target is not None and leader.transfer(now_s, target)

    def mark_synced(self, index: int, term: int) -> None:
        """Record that this member's log is durable up to the entry `index` of `term`."""
        core = self._core
        if core.log.term_at(index) != term or index <= core.synced_index:
            return
        core.synced_index = index
        if self._leader is not None:
            self._leader.advance_commit()

    def announce_commit(self, now_s: float) -> None:
        """Send the commit index to all members at once, if this member leads."""
        if self._leader is not None:
            self._leader.announce_commit(now_s)

    def compact(self, index: int) -> None:
        """Drop entries up to `index` after a local snapshot."""
        self._core.compact(index)

    def take_ready(self) -> Ready:
        """Return and clear the effects since the last call."""
        ready = self._core.ready
        self._core.ready = Ready()
        return ready
