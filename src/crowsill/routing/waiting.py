"""Bounded queues of requests that wait for a replica: pure, without clock or tasks of its own."""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

from crowsill.model.configuration import Urgency
from crowsill.model.request import ClassifiedRequest

T = TypeVar("T")


@dataclass(eq=False, slots=True)
class Ticket(Generic[T]):
    """A place in a queue; `value` is what the owner waits with."""

    request: ClassifiedRequest
    value: T
    sequence: int


class WaitingQueues(Generic[T]):
    """First come, first served within one urgency and resource; urgent before patient.

    Requests for one resource never hold up those for another, since their replicas differ.
    """

    def __init__(self, max_total: int) -> None:
        self._max_total = max_total
        self._queues: dict[Urgency, dict[str, deque[Ticket[T]]]] = {
            Urgency.URGENT: {},
            Urgency.PATIENT: {},
        }
        self._by_tenant: dict[str, int] = {}
        self._sequence = 0
        self._total = 0

    def __len__(self) -> int:
        return self._total

    def count(self, urgency: Urgency) -> int:
        """Return how many requests of an urgency wait."""
        return sum(len(queue) for queue in self._queues[urgency].values())

    def count_tenant(self, tenant: str) -> int:
        """Return how many requests of a tenant wait."""
        return self._by_tenant.get(tenant, 0)

    def count_ahead(self, urgency: Urgency, resource: str) -> int:
        """Return how many requests a new one would wait behind."""
        ahead = len(self._queues[Urgency.URGENT].get(resource, ()))
        if urgency is Urgency.PATIENT:
            ahead += len(self._queues[Urgency.PATIENT].get(resource, ()))
        return ahead

    @property
    def is_full_for_patient(self) -> bool:
        """Whether no patient request fits; urgent ones may use the last tenth."""
        return self._total >= self._max_total * 0.9

    @property
    def is_full(self) -> bool:
        """Whether nothing fits at all."""
        return self._total >= self._max_total

    def push(self, request: ClassifiedRequest, value: T) -> Ticket[T]:
        """Append a request to its queue."""
        self._sequence += 1
        ticket = Ticket(request, value, self._sequence)
        queues = self._queues[request.urgency]
        queues.setdefault(request.resource, deque()).append(ticket)
        self._total += 1
        self._by_tenant[request.tenant] = self.count_tenant(request.tenant) + 1
        return ticket

    def remove(self, ticket: Ticket[T]) -> bool:
        """Take a request out; return False when it was out already."""
        queues = self._queues[ticket.request.urgency]
        queue = queues.get(ticket.request.resource)
        if queue is None or ticket not in queue:
            return False
        queue.remove(ticket)
        self._removed(ticket, queue)
        return True

    def _removed(self, ticket: Ticket[T], queue: deque[Ticket[T]]) -> None:
        request = ticket.request
        self._total -= 1
        left = self.count_tenant(request.tenant) - 1
        if left:
            self._by_tenant[request.tenant] = left
        else:
            del self._by_tenant[request.tenant]
        if not queue:
            del self._queues[request.urgency][request.resource]

    def place(self, try_place: Callable[[Ticket[T]], bool]) -> None:
        """Offer heads of queues, urgent and oldest first, until none can be placed.

        Args:
            try_place: Places a request if a replica has room, and says whether it did.
        """
        for urgency in (Urgency.URGENT, Urgency.PATIENT):
            for queue in self._oldest_first(urgency):
                while queue and try_place(queue[0]):
                    self._removed(queue.popleft(), queue)

    def _oldest_first(self, urgency: Urgency) -> list[deque[Ticket[T]]]:
        queues = list(self._queues[urgency].values())
        return sorted(queues, key=lambda queue: queue[0].sequence)

    def expired(self, now_s: float) -> Iterator[Ticket[T]]:
        """Take out and yield requests whose deadline has passed."""
        for queues in self._queues.values():
            for queue in list(queues.values()):
                late = [ticket for ticket in queue if ticket.request.deadline_s <= now_s]
                for ticket in late:
                    self.remove(ticket)
                    yield ticket
