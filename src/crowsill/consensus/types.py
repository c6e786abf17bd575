"""Input and output types of the consensus core."""

from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

import msgspec

from crowsill.consensus.log import RaftLog
from crowsill.consensus.membership import Membership
from crowsill.consensus.messages import Envelope, LogEntry


class Role(StrEnum):
    """Role of a member."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class HardState(msgspec.Struct, frozen=True):
    """State that must be durable before any message that depends on it is sent."""

    term: int = 0
    voted_for: str | None = None


@dataclass(frozen=True, slots=True)
class RaftConfig:
    """Timing and size limits of a group.

    Attributes:
        election_timeout_s: Minimum time without leader contact before a member campaigns; also the
            time after leader contact during which a member rejects vote requests.
        initial_election_timeout_s: Minimum time before a campaign of a member that has had no
            leader contact since it started.
        heartbeat_s: Maximum time between two append requests of a leader to one follower.
        clock_drift: Maximum relative difference between the clock rates of two members; shortens
            the lease.
        max_append_bytes: Maximum size of the data in one append request.
        max_in_flight: Maximum number of unacknowledged append requests to one follower.
        snapshot_chunk_bytes: Maximum size of the data in one snapshot chunk.
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
        """Time for which an acknowledged heartbeat proves leadership, after it was sent."""
        return self.election_timeout_s * (1.0 - self.clock_drift)


@dataclass(frozen=True, slots=True)
class MemberSetup:
    """Initial state and settings of a member.

    Attributes:
        member_id: Identity, which is bound to the disk.
        group: Name of the consensus group.
        hard_state: Durable term and vote.
        log: Durable log.
        membership: Membership at the snapshot of the log.
        config: Timing and size limits.
        random: Source of election timeouts.
        now_s: Current monotonic time.
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
    """State that replaces all entries up to `index`."""

    index: int
    term: int
    membership: Membership
    data: bytes


@dataclass(slots=True)
class Ready:
    """Effects that the driver executes in this order.

    Attributes:
        messages: Messages to send at once.
        hard_state: Term and vote to sync, if set.
        snapshot: Snapshot to sync and to restore the state machine from, if set.
        truncate_from: Index from which durable entries are removed, if set.
        entries: Entries to append and sync.
        messages_after_sync: Messages to send after the sync of the above.
        committed: Entries to apply in order.
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
        """Whether any effect must be made durable."""
        return bool(
            self.hard_state is not None
            or self.snapshot is not None
            or self.truncate_from is not None
            or self.entries
        )

    @property
    def is_empty(self) -> bool:
        """Whether there are no effects."""
        return not (self.needs_sync or self.messages or self.messages_after_sync or self.committed)
