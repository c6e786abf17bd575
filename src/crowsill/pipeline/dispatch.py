"""Filter for dispatch: sends an admitted request to a replica, and retries it if that is safe.

A request is retried only if the last replica can't have run it, or if it is safe to repeat and no
part of a response was relayed. Every retry spends a token of the retry budget.
"""

import asyncio
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from crowsill.backends.interface import BackendResponse, CallFailure, CallPort, FailureReason
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
# A replica that rejects a request for one of these reasons works as expected, so the rejection
# does not count as a failure for its circuit breaker.
_HEALTHY_REJECTIONS = (FailureReason.NOT_LOADED, FailureReason.DRAINING, FailureReason.FULL)


@dataclass(frozen=True, slots=True)
class DispatchedResponse:
    """A response whose head has been received, with the slot that it occupies."""

    response: BackendResponse
    slot: Slot


class Dispatcher:
    """Sends requests for one entry."""

    def __init__(self, admission: Admission, calls: CallPort, budget: RetryBudget) -> None:
        self._admission = admission
        self._calls = calls
        self._budget = budget

    async def dispatch(
        self, request: ClassifiedRequest, routes: TenantRoutes
    ) -> Result[DispatchedResponse, Problem]:
        """Send a request until a replica responds; return the response with its body unread."""
        self._budget.earn()
        excluded: frozenset[str] = frozenset()
        may_have_run = False
        for attempt in range(1, MAX_ATTEMPTS + 1):
            admitted = await self._admission.admit(request, routes, excluded)
            if not isinstance(admitted, Success):
                return Failure(_correct_outcome(admitted.failure(), may_have_run))
            slot = admitted.unwrap()
            _log_routed(request, slot, attempt)
            sent = await self._send(request, slot)
            if isinstance(sent, Success):
                return sent
            failure = sent.failure()
            may_have_run = may_have_run or failure.outcome is Outcome.UNKNOWN
            replica_id = slot.selection.replica.description.replica_id
            excluded = self._note_failure(request, slot, failure, excluded)
            if not self._may_retry(request, failure, attempt):
                break
            log_event(
                Event.REQUEST_RETRIED,
                request=request.request_id,
                replica=replica_id,
                reason=failure.reason,
                outcome=failure.outcome,
            )
        return Failure(_correct_outcome(_problem_of(failure), may_have_run))

    async def _send(
        self, request: ClassifiedRequest, slot: Slot
    ) -> Result[DispatchedResponse, CallFailure]:
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
            return Success(DispatchedResponse(sent.unwrap(), slot))
        failure = sent.failure()
        UPSTREAM_ATTEMPTS.labels(failure.reason).inc()
        if failure.backoff_s > 0.0:
            # Recorded before the slot is released; otherwise a waiting request would get the slot
            # during the backoff.
            backoff_ends_at_s = monotonic_s() + failure.backoff_s
            self._admission.selector.note_backoff(slot.selection.replica, backoff_ends_at_s)
        self._admission.release(slot, succeeded=failure.reason in _HEALTHY_REJECTIONS)
        return Failure(failure)

    def _note_failure(
        self,
        request: ClassifiedRequest,
        slot: Slot,
        failure: CallFailure,
        excluded: frozenset[str],
    ) -> frozenset[str]:
        state = slot.selection.replica
        replica_id = state.description.replica_id
        candidates = self._admission.candidates
        if failure.reason is FailureReason.NOT_LOADED:
            candidates.note_not_resident(replica_id, request.resource, monotonic_s())
            return excluded
        if failure.reason is FailureReason.DRAINING:
            candidates.note_draining(state)
            return excluded
        others = self._admission.replicas_for(request, excluded | {replica_id})
        # If no other replica is left, the same ones may be tried again.
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
        waited_ms=round((slot.started_at_s - request.arrived_at_s) * 1000, 1),
        attempt=attempt,
    )


def _problem_of(failure: CallFailure) -> Problem:
    if failure.outcome is Outcome.NOT_RUN:
        detail = f"the replica did not run it: {failure.reason}"
        return Problem(ErrorKind.BACKEND_REFUSED, detail)
    if failure.reason is FailureReason.TIMED_OUT:
        return Problem(ErrorKind.DEADLINE_EXCEEDED, "no response before the deadline")
    return Problem(ErrorKind.BACKEND_FAILED, f"the replica failed: {failure.reason}")


def _correct_outcome(problem: Problem, may_have_run: bool) -> Problem:
    """Replace the outcome `not_run` by `unknown` if an earlier attempt may have run."""
    if not may_have_run or problem.answer.outcome is Outcome.UNKNOWN:
        return problem
    return Problem(problem.kind, problem.detail, problem.retry_after_s, Outcome.UNKNOWN)
