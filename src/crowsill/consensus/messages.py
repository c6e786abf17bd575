"""Messages between the members of one consensus group.

The protocol is Raft with pre-vote, check-quorum, leader leases, learners and leadership transfer
(Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014; Ongaro,
"Consensus: Bridging Theory and Practice", 2014, chapters 3, 4, 6 and 9.6).
"""

from enum import IntEnum

import msgspec


class EntryKind(IntEnum):
    """What a log entry carries."""

    COMMAND = 0
    NO_OP = 1
    MEMBERSHIP = 2


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log.

    Attributes:
        index: Position, from 1.
        term: Term of the leader that created it.
        kind: What `data` is.
        data: An encoded command or membership; empty for a no-op.
    """

    index: int
    term: int
    kind: EntryKind
    data: bytes


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag="vote"):
    """A candidate asks for a vote.

    Attributes:
        term: The term it would lead.
        last_index: Index of its last entry.
        last_term: Term of its last entry.
        pre_vote: True while it only asks whether it could win.
        transfer: True when the leader told it to campaign, which overrides a live lease.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool


class VoteResponse(msgspec.Struct, frozen=True, array_like=True, tag="vote-response"):
    """The answer to a vote request; `term` is the requested term when granted.

    Attributes:
        term: The requested term when granted, else the voter's.
        granted: Whether the vote was given.
        pre_vote: Whether only the chance to win was asked for.
        no_leader_since_start: The voter refused only because it restarted a moment ago, and may
            have answered a leader's heartbeat just before.
    """

    term: int
    granted: bool
    pre_vote: bool
    no_leader_since_start: bool = False


class AppendRequest(msgspec.Struct, frozen=True, array_like=True, tag="append"):
    """Entries, or a heartbeat when `entries` is empty.

    Attributes:
        term: The leader's term.
        previous_index: Index just before `entries`.
        previous_term: Term of that entry.
        entries: Entries in order, without gaps.
        commit_index: The leader's commit index.
        sent_at_s: The leader's clock at sending; echoed, it renews the lease.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: list[LogEntry]
    commit_index: int
    sent_at_s: float


class AppendResponse(msgspec.Struct, frozen=True, array_like=True, tag="append-response"):
    """The answer to an append request or a snapshot chunk.

    Attributes:
        term: The follower's term.
        accepted: Whether the previous entry matched.
        match_index: When accepted, the last index known equal to the leader's; otherwise a hint
            for the next try.
        sent_at_s: Copied from the request.
    """

    term: int
    accepted: bool
    match_index: int
    sent_at_s: float


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True, tag="snapshot"):
    """A part of a snapshot for a follower whose next entry is compacted away.

    Attributes:
        term: The leader's term.
        index: Last index the snapshot covers.
        snapshot_term: Term of that entry.
        membership: Encoded membership at that index.
        offset: Position of `data` in the snapshot, in bytes.
        data: The part.
        last: Whether this is the final part.
        sent_at_s: The leader's clock at sending.
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
    """How far a follower has received a snapshot.

    Attributes:
        term: The follower's term.
        index: The snapshot's index.
        next_offset: First byte it lacks.
        sent_at_s: Copied from the chunk.
    """

    term: int
    index: int
    next_offset: int
    sent_at_s: float


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag="timeout-now"):
    """The leader hands over: the receiver campaigns at once."""

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
        target: Member id of the receiver. An id is bound to a disk, so a member that lost its
            disk never receives what was meant for its former self.
        message: The message.
    """

    group: str
    source: str
    target: str
    message: Message
