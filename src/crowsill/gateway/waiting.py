"""Lets a request wait while no replica can take it, or rejects it with a time to retry.

`wait_decision` decides, based on `wait_estimates`; this module does the waiting and reports demand
to placement.
"""

import asyncio
from dataclasses import dataclass, replace

from crowsill.gateway.admission import Admission
from crowsill.gateway.attempt import AttemptEnd, AttemptResult
from crowsill.gateway.context import ExchangeContext
from crowsill.gateway.exchange_log import ExchangeLog
from crowsill.gateway.exclusion import ExclusionReason
from crowsill.gateway.progress import Progress
from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.routing_table import is_urgent
from crowsill.gateway.selection import NoReplicaReason, first_to_open
from crowsill.gateway.wait_decision import (
    MAX_WAITING_TO_OPEN,
    WaitBudget,
    WaitEstimate,
    in_order,
    retry_delay_s,
    should_wait,
    wait_budget,
)
from crowsill.gateway.wait_estimates import estimate_wait, wait_cause
from crowsill.gateway.wait_history import WaitCause, WaitKey
from crowsill.gateway.wait_turns import Turn
from crowsill.model.routes import ModelWeights, Route

CAPACITY_POLL_S = 0.1
DEMAND_REPEAT_S = 0.3
# A replica that opened since the choice is tried after this time. Without any wait, a request that
# is never sent would stop the event loop.
OPENED_POLL_S = 0.01
# A stopping process makes callers retry at once: another gateway has the same routes.
STOPPING_RETRY_AFTER_S = 0.1


@dataclass(frozen=True, slots=True)
class RejectedRequest:
    """A request that is rejected because no replica can take it.

    Attributes:
        reason: Why no replica could take it when it was rejected.
        retry_after_s: Time after which the caller should retry.
        detail: Why the replica that opens first is closed, and for how long; for the error message.
    """

    reason: NoReplicaReason
    retry_after_s: float
    detail: str = ""


class WaitingRequest:
    """The waits of one request for a replica."""

    def __init__(
        self,
        context: ExchangeContext,
        request: CallerRequest,
        route: Route,
        progress: Progress,
        log: ExchangeLog,
        *,
        admission: Admission,
        is_from_peer: bool = False,
    ) -> None:
        self._is_from_peer = is_from_peer
        self._context = context
        self._request = request
        self._route = route
        self._is_urgent = is_urgent(route)
        self._progress = progress
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._turn = self._new_turn(admission)
        self._has_let_others_go = False
        # What the request waits for, if it is not known when that comes.
        self._wait_key: WaitKey | None = None

    def _new_turn(self, admission: Admission) -> Turn | None:
        """Return the place of the request in the queue; None if requests wait in no order."""
        context, tenant, service = self._context, admission.tenant, self._log.service
        if context.turns is None:
            return None
        return context.turns.turn(
            self._request,
            self._route,
            service,
            context.registry.latency_model(service),
            rank=admission.rank(self._route),
            tenant=None if tenant is None else tenant.name,
            table=context.table,
        )

    def goes_after_others(self) -> bool:
        """Whether a request that a replica could take lets others go first."""
        if self._turn is None or self._loop.time() >= self._context.wait_limit_at_s():
            return False
        if self._has_let_others_go:
            # Those that go first had their turns. They are still here since they need more room.
            return False
        # Where the queue is full, it is not refused for that: a replica can take it.
        return self._turn.goes_after_others() and self._turn.join(bool(self._progress.tried))

    async def wait_for_turn(self) -> None:
        """Wait, as `goes_after_others` said, until the others have had their turns."""
        await self._wait_for_change(CAPACITY_POLL_S)
        self._has_let_others_go = True

    def note_sent(self) -> None:
        """Record that the request is sent to a replica."""
        if self._turn is not None:
            self._turn.note_sent()
        self._end_wait()

    def note_end(self, end: AttemptEnd | None) -> None:
        """Record the end of an attempt; None if nothing was sent."""
        is_not_run = end is None or end.result is AttemptResult.NOT_RUN
        if self._turn is not None and is_not_run:
            self._turn.note_not_run()

    def end(self) -> None:
        """Stop waiting, because the request has ended."""
        if self._turn is not None:
            self._turn.leave()

    async def _wait_for_change(self, timeout_s: float) -> None:
        """Wait for any change, or for the turn of the request."""
        if self._turn is None:
            await self._context.wait_for_change(timeout_s)
        else:
            await self._turn.wait(timeout_s)

    async def wait(self, reason: NoReplicaReason) -> bool:
        """Wait for something to change; return False when the request must be rejected."""
        if reason is NoReplicaReason.ALL_TRIED:
            return False
        # Where no other gateway is known, nobody else can be asked, and a replica that crashed may
        # be back soon.
        if reason is NoReplicaReason.UNREACHABLE and not self._context.peers.registry.is_empty:
            return False
        request = self._request
        is_overloaded = reason is NoReplicaReason.ALL_FULL or self._is_limited(reason)
        if is_overloaded and self._progress.waiting_reason is not reason and request.model:
            self._context.demand.note_overloaded(self._log.service, request.model)
        if self._is_missing(reason):
            is_new = self._progress.waiting_reason is not reason
            self._context.demand.report_missing(self._log.service, request, is_new=is_new)
        if self._turn is not None and not self._turn.join(bool(self._progress.tried)):
            return False
        remaining_s = self._context.wait_limit_at_s() - self._loop.time()
        if remaining_s <= 0.0 or not should_wait(
            self._estimate(reason), self._wait_budget(), self._response_s()
        ):
            return False
        if self._progress.waiting_reason is not reason:
            self._progress.waiting_reason = reason
            self._log.log_waiting(reason, self._context.registry.version)
        # The control group forgets demand that is not reported again.
        poll_s = CAPACITY_POLL_S if reason is NoReplicaReason.ALL_FULL else DEMAND_REPEAT_S
        if reason is NoReplicaReason.ALL_CLOSED:
            return await self._wait_to_open(min(remaining_s, poll_s))
        await self._wait_and_record(reason, min(remaining_s, poll_s))
        return True

    async def _wait_and_record(self, reason: NoReplicaReason, time_s: float) -> None:
        """Wait for a change, and record how long.

        The time in which the request let others go first does not count.
        """
        self._note_cause(reason)
        if self._wait_key is None:
            await self._wait_for_change(time_s)
            return
        began_at_s, gave_way_s = self._loop.time(), self._gave_way_s()
        try:
            await self._wait_for_change(time_s)
        finally:
            now_s = self._loop.time()
            waited_s = now_s - began_at_s - (self._gave_way_s() - gave_way_s)
            self._context.registry.wait_history.note_waited(self._wait_key, waited_s, now_s)

    def _gave_way_s(self) -> float:
        return 0.0 if self._turn is None else self._turn.gave_way_s()

    def _note_cause(self, reason: NoReplicaReason) -> None:
        """Note what the request waits for; a load that was ordered ends the wait for its order."""
        records = self._context.registry.of_service(self._log.service)
        cause = wait_cause(reason, self._request, records)
        if self._wait_key is not None and self._wait_key.cause is WaitCause.LOAD_ORDER:
            is_ordered = reason is NoReplicaReason.NO_MODEL and cause is not WaitCause.LOAD_ORDER
            if is_ordered or reason is NoReplicaReason.ALL_FULL:
                self._end_wait()
        self._wait_key = None
        if cause is not None:
            self._wait_key = WaitKey(self._log.service, cause, self._request.model)

    def _end_wait(self) -> None:
        """Record that what the request waited for has come."""
        if self._wait_key is not None:
            history = self._context.registry.wait_history
            history.note_ended(self._wait_key, self._loop.time())
            self._wait_key = None

    async def _wait_to_open(self, time_s: float) -> bool:
        """Wait for some time; return False at once if enough others wait for the same replica.

        Requests that wait for other replicas of the service don't count. Nothing is awaited between
        two waits of one request, so that it keeps its position.
        """
        blocking = self._first_to_open()
        if blocking is None:
            await asyncio.sleep(OPENED_POLL_S)
            return True
        waiting = self._context.registry.waiting_to_open
        key = (blocking.instance.instance_id, self._is_urgent)
        if waiting[key] >= MAX_WAITING_TO_OPEN:
            return False
        waiting[key] += 1
        try:
            await self._wait_for_change(time_s)
        finally:
            waiting[key] -= 1
            if not waiting[key]:
                del waiting[key]
        return True

    def _first_to_open(self) -> ReplicaRecord | None:
        """Return the closed replica that could run the request and opens first, or None."""
        records = self._context.registry.of_service(self._log.service)
        return first_to_open(records, self._request, self._loop.time(), self._is_urgent)

    def _is_limited(self, reason: NoReplicaReason) -> bool:
        """Whether the request waits for the rate limit of a replica."""
        record = self._first_to_open() if reason is NoReplicaReason.ALL_CLOSED else None
        if record is None:
            return False
        closed = record.availability.exclusion(self._loop.time(), self._is_urgent)
        return closed is not None and closed.reason is ExclusionReason.RATE_LIMITED

    def give_up(self, reason: NoReplicaReason, rank: int) -> RejectedRequest:
        """Return the rejection of the request, with a time to retry.

        Args:
            reason: Why no replica can take it.
            rank: Its rank.
        """
        estimate, budget = self._estimate(reason), self._wait_budget()
        record = self._first_to_open()
        if record is not None and self._is_limited(reason):
            now_s = self._loop.time()
            ready_s = record.availability.reserve_retry_at_s(now_s, self._is_urgent) - now_s
            estimate = replace(estimate, ready_s=ready_s)
        if reason is NoReplicaReason.UNREACHABLE and self._progress.peer_retry_s < float("inf"):
            estimate = replace(estimate, ready_s=self._progress.peer_retry_s)
        spread = self._context.random.random()
        retry_after_s = retry_delay_s(estimate, budget, rank, spread)
        if self._context.is_stopping():
            # Another gateway can wait longer than this one.
            retry_after_s = STOPPING_RETRY_AFTER_S
        elif self._is_missing(reason):
            self._context.demand.keep_reporting(self._log.service, self._request)
        return RejectedRequest(reason, retry_after_s, self._closed_detail())

    def _is_missing(self, reason: NoReplicaReason) -> bool:
        """Whether the request needs a load that this gateway reports to the control group.

        A gateway that passed a request on reports it itself.
        """
        if self._is_from_peer or reason is not NoReplicaReason.NO_MODEL:
            return False
        return self._weights() is not None

    def _wait_budget(self) -> WaitBudget:
        request, route = self._request, self._route
        waited_s = self._loop.time() - request.arrived_at_s
        return wait_budget(route, request.wait_ms, waited_s)

    def _estimate(self, reason: NoReplicaReason) -> WaitEstimate:
        """Estimate when a replica may take the request."""
        registry, service = self._context.registry, self._log.service
        estimate = estimate_wait(
            reason,
            self._request,
            records=registry.of_service(service),
            weights=self._weights(),
            history=registry.wait_history,
            service=service,
            now_s=self._loop.time(),
            is_urgent=self._is_urgent,
        )
        if self._turn is None or reason is not NoReplicaReason.ALL_FULL:
            return estimate
        turn_after_s = self._turn.expected_after_s()
        return in_order(estimate, turn_after_s, self._wait_budget(), self._response_s())

    def _closed_detail(self) -> str:
        """Describe the closed replica that could run the request and opens first."""
        record = self._first_to_open()
        if record is None:
            return ""
        cause = "asked for rest"
        if self._is_limited(NoReplicaReason.ALL_CLOSED):
            cause = "has had all that its limit allows"
        remaining_s = record.availability.opens_at_s(self._is_urgent) - self._loop.time()
        instance_id = record.instance.instance_id
        return (
            f"every replica that could run it {cause}: {instance_id} for {remaining_s:.2f} s more"
        )

    def _weights(self) -> ModelWeights | None:
        """Return the model that the request needs, or None if the routes don't define it."""
        table = self._context.table
        service = None if table is None else table.services.get(self._log.service)
        if service is None or service.engine is None:
            return None
        return service.engine.model(self._request.model)

    def _response_s(self) -> float:
        """Return the time from sending the request to its first event at an idle engine."""
        request = self._request
        if not request.model:
            return 0.0
        latency_model = self._context.registry.latency_model(self._log.service)
        return latency_model.idle_first_event_ms(request.model, request.prompt_tokens) / 1000.0
