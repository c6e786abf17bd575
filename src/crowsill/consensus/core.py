"""State that all roles of a consensus member share, with the pending effects."""

import msgspec

from crowsill.consensus.invariants import require
from crowsill.consensus.membership import Membership
from crowsill.consensus.messages import (
    AppendResponse,
    EntryKind,
    Envelope,
    LogEntry,
    Message,
)
from crowsill.consensus.types import HardState, MemberSetup, Ready, Role, Snapshot


class RaftCore:
    """Persistent and volatile state of one member, with the pending effects.

    Attributes:
        member_id: Id of this member.
        group: Name of the group.
        hard_state: Term and vote.
        log: The log after the last snapshot.
        membership: The newest membership in the log, committed or not.
        commit_index: Highest index known to be committed.
        role: Current role.
        leader_id: The leader of the current term, if known.
        last_leader_contact_at_s: Time of the last message from a current leader.
        no_leader_since_start: Whether the member has neither led nor received a message from a
            leader since it started.
        election_deadline_at_s: Time when this member campaigns unless a leader contacts it.
    """

    def __init__(self, setup: MemberSetup) -> None:
        self.member_id = setup.member_id
        self.group = setup.group
        self.hard_state = setup.hard_state
        self.log = setup.log
        self.config = setup.config
        self.random = setup.random
        self.commit_index = setup.log.snapshot_index
        self.synced_index = setup.log.last_index
        self.role = Role.FOLLOWER
        self.leader_id: str | None = None
        # A restarted member may have acknowledged a heartbeat just before the restart. It must not
        # help to elect another leader while that heartbeat still supports a lease.
        self.last_leader_contact_at_s = setup.now_s
        self.no_leader_since_start = True
        self.ready = Ready()
        self.committed_membership = setup.membership
        self.membership = setup.membership
        self.membership_index = setup.log.snapshot_index
        self._recover_membership()
        self.election_deadline_at_s = 0.0
        self.reset_election_deadline(setup.now_s)

    @property
    def term(self) -> int:
        """The current term."""
        return self.hard_state.term

    @property
    def is_voter(self) -> bool:
        """Whether this member is a voter in the newest membership."""
        return self.member_id in self.membership.voters

    def reset_election_deadline(self, now_s: float) -> None:
        """Set a random deadline between one and two election timeouts from now.

        A member without leader contact since its start uses the shorter initial timeout, because
        there is no leader if all members have restarted.
        """
        config = self.config
        timeout_s = (
            config.initial_election_timeout_s
            if self.no_leader_since_start
            else config.election_timeout_s
        )
        self.election_deadline_at_s = now_s + timeout_s * (1.0 + self.random.random())

    def send(self, target: str, message: Message, after_sync: bool = False) -> None:
        """Queue a message.

        Args:
            target: Member id of the receiver.
            message: The message.
            after_sync: Whether the message depends on state that must be durable first.
        """
        envelope = Envelope(self.group, self.member_id, target, message)
        if after_sync:
            self.ready.messages_after_sync.append(envelope)
        else:
            self.ready.messages.append(envelope)

    def set_hard_state(self, hard_state: HardState) -> None:
        """Change term or vote, which the driver syncs before it sends dependent messages."""
        old = self.hard_state
        require(hard_state.term >= old.term, "the term never decreases")
        changed_vote = old.voted_for is not None and hard_state.voted_for != old.voted_for
        require(not (changed_vote and hard_state.term == old.term), "at most one vote per term")
        if hard_state == old:
            return
        self.hard_state = hard_state
        self.ready.hard_state = hard_state

    def become_follower(self, term: int, leader_id: str | None, now_s: float) -> None:
        """Become a follower in `term`, with the leader if it is known."""
        if leader_id is not None:
            self.no_leader_since_start = False
        if term > self.term:
            self.set_hard_state(HardState(term, None))
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        self.reset_election_deadline(now_s)

    def append_entry(self, entry: LogEntry) -> None:
        """Append an entry to the log and pass it to the driver for syncing."""
        self.log.append(entry)
        self.ready.entries.append(entry)
        if entry.kind is EntryKind.MEMBERSHIP:
            self.membership = decode_membership(entry.data)
            self.membership_index = entry.index

    def truncate_from(self, index: int) -> None:
        """Remove conflicting entries from `index` on, which were never committed."""
        require(index > self.commit_index, "a committed entry is never removed")
        self.log.truncate_from(index)
        ready = self.ready
        ready.entries = [entry for entry in ready.entries if entry.index < index]
        # Entries that are being synced now must be removed as well, so this is unconditional.
        known = ready.truncate_from
        ready.truncate_from = index if known is None else min(index, known)
        # A pending acknowledgement must not cover entries that are removed here.
        ready.messages_after_sync = [
            envelope
            for envelope in ready.messages_after_sync
            if not _acknowledges(envelope.message, index)
        ]
        self.synced_index = min(self.synced_index, index - 1)
        if self.membership_index >= index:
            self._recover_membership()

    def _recover_membership(self) -> None:
        self.membership = self.committed_membership
        self.membership_index = self.log.snapshot_index
        first = self.log.snapshot_index + 1
        for entry in self.log.slice(first, self.log.last_index):
            if entry.kind is EntryKind.MEMBERSHIP:
                self.membership = decode_membership(entry.data)
                self.membership_index = entry.index

    def commit_to(self, index: int) -> None:
        """Advance the commit index and pass newly committed entries to the driver."""
        if index <= self.commit_index:
            return
        require(index <= self.log.last_index, "only entries that exist are committed")
        entries = self.log.slice(self.commit_index + 1, index)
        for entry in entries:
            if entry.kind is EntryKind.MEMBERSHIP:
                self.committed_membership = decode_membership(entry.data)
        self.ready.committed.extend(entries)
        self.commit_index = index

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace log and state by the leader's snapshot."""
        require(snapshot.index > self.commit_index, "a snapshot never reverts the state")
        self.log.restart_at(snapshot.index, snapshot.term)
        self.commit_index = snapshot.index
        self.synced_index = snapshot.index
        self.committed_membership = snapshot.membership
        self.membership = snapshot.membership
        self.membership_index = snapshot.index
        self.ready.snapshot = snapshot
        self.ready.entries = []
        self.ready.truncate_from = None
        # The snapshot contains the entries that were committed before.
        self.ready.committed = []

    def compact(self, index: int) -> None:
        """Drop entries up to `index`, which a local snapshot covers."""
        require(index <= self.commit_index, "only committed entries are compacted")
        self.log.compact(index)


def _acknowledges(message: Message, index: int) -> bool:
    return isinstance(message, AppendResponse) and message.accepted and message.match_index >= index


def decode_membership(data: bytes) -> Membership:
    """Decode a membership from a log entry or snapshot."""
    return msgspec.msgpack.decode(data, type=Membership)


def encode_membership(membership: Membership) -> bytes:
    """Encode a membership for a log entry or snapshot."""
    return msgspec.msgpack.encode(membership)
