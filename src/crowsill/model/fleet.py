"""Replicas of back ends as control members and entries see them, with models and load."""

from enum import StrEnum

import msgspec


class ReplicaKind(StrEnum):
    """Kind of a back end."""

    ENGINE = "engine"
    SERVICE = "service"


class ReplicaDescription(msgspec.Struct, frozen=True):
    """One replica in the platform's list of machines.

    Attributes:
        replica_id: Unique name.
        kind: Kind of the replica.
        address: `IP:port` of its HTTP interface.
        zone: Zone where the replica runs.
        pool: Pool of the replica.
        memory_mib: Accelerator memory; 0 for a service.
        max_concurrency: Number of requests that it runs concurrently.
        checks_fence: Whether it rejects orders that are older than the newest it has received.
        draining: Whether the platform is removing the replica.
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
    """A back end's report about itself; its values lag.

    Attributes:
        incarnation: Id that changes with each restart of the back end.
        resident: Loaded resources: `model` and `model:adapter`.
        loading: Resources whose load has begun.
        running: Requests in execution.
        waiting: Requests queued inside the back end.
        draining: Whether the replica was asked to shut down.
    """

    incarnation: str
    resident: list[str] = []
    running: int = 0
    waiting: int = 0
    draining: bool = msgspec.field(default=False, name="leaving")
    loading: list[str] = []


class ReplicaState(msgspec.Struct, frozen=True):
    """A replica as control members report it to entries: description and report combined.

    Attributes:
        description: The platform's description.
        report: The replica's own report.
        reachable: Whether its recent reports could be fetched.
        number: Number within one epoch that identifies the replica in load updates.
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
    """The load of one replica, in few bytes.

    Attributes:
        number: The replica's number in this epoch.
        in_flight: Requests that run or wait at the replica.
    """

    number: int
    in_flight: int


class FleetDelta(msgspec.Struct, frozen=True):
    """One incremental or full update of the fleet view.

    Attributes:
        epoch: Term of the observing leader; numbering restarts with each epoch.
        sequence: Number of the update within the epoch.
        full: Whether `changed` contains the full fleet.
        changed: Replicas that are new or that changed in more than their load.
        removed: Ids of replicas that are gone.
        loads: Loads that changed significantly.
    """

    epoch: int
    sequence: int
    full: bool
    changed: list[ReplicaState]
    removed: list[str]
    loads: list[LoadUpdate] = []


class FleetView:
    """A process's copy of the fleet state, updated by deltas."""

    def __init__(self) -> None:
        self.epoch = 0
        self.sequence = 0
        self.replicas: dict[str, ReplicaState] = {}
        self.replica_id_by_number: dict[int, str] = {}

    def adopt(self, delta: FleetDelta) -> bool:
        """Apply a delta.

        Args:
            delta: The next update, or a full state.

        Returns:
            False if updates are missing. The sequence is then reset to 0, which requests a full
            state. An update that is older than the current position is ignored and counts as
            applied.
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
