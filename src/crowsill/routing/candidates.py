"""Which replicas can answer for a resource, from the fleet view and what calls have shown."""

from dataclasses import dataclass

from crowsill.model.fleet import FleetView, ReplicaKind, ReplicaState

CORRECTION_S = 3.0


@dataclass(frozen=True, slots=True)
class _Correction:
    """A replica said that it does not hold the resource; believed until `until_s`."""

    until_s: float


class CandidateIndex:
    """Replicas by resource (engines) and by pool (services)."""

    def __init__(self) -> None:
        self._holders: dict[str, list[ReplicaState]] = {}
        self._pools: dict[str, list[ReplicaState]] = {}
        self._corrections: dict[tuple[str, str], _Correction] = {}
        self._leaving: dict[str, str] = {}

    def rebuild(self, fleet: FleetView) -> None:
        """Index the fleet anew."""
        self._holders = {}
        self._pools = {}
        for state in fleet.replicas.values():
            self._index(state)
        known = {
            replica_id: incarnation
            for replica_id, incarnation in self._leaving.items()
            if replica_id in fleet.replicas
        }
        self._leaving = known

    def _index(self, state: ReplicaState) -> None:
        if not state.accepts_work:
            return
        description = state.description
        self._pools.setdefault(description.pool, []).append(state)
        if description.kind is ReplicaKind.ENGINE:
            for resource in state.report.resident:
                self._holders.setdefault(resource, []).append(state)

    def note_not_resident(self, replica_id: str, resource: str, now_s: float) -> None:
        """Believe a replica that said it does not hold a resource."""
        self._corrections[(replica_id, resource)] = _Correction(now_s + CORRECTION_S)

    def note_draining(self, state: ReplicaState) -> None:
        """Believe a replica that said it is leaving, for as long as this incarnation lives."""
        replica_id = state.description.replica_id
        self._leaving[replica_id] = state.report.incarnation

    def for_model(self, resource: str, now_s: float) -> list[ReplicaState]:
        """Return the engines that answer for a model or adapter."""
        holders = self._holders.get(resource, [])
        return [state for state in holders if self._usable(state, resource, now_s)]

    def for_pool(self, pool: str) -> list[ReplicaState]:
        """Return all replicas of a pool that accept work."""
        return [state for state in self._pools.get(pool, []) if not self._is_leaving(state)]

    def _is_leaving(self, state: ReplicaState) -> bool:
        return self._leaving.get(state.description.replica_id) == state.report.incarnation

    def _usable(self, state: ReplicaState, resource: str, now_s: float) -> bool:
        if self._is_leaving(state):
            return False
        key = (state.description.replica_id, resource)
        correction = self._corrections.get(key)
        if correction is None:
            return True
        if now_s < correction.until_s:
            return False
        del self._corrections[key]
        return True
