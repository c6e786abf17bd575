"""A request in the queue of waiting requests, and what decides its place. Pure."""

from dataclasses import dataclass, field
from typing import NamedTuple

# A request that has used this share of its slack is pressing: it no longer gives way.
PRESSING_SHARE = 0.5


class Resource(NamedTuple):
    """What a request waits for; both are empty for a service without models."""

    model: str = ""
    adapter: str = ""


class RequestClass(NamedTuple):
    """What decides whether a replica can take a request; equal for requests that are alike.

    Attributes:
        resource: What it needs.
        route: Its route.
        size: Order of magnitude of its prompt: the number of bits of its tokens.
        sole_id: Number that no other request has if it was sent to some replicas already; else 0.
    """

    resource: Resource
    route: str
    size: int
    sole_id: int = 0


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits.

    All times are monotonic, in seconds.

    Attributes:
        service: Its service.
        request_class: What decides whether a replica can take it.
        rank: Its rank; 0 is the most urgent.
        tenant: Its tenant.
        is_urgent: Whether its route's callers do not wait.
        work_ms: Expected work of a replica.
        arrived_at_s: Time of its arrival.
        target_start_at_s: Latest time to be sent so that it meets its target.
        deadline_start_at_s: Latest time to be sent so that it ends before its deadline.
        is_late: Whether it can no longer meet its target.
        is_queued: Whether it is in the queue.
        is_by_bound: Whether it got its last turn because `PLACES_PER_PRESSING` were taken.
        start_key_s: Position in its lane; of two with equal slack, the cheaper one goes first.
        pressing_at_s: Time from which it no longer gives way.
    """

    service: str
    request_class: RequestClass
    rank: int
    tenant: str
    is_urgent: bool
    work_ms: float
    arrived_at_s: float
    target_start_at_s: float
    deadline_start_at_s: float
    is_late: bool = False
    is_queued: bool = False
    is_by_bound: bool = False
    start_key_s: float = field(default=0.0, init=False)
    pressing_at_s: float = field(default=0.0, init=False)

    def __post_init__(self) -> None:
        """Initialize its position."""
        self._update(self.target_start_at_s)

    def note_late(self) -> None:
        """Record that it can no longer meet its target."""
        self.is_late = True
        self._update(self.deadline_start_at_s)

    def _update(self, start_at_s: float) -> None:
        slack_s = max(0.0, start_at_s - self.arrived_at_s)
        self.start_key_s = start_at_s + self.work_ms / 1000.0
        self.pressing_at_s = self.arrived_at_s + PRESSING_SHARE * slack_s

    @property
    def lane_key(self) -> "LaneKey":
        """What it has in common with the requests of its lane."""
        return self.rank, self.tenant, self.is_urgent, self.request_class

    def gives_way(self, now_s: float) -> bool:
        """Whether urgent requests go before it whatever its rank, as it has slack left."""
        return not self.is_urgent and now_s < self.pressing_at_s


LaneKey = tuple[int, str, bool, RequestClass]
