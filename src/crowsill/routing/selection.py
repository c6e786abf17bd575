"""The choice of a replica: affinity while it is not overloaded, else power of two choices.

Two random candidates are compared instead of all (Mitzenmacher, "The Power of Two Choices in
Randomized Load Balancing", 2001), because reports lag: entries that all took the least loaded
replica would stampede it together.
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
    """Why a replica was chosen."""

    ONLY_CANDIDATE = "only_candidate"
    PREFIX_AFFINITY = "prefix_affinity"
    CACHE_HINT = "cache_hint"
    LESS_LOADED_OF_TWO = "less_loaded_of_two"


@dataclass(frozen=True, slots=True)
class _Rest:
    """A rest that one life of a replica asked for; nothing else ends it before `until_s`."""

    incarnation: str
    until_s: float


@dataclass(frozen=True, slots=True)
class Selection:
    """A chosen replica.

    Attributes:
        replica: The replica.
        reason: Why it was chosen.
        candidates: Candidates with free slots, as `replica:load` words for the log.
    """

    replica: ReplicaState
    reason: SelectionReason
    candidates: str


class Selector:
    """Chooses replicas for one entry.

    Attributes:
        loads: Load by replica.
        hints: What prompt caches probably hold.
        circuits: Circuit by replica.
        entries: Number of live entries that share the replicas.
    """

    def __init__(self, random: Random, headroom: float) -> None:
        """Make a selector.

        Args:
            random: Source of random choices.
            headroom: Share of each replica's slots that patient work leaves free.
        """
        self._random = random
        self._headroom = headroom
        self.loads = LoadTable()
        self.hints = CacheHints()
        self.circuits: dict[str, Circuit] = {}
        self.entries = 1
        self._rests: dict[str, _Rest] = {}

    def circuit(self, replica_id: str) -> Circuit:
        """Return the circuit of a replica."""
        return self.circuits.setdefault(replica_id, Circuit())

    def ended(
        self, replica_id: str, service_s: float, succeeded: bool | None, now_s: float
    ) -> None:
        """Take note of how a request at a replica ended.

        Args:
            replica_id: The replica.
            service_s: How long the request was there.
            succeeded: Whether the replica did its part; None says nothing about its health.
            now_s: Monotonic clock.
        """
        self.loads.ended(replica_id, service_s)
        circuit = self.circuit(replica_id)
        if succeeded is None:
            circuit.abandoned()
        elif succeeded:
            if circuit.succeeded():
                log_event(Event.CIRCUIT_CLOSED, replica=replica_id)
        elif circuit.failed(now_s):
            log_event(Event.CIRCUIT_OPENED, replica=replica_id, failures=circuit.failures)

    def note_backoff(self, state: ReplicaState, until_s: float) -> None:
        """Take in that a replica wants nothing from this entry until a clock."""
        replica_id = state.description.replica_id
        until_s = max(until_s, self._rest_until_s(state))
        self._rests[replica_id] = _Rest(state.report.incarnation, until_s)

    def _rest_until_s(self, state: ReplicaState) -> float:
        rest = self._rests.get(state.description.replica_id)
        if rest is None or rest.incarnation != state.report.incarnation:
            return float("-inf")
        return rest.until_s

    def backoff_left_s(self, state: ReplicaState, now_s: float) -> float:
        """Return how much longer a replica wants nothing from this entry."""
        return max(0.0, self._rest_until_s(state) - now_s)

    def slots(self, state: ReplicaState, urgent: bool) -> int:
        """Return how many requests this entry may have at a replica."""
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
        if now_s < self._rest_until_s(state):
            return False
        replica_id = state.description.replica_id
        if not self.circuit(replica_id).allows(now_s):
            return False
        return self.loads.of(replica_id).own_in_flight < self.slots(state, urgent)

    def select(
        self, request: ClassifiedRequest, candidates: list[ReplicaState], now_s: float
    ) -> Selection | None:
        """Choose among candidates.

        Args:
            request: The request.
            candidates: Replicas that can answer it.
            now_s: Monotonic clock.

        Returns:
            The choice, or None while no candidate has a free slot.
        """
        urgent = request.urgency is Urgency.URGENT
        free = [state for state in candidates if self._has_slot(state, urgent, now_s)]
        if not free:
            return None
        if len(free) == 1:
            return self._choice(free[0], SelectionReason.ONLY_CANDIDATE, free)
        if request.prefix_hash:
            preferred = self._preferred(request.prefix_hash, free)
            if preferred is not None:
                return preferred
        first, second = self._random.sample(free, 2)
        better = min(first, second, key=self._relative_load)
        return self._choice(better, SelectionReason.LESS_LOADED_OF_TWO, free)

    def _preferred(self, prefix: int, free: list[ReplicaState]) -> Selection | None:
        """A replica whose cache probably holds the prefix, unless it has too much to do."""
        by_id = {state.description.replica_id: state for state in free}
        hinted = [name for name in by_id if self.hints.holds(name, prefix)]
        name = preferred_replica(prefix, hinted or list(by_id))
        total = sum(self.loads.of(replica_id).estimate for replica_id in by_id)
        if not within_bound(self.loads.of(name).estimate, total, len(free)):
            return None
        reason = SelectionReason.CACHE_HINT if hinted else SelectionReason.PREFIX_AFFINITY
        return self._choice(by_id[name], reason, free)

    def _relative_load(self, state: ReplicaState) -> float:
        load = self.loads.of(state.description.replica_id)
        return load.estimate / state.description.max_concurrency

    def _choice(
        self, chosen: ReplicaState, reason: SelectionReason, free: list[ReplicaState]
    ) -> Selection:
        words = [
            f"{state.description.replica_id}:{self.loads.of(state.description.replica_id).estimate}"
            for state in free[:8]
        ]
        return Selection(chosen, reason, ",".join(words))
