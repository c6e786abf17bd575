"""Replicas that can serve a resource, by the fleet view and by the results of calls."""

from dataclasses import dataclass

from crowsill.model.fleet import FleetView, ReplicaKind, ReplicaState

# Time for which a replica's own response overrides the fleet view, in seconds.
CORRECTION_LIFETIME_S = 3.0


@dataclass(frozen=True, slots=True)
class _Correction:
    """A replica's response that it doesn't hold a resource; valid until `expires_at_s`."""

    expires_at_s: float


class CandidateIndex:
    """Replicas by resource (engines) and by pool (services)."""

    def __init__(self) -> None:
        self._holders: dict[str, list[ReplicaState]] = {}
        self._pools: dict[str, list[ReplicaState]] = {}
        self._corrections: dict[tuple[str, str], _Correction] = {}
        # Incarnation that reported that it drains, by replica.
        self._draining: dict[str, str] = {}

    def rebuild(self, fleet: FleetView) -> None:
        """Rebuild the index from the fleet view."""
        self._holders = {}
        self._pools = {}
        for state in fleet.replicas.values():
            self._index(state)
        listed = {
            replica_id: incarnation
            for replica_id, incarnation in self._draining.items()
            if replica_id in fleet.replicas
        }
        self._draining = listed

    def _index(self, state: ReplicaState) -> None:
        if not state.accepts_work:
            return
        description = state.description
        self._pools.setdefault(description.pool, []).append(state)
        if description.kind is ReplicaKind.ENGINE:
            for resource in state.report.resident:
                self._holders.setdefault(resource, []).append(state)

    def note_not_resident(self, replica_id: str, resource: str, now_s: float) -> None:
        """Exclude a replica for a resource that it reported not to hold, for a short time."""
        self._corrections[(replica_id, resource)] = _Correction(now_s + CORRECTION_LIFETIME_S)

    def note_draining(self, state: ReplicaState) -> None:
        """Exclude a replica that reported that it drains, until it has a new incarnation."""
        replica_id = state.description.replica_id
        self._draining[replica_id] = state.report.incarnation

    def for_model(self, resource: str, now_s: float) -> list[ReplicaState]:
        """Return the engines that can serve a model or adapter."""
        holders = self._holders.get(resource, [])
        return [state for state in holders if self._usable(state, resource, now_s)]

    def for_pool(self, pool: str) -> list[ReplicaState]:
        """Return all replicas of a pool that accept work."""
        return [state for state in self._pools.get(pool, []) if not self._is_draining(state)]

    def _is_draining(self, state: ReplicaState) -> bool:
        return self._draining.get(state.description.replica_id) == state.report.incarnation

    def _usable(self, state: ReplicaState, resource: str, now_s: float) -> bool:
        if self._is_draining(state):
            return False
        key = (state.description.replica_id, resource)
        correction = self._corrections.get(key)
        if correction is None:
            return True
        if now_s < correction.expires_at_s:
            return False
        del self._corrections[key]
        return True
