"""Services of which this gateway reaches no replica, although the directory lists some."""

from collections.abc import Callable

from crowsill.events import Event
from crowsill.gateway.replica_registry import ReplicaRecord, ReplicaRegistry
from crowsill.logs import log_event
from crowsill.model.peers import MAX_REPORTED_SERVICES


class LinkState:
    """The unreachable services of one gateway.

    A replica that fails alone has failed. If all replicas of a service fail here at once while they
    send heartbeats and serve other gateways, this gateway has lost its own links.
    """

    def __init__(self, registry: ReplicaRegistry, has_idle: Callable[[str], bool]) -> None:
        """Create the state.

        Args:
            registry: The known replicas.
            has_idle: Returns whether an idle connection to an instance is open.
        """
        self._registry = registry
        self._has_idle = has_idle
        self._unreachable: dict[str, int] = {}
        self._lost_ids: set[str] = set()

    def update(self) -> None:
        """Determine the unreachable services again, and log those that changed."""
        services = self._listed_by_service().keys() | self._unreachable.keys()
        for service in services:
            self.update_service(service)
        self._lost_ids &= {record.instance.instance_id for record in self._registry.listed()}

    def update_service(self, service: str) -> None:
        """Determine again whether a service is unreachable, and log a change."""
        records = [
            record
            for record in self._registry.of_service(service)
            if not record.availability.is_draining
        ]
        if not records or any(self.is_reachable(record) for record in records):
            if self._unreachable.pop(service, 0):
                log_event(Event.LINKS_RESTORED, service=service)
            return
        if service not in self._unreachable:
            log_event(Event.LINKS_LOST, service=service, replicas=len(records))
        self._unreachable[service] = len(records)
        if self.has_lost_links(service):
            self._lost_ids.update(record.instance.instance_id for record in records)

    def note_reached(self, record: ReplicaRecord) -> None:
        """Forget a replica's failures if it was unreachable because of this gateway's links."""
        if record.instance.instance_id in self._lost_ids:
            self._lost_ids.discard(record.instance.instance_id)
            record.forget_failures()
        self.update_service(record.instance.service)

    def _listed_by_service(self) -> dict[str, list[ReplicaRecord]]:
        listed: dict[str, list[ReplicaRecord]] = {}
        for record in self._registry.listed():
            listed.setdefault(record.instance.service, []).append(record)
        return listed

    def is_reachable(self, record: ReplicaRecord) -> bool:
        """Whether a request can be sent to a replica from here."""
        return record.availability.is_reachable(self._has_idle(record.instance.instance_id))

    def unreachable_services(self) -> list[str]:
        """Return the unreachable services, at most `MAX_REPORTED_SERVICES`."""
        return sorted(self._unreachable)[:MAX_REPORTED_SERVICES]

    def weak_services(self) -> list[str]:
        """Return services of which under half is reached, at most `MAX_REPORTED_SERVICES`."""
        weak = [
            service
            for service, records in self._listed_by_service().items()
            if 2 * sum(self.is_reachable(record) for record in records) < len(records)
        ]
        return sorted(weak)[:MAX_REPORTED_SERVICES]

    def is_weak(self, service: str) -> bool:
        """Whether under half of the listed replicas of a service is reached from here."""
        records = [
            item for item in self._registry.of_service(service) if item.instance.accepts_work
        ]
        return 2 * sum(self.is_reachable(record) for record in records) < len(records)

    def has_lost_links(self, service: str) -> bool:
        """Whether several replicas of a service are listed and none is reached from here."""
        return self._unreachable.get(service, 0) > 1
