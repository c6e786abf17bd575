"""Messages between the members of one consensus group.

The protocol is Raft with pre-vote, check-quorum, leader leases, learners and leadership transfer
(Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014; Ongaro,
"Consensus: Bridging Theory and Practice", 2014, chapters 3, 4, 6 and 9.6).
"""

from enum import IntEnum

import msgspec


class EntryKind(IntEnum):
    """Kind of a log entry."""

    COMMAND = 0
    NO_OP = 1
    MEMBERSHIP = 2


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log.

    Attributes:
        index: Position in the log, from 1.
        term: Term of the leader that created it.
        kind: Kind of `data`.
        data: Encoded batch of commands or membership; empty for a no-op.
    """

    index: int
    term: int
    kind: EntryKind
    data: bytes


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag="vote"):
    """A candidate requests a vote.

    Attributes:
        term: The term in which the candidate would lead.
        last_index: Index of the candidate's last entry.
        last_term: Term of the candidate's last entry.
        pre_vote: Whether this is a pre-vote, which changes no term and no vote.
        transfer: Whether the election may override a lease: the leader requested it by
            `TimeoutNow`, or all voters have restarted.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool


class VoteResponse(msgspec.Struct, frozen=True, array_like=True, tag="vote-response"):
    """The response to a vote request.

    Attributes:
        term: The requested term if the vote is granted or `no_leader_since_start` is set, otherwise
            the voter's term.
        granted: Whether the vote is granted.
        pre_vote: Whether the request was a pre-vote.
        no_leader_since_start: The voter has had no leader contact since it started, and term and
            log of the candidate are sufficient. If such a voter rejects a pre-vote, the only reason
            is that it may have acknowledged a leader's heartbeat just before its restart.
    """

    term: int
    granted: bool
    pre_vote: bool
    no_leader_since_start: bool = False


class AppendRequest(msgspec.Struct, frozen=True, array_like=True, tag="append"):
    """Entries to append; a heartbeat if `entries` is empty.

    Attributes:
        term: The leader's term.
        previous_index: Index of the entry before `entries`.
        previous_term: Term of that entry.
        entries: Entries in order, without gaps.
        commit_index: The leader's commit index.
        sent_at_s: The leader's clock when it sent the message; the response that echoes it renews
            the lease.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: list[LogEntry]
    commit_index: int
    sent_at_s: float


class AppendResponse(msgspec.Struct, frozen=True, array_like=True, tag="append-response"):
    """The response to an append request, and to a snapshot chunk that needs no further chunk.

    Attributes:
        term: The follower's term.
        accepted: Whether the previous entry matched.
        match_index: If accepted, the last index up to which the log matches the leader's;
            otherwise a hint for the next request.
        sent_at_s: Copied from the request.
    """

    term: int
    accepted: bool
    match_index: int
    sent_at_s: float


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True, tag="snapshot"):
    """A part of a snapshot for a follower whose next entry is compacted.

    Attributes:
        term: The leader's term.
        index: Last index that the snapshot covers.
        snapshot_term: Term of that entry.
        membership: Encoded membership at that index.
        offset: Position of `data` in the snapshot, in bytes.
        data: The bytes of this chunk.
        last: Whether this is the last chunk.
        sent_at_s: The leader's clock when it sent the message.
    """

    term: int
    index: int
    snapshot_term: int
    membership: bytes
    offset: int
    data: bytes
    last: bool
    sent_at_s: float


class SnapshotChunkResponse(msgspec.Struct, frozen=True, array_like=True, tag="snapshot-response"):
    """The progress of a follower that receives a snapshot.

    Attributes:
        term: The follower's term.
        index: The snapshot's index.
        next_offset: First byte that the follower has not received.
        sent_at_s: Copied from the chunk.
    """

    term: int
    index: int
    next_offset: int
    sent_at_s: float


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag="timeout-now"):
    """The leader transfers leadership: the receiver campaigns at once."""

    term: int


Message = (
    VoteRequest
    | VoteResponse
    | AppendRequest
    | AppendResponse
    | SnapshotChunk
    | SnapshotChunkResponse
    | TimeoutNow
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its addresses.

    Attributes:
        group: Consensus group; one process may host several.
        source: Member id of the sender.
        target: Member id of the receiver. An id is bound to a disk, so a member that lost its disk
            never receives messages for its former identity.
        message: The message.
    """

    group: str
    source: str
    target: str
    message: Message
