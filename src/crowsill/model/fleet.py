"""The back ends as crowsill sees them: replicas, what they hold and how loaded they are."""

from enum import StrEnum

import msgspec


class ReplicaKind(StrEnum):
    """What a back end is."""

    ENGINE = "engine"
    SERVICE = "service"


class ReplicaDescription(msgspec.Struct, frozen=True):
    """One line of the platform's list of machines.

    Attributes:
        replica_id: Unique name.
        kind: Engine or plain service.
        address: `IP:port` of its HTTP interface.
        zone: Site it stands in.
        pool: Pool it belongs to.
        memory_mib: Accelerator memory; 0 for a service.
        max_concurrency: Requests it runs at once.
        checks_fence: Whether it refuses orders older than the newest it has seen.
        draining: Whether the platform wants it gone.
    """

    replica_id: str
    kind: ReplicaKind
    address: str
    zone: str
    pool: str
    memory_mib: int = 0
    max_concurrency: int = 8
    checks_fence: bool = True
    draining: bool = msgspec.field(default=False, name="leaving")


class ReplicaReport(msgspec.Struct, frozen=True):
    """What a back end reports of itself; the figures lag.

    Attributes:
        incarnation: Changes each time the back end restarts.
        resident: Names that answer now: `model` and `model:adapter`.
        loading: Names whose load has begun.
        running: Requests in execution.
        waiting: Requests queued inside the back end.
        draining: Whether it has been told to go.
    """

    incarnation: str
    resident: list[str] = []
    running: int = 0
    waiting: int = 0
    draining: bool = msgspec.field(default=False, name="leaving")
    loading: list[str] = []


class ReplicaState(msgspec.Struct, frozen=True):
    """A replica as control members tell entries about it: description and report merged.

    Attributes:
        description: The platform's line.
        report: The replica's own report.
        reachable: Whether it answered lately.
        number: Short name within one epoch, used by load updates.
    """

    description: ReplicaDescription
    report: ReplicaReport
    reachable: bool = True
    number: int = 0

    @property
    def accepts_work(self) -> bool:
        """Whether new requests may be sent to it."""
        return self.reachable and not self.description.draining and not self.report.draining


class LoadUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The load of one replica; a few bytes on the wire.

    Attributes:
        number: The replica's number in this epoch.
        in_flight: Requests that run or wait there.
    """

    number: int
    in_flight: int


class FleetDelta(msgspec.Struct, frozen=True):
    """A step of the fleet view.

    Attributes:
        epoch: Term of the leader that observed it; a higher epoch starts over.
        sequence: Number of the step within the epoch.
        full: Whether `changed` is the whole fleet.
        changed: Replicas that are new or differ in more than their load.
        removed: Ids of replicas that are gone.
        loads: Loads that changed enough to matter.
    """

    epoch: int
    sequence: int
    full: bool
    changed: list[ReplicaState]
    removed: list[str]
    loads: list[LoadUpdate] = []


class FleetView:
    """The fleet as one process knows it, kept up to date by deltas."""

    def __init__(self) -> None:
        self.epoch = 0
        self.sequence = 0
        self.replicas: dict[str, ReplicaState] = {}
        self.replica_id_by_number: dict[int, str] = {}

    def adopt(self, delta: FleetDelta) -> bool:
        """Apply a delta.

        Args:
            delta: The next step, or a full state.

        Returns:
            False when steps are missing. The position is then reset to sequence 0, which asks
            for a full state. An older step than the one held is ignored and counts as applied.
        """
        position = (delta.epoch, delta.sequence)
        if position <= (self.epoch, self.sequence):
            return True
        follows = delta.epoch == self.epoch and delta.sequence == self.sequence + 1
        if not delta.full and not follows:
            self.sequence = 0
            return False
        if delta.full:
            self.replicas = {}
            self.replica_id_by_number = {}
        for state in delta.changed:
            self.replicas[state.description.replica_id] = state
            self.replica_id_by_number[state.number] = state.description.replica_id
        for replica_id in delta.removed:
            self.replicas.pop(replica_id, None)
        self.epoch, self.sequence = position
        return True
