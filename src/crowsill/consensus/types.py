"""Values that go into and come out of the consensus core."""

from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

import msgspec

from crowsill.consensus.log import RaftLog
from crowsill.consensus.membership import Membership
from crowsill.consensus.messages import Envelope, LogEntry


class Role(StrEnum):
    """What a member currently is."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class HardState(msgspec.Struct, frozen=True):
    """What must be synced before any message that depends on it is sent."""

    term: int = 0
    voted_for: str | None = None


@dataclass(frozen=True, slots=True)
class RaftConfig:
    """Timing and size limits of a group.

    Attributes:
        election_timeout_s: Shortest time without a leader before a member campaigns; also how
            long a member that hears its leader refuses votes.
        initial_election_timeout_s: Shortest time between campaigns of a member that has heard no
            leader since it started.
        heartbeat_s: Longest time between two appends of a leader to one follower.
        clock_drift: Largest relative difference of two members' clock rates; the lease is
            shortened by it.
        max_append_bytes: Data in one append request.
        max_in_flight: Append requests sent to a follower ahead of its answers.
        snapshot_chunk_bytes: Data in one snapshot chunk.
    """

    election_timeout_s: float = 0.5
    initial_election_timeout_s: float = 0.1
    heartbeat_s: float = 0.1
    clock_drift: float = 0.05
    max_append_bytes: int = 256 * 1024
    max_in_flight: int = 16
    snapshot_chunk_bytes: int = 256 * 1024

    @property
    def lease_s(self) -> float:
        """How long an acknowledged heartbeat proves leadership, counted from its sending."""
        return self.election_timeout_s * (1.0 - self.clock_drift)


@dataclass(frozen=True, slots=True)
class MemberSetup:
    """What a member starts from.

    Attributes:
        member_id: Identity bound to the disk.
        group: Name of the consensus group.
        hard_state: Synced term and vote.
        log: Synced log.
        membership: Membership at the log's snapshot.
        config: Timing and size limits.
        random: Source of election timeouts.
        now_s: The clock.
    """

    member_id: str
    group: str
    hard_state: HardState
    log: RaftLog
    membership: Membership
    config: RaftConfig
    random: Random
    now_s: float


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A state that stands for all entries up to `index`."""

    index: int
    term: int
    membership: Membership
    data: bytes


@dataclass(slots=True)
class Ready:
    """Effects for the driver, to be carried out in this order.

    Attributes:
        messages: Send at once.
        hard_state: Sync, if set.
        snapshot: Sync and restore the state machine from it, if set.
        truncate_from: Remove durable entries from this index on, if set.
        entries: Append and sync.
        messages_after_sync: Send once the above is synced.
        committed: Apply in order.
    """

    messages: list[Envelope] = field(default_factory=list)
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    truncate_from: int | None = None
    entries: list[LogEntry] = field(default_factory=list)
    messages_after_sync: list[Envelope] = field(default_factory=list)
    committed: list[LogEntry] = field(default_factory=list)

    @property
    def needs_sync(self) -> bool:
        """Whether anything must be made durable."""
        return bool(
            self.hard_state is not None
            or self.snapshot is not None
            or self.truncate_from is not None
            or self.entries
        )

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to do."""
        return not (self.needs_sync or self.messages or self.messages_after_sync or self.committed)
