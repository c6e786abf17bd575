"""A leader's replication state for one follower."""

from dataclasses import dataclass
from enum import StrEnum

from crowsill.consensus.types import Snapshot


class ReplicationMode(StrEnum):
    """How a leader replicates to a follower."""

    PROBE = "probe"
    PIPELINE = "pipeline"
    SNAPSHOT = "snapshot"


@dataclass(slots=True)
class Progress:
    """Replication state of one follower.

    Attributes:
        next_index: Next entry to send.
        match_index: Last entry that is known to be durable on the follower.
        mode: Replication mode. `PROBE` sends one request at a time until the logs match, then
            `PIPELINE` sends several.
        in_flight: Number of requests without a response.
        last_sent_at_s: Time of the last request; None before the first.
        acknowledged_sent_at_s: Sending time of the latest request with a response.
        last_response_at_s: Time of the last response.
        snapshot: The snapshot that is being sent.
        snapshot_offset: First byte of the snapshot that is not acknowledged.
    """

    next_index: int
    match_index: int = 0
    mode: ReplicationMode = ReplicationMode.PROBE
    in_flight: int = 0
    last_sent_at_s: float | None = None
    acknowledged_sent_at_s: float = float("-inf")
    last_response_at_s: float = float("-inf")
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0

    def accept(self, match_index: int) -> bool:
        """Record an accepted append request; return whether `match_index` advanced."""
        self.in_flight = max(0, self.in_flight - 1)
        if self.mode is ReplicationMode.PROBE:
            self.mode = ReplicationMode.PIPELINE
            self.in_flight = 0
        self.next_index = max(self.next_index, match_index + 1)
        if match_index <= self.match_index:
            return False
        self.match_index = match_index
        return True

    def reject(self, hint: int) -> None:
        """Record a rejected append request: return to probing after the follower's hint."""
        self.mode = ReplicationMode.PROBE
        self.in_flight = 0
        self.next_index = max(self.match_index + 1, min(self.next_index - 1, hint + 1))

    def return_to_probing(self) -> None:
        """Discard requests in flight after a time without responses, so that they are resent."""
        if self.mode is ReplicationMode.SNAPSHOT:
            return
        self.mode = ReplicationMode.PROBE
        self.in_flight = 0
        self.next_index = self.match_index + 1
