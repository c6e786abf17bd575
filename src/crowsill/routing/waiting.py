"""Bounded queues of requests that wait for a replica. Pure: without a clock or tasks."""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

from crowsill.model.configuration import Urgency
from crowsill.model.request import ClassifiedRequest

T = TypeVar("T")


@dataclass(eq=False, slots=True)
class Ticket(Generic[T]):
    """A request in a queue.

    Attributes:
        request: The request.
        value: An object of the caller, such as the future that it awaits.
        sequence: Order of arrival.
    """

    request: ClassifiedRequest
    value: T
    sequence: int


class WaitingQueues(Generic[T]):
    """FIFO queues by urgency and resource; urgent requests go before patient ones.

    Requests for one resource never block those for another, because their replicas differ.
    """

    def __init__(self, max_total: int) -> None:
        self._max_total = max_total
        self._queues: dict[Urgency, dict[str, deque[Ticket[T]]]] = {
            Urgency.URGENT: {},
            Urgency.PATIENT: {},
        }
        self._count_by_tenant: dict[str, int] = {}
        self._sequence = 0
        self._total = 0

    def __len__(self) -> int:
        return self._total

    def count(self, urgency: Urgency) -> int:
        """Return the number of waiting requests of an urgency."""
        return sum(len(queue) for queue in self._queues[urgency].values())

    def count_tenant(self, tenant: str) -> int:
        """Return the number of waiting requests of a tenant."""
        return self._count_by_tenant.get(tenant, 0)

    def count_ahead(self, urgency: Urgency, resource: str) -> int:
        """Return the number of requests that are served before a new one."""
        ahead = len(self._queues[Urgency.URGENT].get(resource, ()))
        if urgency is Urgency.PATIENT:
            ahead += len(self._queues[Urgency.PATIENT].get(resource, ()))
        return ahead

    @property
    def is_full_for_patient(self) -> bool:
        """Whether patient requests are rejected; the last tenth is kept for urgent ones."""
        return self._total >= self._max_total * 0.9

    @property
    def is_full(self) -> bool:
        """Whether all requests are rejected."""
        return self._total >= self._max_total

    def push(self, request: ClassifiedRequest, value: T) -> Ticket[T]:
        """Append a request to its queue and return its ticket."""
        self._sequence += 1
        ticket = Ticket(request, value, self._sequence)
        queues = self._queues[request.urgency]
        queues.setdefault(request.resource, deque()).append(ticket)
        self._total += 1
        self._count_by_tenant[request.tenant] = self.count_tenant(request.tenant) + 1
        return ticket

    def remove(self, ticket: Ticket[T]) -> bool:
        """Remove a request; return False if it was removed before."""
        queues = self._queues[ticket.request.urgency]
        queue = queues.get(ticket.request.resource)
        if queue is None or ticket not in queue:
            return False
        queue.remove(ticket)
        self._update_counts(ticket, queue)
        return True

    def _update_counts(self, ticket: Ticket[T], queue: deque[Ticket[T]]) -> None:
        """Update the counts after a ticket was removed, and drop the queue if it is empty."""
        request = ticket.request
        self._total -= 1
        left = self.count_tenant(request.tenant) - 1
        if left:
            self._count_by_tenant[request.tenant] = left
        else:
            del self._count_by_tenant[request.tenant]
        if not queue:
            del self._queues[request.urgency][request.resource]

    def dispatch(self, try_dispatch: Callable[[Ticket[T]], bool]) -> None:
        """Dispatch the heads of the queues, urgent and oldest first, until none fits.

        Args:
            try_dispatch: Assigns a request to a replica with a free slot; returns whether it did.
        """
        for urgency in (Urgency.URGENT, Urgency.PATIENT):
            for queue in self._oldest_first(urgency):
                while queue and try_dispatch(queue[0]):
                    self._update_counts(queue.popleft(), queue)

    def _oldest_first(self, urgency: Urgency) -> list[deque[Ticket[T]]]:
        queues = list(self._queues[urgency].values())
        return sorted(queues, key=lambda queue: queue[0].sequence)

    def expired(self, now_s: float) -> Iterator[Ticket[T]]:
        """Remove and yield the requests whose deadline has passed."""
        for queues in self._queues.values():
            for queue in list(queues.values()):
                expired = [ticket for ticket in queue if ticket.request.deadline_at_s <= now_s]
                for ticket in expired:
                    self.remove(ticket)
                    yield ticket
