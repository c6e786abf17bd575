"""Filters admit and select: a request gets a slot at a replica, waits for one, or is refused.

Waiting is bounded in number, by tenant and in time. A request whose estimated wait passes its
deadline is refused at once as not run, with the time after which it is worth coming back.
"""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from crowsill.clock import monotonic_s
from crowsill.errors import ErrorKind, Problem
from crowsill.metrics import QUEUED
from crowsill.model.configuration import Urgency
from crowsill.model.fleet import ReplicaState
from crowsill.model.request import ClassifiedRequest, RequestTarget
from crowsill.pipeline.routing_table import TenantRoutes
from crowsill.routing.candidates import CandidateIndex
from crowsill.routing.limits import TokenBucket
from crowsill.routing.selection import Selection, Selector
from crowsill.routing.waiting import Ticket, WaitingQueues

SWEEP_S = 0.05
LONGEST_RETRY_AFTER_S = 60


@dataclass(eq=False, slots=True)
class Slot:
    """A slot at a replica; it must be released exactly once."""

    selection: Selection
    started_s: float
    released: bool = False


class Admission:
    """Gives out the slots of one entry.

    Attributes:
        selector: Chooses replicas.
        candidates: Replicas by resource.
        on_placed: Told the replica of each slot that is given out.
    """

    def __init__(self, selector: Selector, candidates: CandidateIndex, max_queued: int) -> None:
        self.selector = selector
        self.candidates = candidates
        self._queues: WaitingQueues[asyncio.Future[Result[Slot, Problem]]]
        self._queues = WaitingQueues(max_queued)
        self._buckets: dict[str, TokenBucket] = {}
        self.on_placed: Callable[[str], None] = lambda _replica_id: None

    def check_rate(self, routes: TenantRoutes, now_s: float) -> Problem | None:
        """Hold a tenant to its rate; return the refusal, if any."""
        bucket = self._buckets.get(routes.tenant)
        if bucket is None:
            limits = routes.limits
            bucket = TokenBucket(limits.requests_per_s, limits.burst, now_s)
            self._buckets[routes.tenant] = bucket
        if bucket.take(now_s):
            return None
        return Problem(ErrorKind.RATE_LIMITED, f"tenant {routes.tenant} is over its rate")

    def forget_rates(self) -> None:
        """Start over with the limits of a new configuration."""
        self._buckets.clear()

    def replicas_for(
        self, request: ClassifiedRequest, excluded: frozenset[str]
    ) -> list[ReplicaState]:
        """Return the replicas that can answer a request."""
        if request.target is RequestTarget.SERVICE:
            found = self.candidates.for_pool(request.pool)
        else:
            found = self.candidates.for_model(request.resource, monotonic_s())
        if not excluded:
            return found
        return [state for state in found if state.description.replica_id not in excluded]

    async def admit(
        self, request: ClassifiedRequest, routes: TenantRoutes, excluded: frozenset[str]
    ) -> Result[Slot, Problem]:
        """Get a slot, waiting for it if need be.

        Args:
            request: The request.
            routes: Its tenant's routes, for the limit on waiting.
            excluded: Replicas that refused it before.
        """
        now_s = monotonic_s()
        if self._queues.count_ahead(request.urgency, request.resource) == 0:
            slot = self._try_slot(request, excluded, now_s)
            if slot is not None:
                return Success(slot)
        refusal = self._refusal(request, routes, excluded, now_s)
        if refusal is not None:
            return Failure(refusal)
        return await self._wait(request)

    def _try_slot(
        self, request: ClassifiedRequest, excluded: frozenset[str], now_s: float
    ) -> Slot | None:
        replicas = self.replicas_for(request, excluded)
        selection = self.selector.select(request, replicas, now_s)
        if selection is None:
            return None
        replica_id = selection.replica.description.replica_id
        self.selector.loads.started(replica_id)
        self.selector.circuit(replica_id).started()
        self.on_placed(replica_id)
        return Slot(selection, now_s)

    def _refusal(
        self,
        request: ClassifiedRequest,
        routes: TenantRoutes,
        excluded: frozenset[str],
        now_s: float,
    ) -> Problem | None:
        full = self._queues.is_full_for_patient
        if request.urgency is Urgency.URGENT:
            full = self._queues.is_full
        if full:
            return Problem(ErrorKind.OVERLOADED, "too many requests wait here")
        if self._queues.count_tenant(request.tenant) >= routes.limits.max_queued:
            return Problem(ErrorKind.OVERLOADED, f"tenant {routes.tenant} has too many waiting")
        if not self.candidates.for_pool(request.pool):
            return Problem(ErrorKind.NO_REPLICA, f"no replica of pool {request.pool} is available")
        wait_s = self._estimated_wait_s(request, excluded, now_s)
        if now_s + wait_s > request.deadline_at_s:
            detail = f"the estimated wait of {wait_s:.1f} s passes the deadline"
            after_s = min(LONGEST_RETRY_AFTER_S, max(1, math.ceil(wait_s)))
            return Problem(ErrorKind.OVERLOADED, detail, retry_after_s=after_s)
        return None

    def _estimated_wait_s(
        self, request: ClassifiedRequest, excluded: frozenset[str], now_s: float
    ) -> float:
        """Requests ahead, times what each holds a slot for, over the slots of this entry.

        After the first rest is over, where all replicas asked for one.
        """
        replicas = self.replicas_for(request, excluded)
        if not replicas:
            return 0.0  # The model is being loaded; how long that takes is not known here.
        urgent = request.urgency is Urgency.URGENT
        slots = sum(self.selector.slots(state, urgent) for state in replicas)
        loads = [self.selector.loads.of(state.description.replica_id) for state in replicas]
        service_s = sum(load.mean_service_s for load in loads) / len(loads)
        ahead = self._queues.count_ahead(request.urgency, request.resource)
        rest_s = min(self.selector.backoff_left_s(state, now_s) for state in replicas)
        return rest_s + (ahead + 1) * service_s / max(1, slots)

    async def _wait(self, request: ClassifiedRequest) -> Result[Slot, Problem]:
        future: asyncio.Future[Result[Slot, Problem]]
        future = asyncio.get_running_loop().create_future()
        ticket = self._queues.push(request, future)
        self._count_queued()
        try:
            return await future
        except asyncio.CancelledError:
            self._give_up(ticket)
            raise

    def _give_up(self, ticket: Ticket[asyncio.Future[Result[Slot, Problem]]]) -> None:
        self._queues.remove(ticket)
        self._count_queued()
        future = ticket.value
        if future.done() and not future.cancelled():
            # A slot was given in the same moment in which the caller left.
            granted = future.result()
            if isinstance(granted, Success):
                self.release(granted.unwrap(), succeeded=None)

    def release(self, slot: Slot, succeeded: bool | None) -> None:
        """Give a slot back and offer it to those who wait.

        Args:
            slot: The slot.
            succeeded: Whether the replica did its part; None says nothing about its health.
        """
        if slot.released:
            return
        slot.released = True
        now_s = monotonic_s()
        replica_id = slot.selection.replica.description.replica_id
        self.selector.ended(replica_id, now_s - slot.started_s, succeeded, now_s)
        self.place_waiting()

    def place_waiting(self) -> None:
        """Offer free slots to waiting requests; call when replicas or loads changed."""
        if not len(self._queues):
            return
        now_s = monotonic_s()

        def try_dispatch(ticket: Ticket[asyncio.Future[Result[Slot, Problem]]]) -> bool:
            slot = self._try_slot(ticket.request, frozenset(), now_s)
            if slot is None:
                return False
            ticket.value.set_result(Success(slot))
            return True

        self._queues.dispatch(try_dispatch)
        self._count_queued()

    async def sweep(self) -> None:
        """Refuse waiting requests whose deadline passes, for as long as the entry runs."""
        while True:
            await asyncio.sleep(SWEEP_S)
            self.refuse_expired()
            self.place_waiting()

    def refuse_expired(self) -> None:
        """Refuse waiting requests whose deadline has passed."""
        for ticket in self._queues.expired(monotonic_s()):
            problem = Problem(ErrorKind.OVERLOADED, "no replica was free before the deadline")
            if not ticket.value.done():
                ticket.value.set_result(Failure(problem))
        self._count_queued()

    def _count_queued(self) -> None:
        for urgency in Urgency:
            QUEUED.labels(urgency).set(self._queues.count(urgency))
