"""Filter: sends an admitted request, and to another replica where that is safe.

A request goes on to another replica only if the last one cannot have run it, or if it is safe to
repeat and nothing of an answer has been relayed. Every further try is paid from a retry budget.
"""

import asyncio
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from crowsill.backends.interface import BackendAnswer, CallFailure, CallPort, RefusalReason
from crowsill.clock import monotonic_s
from crowsill.errors import ErrorKind, Outcome, Problem
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.metrics import UPSTREAM_ATTEMPTS
from crowsill.model.request import ClassifiedRequest
from crowsill.pipeline.admit import Admission, Slot
from crowsill.pipeline.routing_table import TenantRoutes
from crowsill.routing.retry_budget import RetryBudget

MAX_ATTEMPTS = 4
# A replica that says what is true of it now has not failed.
_HEALTHY_REFUSALS = (RefusalReason.NOT_HERE, RefusalReason.LEAVING, RefusalReason.FULL)


@dataclass(frozen=True, slots=True)
class DispatchedAnswer:
    """An answer whose head has arrived, with the slot it holds."""

    answer: BackendAnswer
    slot: Slot


class Dispatcher:
    """Sends requests for one entry."""

    def __init__(self, admission: Admission, calls: CallPort, budget: RetryBudget) -> None:
        self._admission = admission
        self._calls = calls
        self._budget = budget

    async def dispatch(
        self, request: ClassifiedRequest, routes: TenantRoutes
    ) -> Result[DispatchedAnswer, Problem]:
        """Get the head of an answer from some replica."""
        self._budget.earn()
        excluded: frozenset[str] = frozenset()
        maybe_run = False
        for attempt in range(1, MAX_ATTEMPTS + 1):
            admitted = await self._admission.admit(request, routes, excluded)
            if not isinstance(admitted, Success):
                return Failure(_honest(admitted.failure(), maybe_run))
            slot = admitted.unwrap()
            _log_routed(request, slot, attempt)
            sent = await self._send(request, slot)
            if isinstance(sent, Success):
                return sent
            failure = sent.failure()
            maybe_run = maybe_run or failure.outcome is Outcome.UNKNOWN
            replica_id = slot.selection.replica.description.replica_id
            excluded = self._learn(request, slot, failure, excluded)
            if not self._may_retry(request, failure, attempt):
                break
            log_event(
                Event.REQUEST_RETRIED,
                request=request.request_id,
                replica=replica_id,
                reason=failure.reason,
                outcome=failure.outcome,
            )
        return Failure(_honest(_problem_of(failure), maybe_run))

    async def _send(
        self, request: ClassifiedRequest, slot: Slot
    ) -> Result[DispatchedAnswer, CallFailure]:
        timeout_s = max(0.001, request.deadline_at_s - monotonic_s())
        replica = slot.selection.replica.description
        try:
            sent = await self._calls.send(replica, request, timeout_s)
        except asyncio.CancelledError:
            self._admission.release(slot, succeeded=None)
            raise
        except BaseException:
            self._admission.release(slot, succeeded=False)
            raise
        if isinstance(sent, Success):
            UPSTREAM_ATTEMPTS.labels("answered").inc()
            return Success(DispatchedAnswer(sent.unwrap(), slot))
        failure = sent.failure()
        UPSTREAM_ATTEMPTS.labels(failure.reason).inc()
        if failure.rest_s > 0.0:
            # Before the slot is given back: what waits would take it into the rest.
            rest_until_s = monotonic_s() + failure.rest_s
            self._admission.selector.note_backoff(slot.selection.replica, rest_until_s)
        self._admission.release(slot, succeeded=failure.reason in _HEALTHY_REFUSALS)
        return Failure(failure)

    def _learn(
        self,
        request: ClassifiedRequest,
        slot: Slot,
        failure: CallFailure,
        excluded: frozenset[str],
    ) -> frozenset[str]:
        state = slot.selection.replica
        replica_id = state.description.replica_id
        candidates = self._admission.candidates
        if failure.reason is RefusalReason.NOT_HERE:
            candidates.note_not_resident(replica_id, request.resource, monotonic_s())
            return excluded
        if failure.reason is RefusalReason.LEAVING:
            candidates.note_draining(state)
            return excluded
        others = self._admission.replicas_for(request, excluded | {replica_id})
        # With no other replica left, the same one may be tried again.
        return excluded | {replica_id} if others else frozenset()

    def _may_retry(self, request: ClassifiedRequest, failure: CallFailure, attempt: int) -> bool:
        if attempt == MAX_ATTEMPTS or monotonic_s() >= request.deadline_at_s:
            return False
        if request.unsafe and failure.outcome is not Outcome.NOT_RUN:
            return False
        return self._budget.spend()


def _log_routed(request: ClassifiedRequest, slot: Slot, attempt: int) -> None:
    selection = slot.selection
    log_event(
        Event.REQUEST_ROUTED,
        request=request.request_id,
        tenant=request.tenant,
        resource=request.resource,
        urgency=request.urgency,
        replica=selection.replica.description.replica_id,
        reason=selection.reason,
        candidates=selection.candidates,
        waited_ms=round((slot.started_s - request.arrived_at_s) * 1000, 1),
        attempt=attempt,
    )


def _problem_of(failure: CallFailure) -> Problem:
    if failure.outcome is Outcome.NOT_RUN:
        detail = f"the replica did not run it: {failure.reason}"
        return Problem(ErrorKind.BACKEND_REFUSED, detail)
    if failure.reason is RefusalReason.TIMED_OUT:
        return Problem(ErrorKind.DEADLINE_EXCEEDED, "no answer before the deadline")
    return Problem(ErrorKind.BACKEND_FAILED, f"the replica failed: {failure.reason}")


def _honest(problem: Problem, maybe_run: bool) -> Problem:
    """Never say "not run" when an earlier try of the same request may have run."""
    if not maybe_run or problem.answer.outcome is Outcome.UNKNOWN:
        return problem
    return Problem(problem.kind, problem.detail, problem.retry_after_s, Outcome.UNKNOWN)
