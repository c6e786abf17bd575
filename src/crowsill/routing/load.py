"""Load of replicas, from lagging reports corrected by this entry's own requests."""

from dataclasses import dataclass


@dataclass(slots=True)
class ReplicaLoad:
    """The load of one replica as this entry knows it.

    Attributes:
        own_in_flight: Requests of this entry at the replica now.
        others_in_flight: Requests of other entries at the replica, by the last report.
        mean_service_s: Moving average of the time that a request occupies a slot, in seconds; 0
            before the first request has ended.
    """

    own_in_flight: int = 0
    others_in_flight: int = 0
    mean_service_s: float = 0.0

    @property
    def estimate(self) -> int:
        """Estimated number of requests at the replica."""
        return self.own_in_flight + self.others_in_flight


# Weight of the newest request in the moving average of the service time.
SERVICE_TIME_WEIGHT = 0.1


class LoadTable:
    """Load by replica."""

    def __init__(self) -> None:
        self._loads: dict[str, ReplicaLoad] = {}

    def of(self, replica_id: str) -> ReplicaLoad:
        """Return the load of a replica."""
        load = self._loads.get(replica_id)
        if load is None:
            load = self._loads[replica_id] = ReplicaLoad()
        return load

    def note_reported(self, replica_id: str, in_flight: int) -> None:
        """Apply a report of the requests in flight at a replica.

        The report includes this entry's requests, so they are subtracted. It is older than the
        entry's own count, so the difference may be too small; it is never below 0.
        """
        load = self.of(replica_id)
        load.others_in_flight = max(0, in_flight - load.own_in_flight)

    def note_started(self, replica_id: str) -> None:
        """Count a request that was sent to a replica."""
        self.of(replica_id).own_in_flight += 1

    def note_ended(self, replica_id: str, service_s: float) -> None:
        """Count a request that ended at a replica after `service_s` seconds."""
        load = self.of(replica_id)
        load.own_in_flight -= 1
        if load.mean_service_s == 0.0:
            load.mean_service_s = service_s
        else:
            difference_s = service_s - load.mean_service_s
            load.mean_service_s += SERVICE_TIME_WEIGHT * difference_s

    def forget(self, replica_id: str) -> None:
        """Drop a replica that is gone, unless it still has requests of this entry."""
        load = self._loads.get(replica_id)
        if load is not None and load.own_in_flight == 0:
            del self._loads[replica_id]
