"""Filters for admission and selection: a request gets a slot at a replica, waits, or is rejected.

The number of waiting requests is limited in total and per tenant. A request whose estimated wait
exceeds its deadline is rejected at once as not run, with the estimated wait as `Retry-After`.
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

# Interval at which expired requests are rejected.
SWEEP_INTERVAL_S = 0.05
MAX_RETRY_AFTER_S = 60


@dataclass(eq=False, slots=True)
class Slot:
    """A slot at a replica; it must be released exactly once.

    Attributes:
        selection: The selected replica.
        started_at_s: Monotonic time at which the slot was acquired.
        released: Whether the slot was released.
    """

    selection: Selection
    started_at_s: float
    released: bool = False


class Admission:
    """Grants the slots of one entry to requests.

    Attributes:
        selector: Selects replicas.
        candidates: Replicas by resource.
        on_slot_granted: Called with the replica's id for each granted slot.
    """

    def __init__(self, selector: Selector, candidates: CandidateIndex, max_queued: int) -> None:
        self.selector = selector
        self.candidates = candidates
        self._queues: WaitingQueues[asyncio.Future[Result[Slot, Problem]]]
        self._queues = WaitingQueues(max_queued)
        self._buckets: dict[str, TokenBucket] = {}
        self.on_slot_granted: Callable[[str], None] = lambda _replica_id: None

    def check_rate(self, routes: TenantRoutes, now_s: float) -> Problem | None:
        """Apply a tenant's rate limit; return a problem if it is exceeded, else None."""
        bucket = self._buckets.get(routes.tenant)
        if bucket is None:
            limits = routes.limits
            bucket = TokenBucket(limits.requests_per_s, limits.burst, now_s)
            self._buckets[routes.tenant] = bucket
        if bucket.take(now_s):
            return None
        return Problem(ErrorKind.RATE_LIMITED, f"tenant {routes.tenant} exceeds its rate limit")

    def reset_rate_limits(self) -> None:
        """Drop the token buckets, so that the limits of a new configuration apply."""
        self._buckets.clear()

    def replicas_for(
        self, request: ClassifiedRequest, excluded: frozenset[str]
    ) -> list[ReplicaState]:
        """Return the replicas that can serve a request, without the excluded ones."""
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
        """Get a slot; wait for one if none is free.

        Args:
            request: The request.
            routes: Routes of its tenant, for the limit on waiting requests.
            excluded: Replicas that have failed or rejected it before.
        """
        now_s = monotonic_s()
        if self._queues.count_ahead(request.urgency, request.resource) == 0:
            slot = self._try_acquire_slot(request, excluded, now_s)
            if slot is not None:
                return Success(slot)
        rejection = self._rejection(request, routes, excluded, now_s)
        if rejection is not None:
            return Failure(rejection)
        return await self._wait(request)

    def _try_acquire_slot(
        self, request: ClassifiedRequest, excluded: frozenset[str], now_s: float
    ) -> Slot | None:
        replicas = self.replicas_for(request, excluded)
        selection = self.selector.select(request, replicas, now_s)
        if selection is None:
            return None
        replica_id = selection.replica.description.replica_id
        self.selector.loads.started(replica_id)
        self.selector.circuit(replica_id).started()
        self.on_slot_granted(replica_id)
        return Slot(selection, now_s)

    def _rejection(
        self,
        request: ClassifiedRequest,
        routes: TenantRoutes,
        excluded: frozenset[str],
        now_s: float,
    ) -> Problem | None:
        is_full = self._queues.is_full_for_patient
        if request.urgency is Urgency.URGENT:
            is_full = self._queues.is_full
        if is_full:
            return Problem(ErrorKind.OVERLOADED, "too many requests are waiting at this entry")
        if self._queues.count_tenant(request.tenant) >= routes.limits.max_queued:
            return Problem(
                ErrorKind.OVERLOADED, f"tenant {routes.tenant} has too many waiting requests"
            )
        if not self.candidates.for_pool(request.pool):
            return Problem(ErrorKind.NO_REPLICA, f"no replica of pool {request.pool} is available")
        wait_s = self._estimated_wait_s(request, excluded, now_s)
        if now_s + wait_s > request.deadline_at_s:
            detail = f"the estimated wait of {wait_s:.1f} s exceeds the deadline"
            retry_after_s = min(MAX_RETRY_AFTER_S, max(1, math.ceil(wait_s)))
            return Problem(ErrorKind.OVERLOADED, detail, retry_after_s=retry_after_s)
        return None

    def _estimated_wait_s(
        self, request: ClassifiedRequest, excluded: frozenset[str], now_s: float
    ) -> float:
        """Return the estimated wait for a slot in seconds.

        This is the shortest remaining backoff of a replica, plus the mean service time multiplied
        by the position in the queue and divided by the number of this entry's slots.
        """
        replicas = self.replicas_for(request, excluded)
        if not replicas:
            return 0.0  # The model is loading; the entry doesn't know how long that takes.
        urgent = request.urgency is Urgency.URGENT
        slots = sum(self.selector.slots(state, urgent) for state in replicas)
        loads = [self.selector.loads.of(state.description.replica_id) for state in replicas]
        service_s = sum(load.mean_service_s for load in loads) / len(loads)
        ahead = self._queues.count_ahead(request.urgency, request.resource)
        backoff_s = min(self.selector.backoff_left_s(state, now_s) for state in replicas)
        return backoff_s + (ahead + 1) * service_s / max(1, slots)

    async def _wait(self, request: ClassifiedRequest) -> Result[Slot, Problem]:
        future: asyncio.Future[Result[Slot, Problem]]
        future = asyncio.get_running_loop().create_future()
        ticket = self._queues.push(request, future)
        self._update_queue_metrics()
        try:
            return await future
        except asyncio.CancelledError:
            self._abandon_wait(ticket)
            raise

    def _abandon_wait(self, ticket: Ticket[asyncio.Future[Result[Slot, Problem]]]) -> None:
        self._queues.remove(ticket)
        self._update_queue_metrics()
        future = ticket.value
        if future.done() and not future.cancelled():
            # A slot was granted just before the caller disconnected.
            result = future.result()
            if isinstance(result, Success):
                self.release(result.unwrap(), succeeded=None)

    def release(self, slot: Slot, succeeded: bool | None) -> None:
        """Release a slot and grant it to a waiting request.

        Args:
            slot: The slot.
            succeeded: Whether the replica worked as expected; None if the outcome shows nothing
                about its health.
        """
        if slot.released:
            return
        slot.released = True
        now_s = monotonic_s()
        replica_id = slot.selection.replica.description.replica_id
        self.selector.ended(replica_id, now_s - slot.started_at_s, succeeded, now_s)
        self.dispatch_waiting()

    def dispatch_waiting(self) -> None:
        """Grant free slots to waiting requests; call it after replicas or loads have changed."""
        if not len(self._queues):
            return
        now_s = monotonic_s()

        def try_dispatch(ticket: Ticket[asyncio.Future[Result[Slot, Problem]]]) -> bool:
            slot = self._try_acquire_slot(ticket.request, frozenset(), now_s)
            if slot is None:
                return False
            ticket.value.set_result(Success(slot))
            return True

        self._queues.dispatch(try_dispatch)
        self._update_queue_metrics()

    async def sweep(self) -> None:
        """Reject expired requests and grant free slots periodically, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.reject_expired()
            self.dispatch_waiting()

    def reject_expired(self) -> None:
        """Reject waiting requests whose deadline has passed."""
        for ticket in self._queues.expired(monotonic_s()):
            problem = Problem(ErrorKind.OVERLOADED, "no slot became free before the deadline")
            if not ticket.value.done():
                ticket.value.set_result(Failure(problem))
        self._update_queue_metrics()

    def _update_queue_metrics(self) -> None:
        for urgency in Urgency:
            QUEUED.labels(urgency).set(self._queues.count(urgency))
