"""Selection of a replica: by affinity unless that replica is overloaded, else by two choices.

Two random candidates are compared instead of all (Mitzenmacher, "The Power of Two Choices in
Randomized Load Balancing", 2001), because reports lag: if all entries selected the least loaded
replica, they would overload it together.
"""

from dataclasses import dataclass
from enum import StrEnum
from random import Random

from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.model.configuration import Urgency
from crowsill.model.fleet import ReplicaState
from crowsill.model.request import ClassifiedRequest
from crowsill.routing.affinity import preferred_replica, within_bound
from crowsill.routing.cache_hints import CacheHints
from crowsill.routing.health import Circuit
from crowsill.routing.limits import entry_slots
from crowsill.routing.load import LoadTable


class SelectionReason(StrEnum):
    """The reason for a selection."""

    ONLY_CANDIDATE = "only_candidate"
    PREFIX_AFFINITY = "prefix_affinity"
    CACHE_HINT = "cache_hint"
    LESS_LOADED_OF_TWO = "less_loaded_of_two"


@dataclass(frozen=True, slots=True)
class _Backoff:
    """A backoff that one incarnation of a replica asked for.

    Until `ends_at_s`, only a new incarnation ends it.
    """

    incarnation: str
    ends_at_s: float


@dataclass(frozen=True, slots=True)
class Selection:
    """A selected replica.

    Attributes:
        replica: The replica.
        reason: The reason for the selection.
        candidates: Up to eight candidates with free slots, as `replica:load` pairs for the log.
    """

    replica: ReplicaState
    reason: SelectionReason
    candidates: str


class Selector:
    """Selects replicas for one entry.

    Attributes:
        loads: Load by replica.
        hints: Prefixes that the prompt caches of replicas probably hold.
        circuits: Circuit breaker by replica.
        entries: Number of live entries that share the replicas.
    """

    def __init__(self, random: Random, headroom: float) -> None:
        """Create a selector.

        Args:
            random: Source of randomness.
            headroom: Share of the slots of each replica that patient requests leave free.
        """
        self._random = random
        self._headroom = headroom
        self.loads = LoadTable()
        self.hints = CacheHints()
        self.circuits: dict[str, Circuit] = {}
        self.entries = 1
        self._backoffs: dict[str, _Backoff] = {}

    def circuit(self, replica_id: str) -> Circuit:
        """Return the circuit breaker of a replica."""
        return self.circuits.setdefault(replica_id, Circuit())

    def note_ended(
        self, replica_id: str, service_s: float, succeeded: bool | None, now_s: float
    ) -> None:
        """Record the end of a request at a replica.

        Args:
            replica_id: The replica.
            service_s: Time that the request spent at the replica, in seconds.
            succeeded: Whether the replica worked as expected; None if the outcome shows nothing
                about its health.
            now_s: Monotonic time in seconds.
        """
        self.loads.note_ended(replica_id, service_s)
        circuit = self.circuit(replica_id)
        if succeeded is None:
            circuit.abandoned()
        elif succeeded:
            if circuit.succeeded():
                log_event(Event.CIRCUIT_CLOSED, replica=replica_id)
        elif circuit.failed(now_s):
            log_event(Event.CIRCUIT_OPENED, replica=replica_id, failures=circuit.failures)

    def note_backoff(self, state: ReplicaState, ends_at_s: float) -> None:
        """Record that a replica asked this entry to back off until a monotonic time."""
        replica_id = state.description.replica_id
        ends_at_s = max(ends_at_s, self._backoff_ends_at_s(state))
        self._backoffs[replica_id] = _Backoff(state.report.incarnation, ends_at_s)

    def _backoff_ends_at_s(self, state: ReplicaState) -> float:
        backoff = self._backoffs.get(state.description.replica_id)
        if backoff is None or backoff.incarnation != state.report.incarnation:
            return float("-inf")
        return backoff.ends_at_s

    def backoff_left_s(self, state: ReplicaState, now_s: float) -> float:
        """Return the remaining backoff of a replica in seconds."""
        return max(0.0, self._backoff_ends_at_s(state) - now_s)

    def slots(self, state: ReplicaState, urgent: bool) -> int:
        """Return how many requests this entry may have in flight at a replica."""
        load = self.loads.of(state.description.replica_id)
        return entry_slots(
            max_concurrency=state.description.max_concurrency,
            entries=self.entries,
            own_in_flight=load.own_in_flight,
            others_in_flight=load.others_in_flight,
            headroom=self._headroom,
            urgent=urgent,
        )

    def _has_slot(self, state: ReplicaState, urgent: bool, now_s: float) -> bool:
        if now_s < self._backoff_ends_at_s(state):
            return False
        replica_id = state.description.replica_id
        if not self.circuit(replica_id).allows(now_s):
            return False
        return self.loads.of(replica_id).own_in_flight < self.slots(state, urgent)

    def select(
        self, request: ClassifiedRequest, candidates: list[ReplicaState], now_s: float
    ) -> Selection | None:
        """Select one of the candidates.

        Args:
            request: The request.
            candidates: Replicas that can run it.
            now_s: Monotonic time in seconds.

        Returns:
            The selection, or None if no candidate has a free slot.
        """
        urgent = request.urgency is Urgency.URGENT
        free = [state for state in candidates if self._has_slot(state, urgent, now_s)]
        if not free:
            return None
        if len(free) == 1:
            return self._selection(free[0], SelectionReason.ONLY_CANDIDATE, free)
        if request.prefix_hash:
            preferred = self._select_by_prefix(request.prefix_hash, free)
            if preferred is not None:
                return preferred
        first, second = self._random.sample(free, 2)
        better = min(first, second, key=self._relative_load)
        return self._selection(better, SelectionReason.LESS_LOADED_OF_TWO, free)

    def _select_by_prefix(self, prefix: int, free: list[ReplicaState]) -> Selection | None:
        """Return a replica whose cache probably holds the prefix, or None if it is overloaded."""
        by_id = {state.description.replica_id: state for state in free}
        hinted = [name for name in by_id if self.hints.holds(name, prefix)]
        name = preferred_replica(prefix, hinted or list(by_id))
        total = sum(self.loads.of(replica_id).estimate for replica_id in by_id)
        if not within_bound(self.loads.of(name).estimate, total, len(free)):
            return None
        reason = SelectionReason.CACHE_HINT if hinted else SelectionReason.PREFIX_AFFINITY
        return self._selection(by_id[name], reason, free)

    def _relative_load(self, state: ReplicaState) -> float:
        load = self.loads.of(state.description.replica_id)
        return load.estimate / state.description.max_concurrency

    def _selection(
        self, selected: ReplicaState, reason: SelectionReason, free: list[ReplicaState]
    ) -> Selection:
        pairs = [
            f"{state.description.replica_id}:{self.loads.of(state.description.replica_id).estimate}"
            for state in free[:8]
        ]
        return Selection(selected, reason, ",".join(pairs))
