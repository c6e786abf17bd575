"""The request path of an entry: runs the filters in their order."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from crowsill.clock import monotonic_s
from crowsill.errors import ErrorKind, Problem
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.metrics import (
    IN_FLIGHT,
    attained_counter,
    first_byte_histogram,
    request_counter,
)
from crowsill.model.request import ClassifiedRequest
from crowsill.pipeline.admit import Admission
from crowsill.pipeline.authenticate import authenticate
from crowsill.pipeline.classify import classify
from crowsill.pipeline.deduplicate import ClaimHandle, Deduplicator
from crowsill.pipeline.dispatch import Dispatcher
from crowsill.pipeline.incoming import CompleteResponse, IncomingRequest, PipelineResponse
from crowsill.pipeline.relay import Relay
from crowsill.pipeline.routing_table import RoutingTable, TenantRoutes

RESULT_ANSWERED = "answered"
RESULT_BROKEN = "broken_stream"


@dataclass(frozen=True, slots=True)
class Filters:
    """The filters that hold state."""

    admission: Admission
    deduplicator: Deduplicator
    dispatcher: Dispatcher
    relay: Relay


class Pipeline:
    """Serves requests of callers.

    Attributes:
        table: Routes of the newest configuration; None until one was received.
        in_flight: Number of requests without a complete response.
    """

    def __init__(self, filters: Filters, count_demand: Callable[[str], None]) -> None:
        """Create a pipeline.

        Args:
            filters: The filters that hold state.
            count_demand: Called with the resource of each classified request.
        """
        self._filters = filters
        self._count_demand = count_demand
        self.table: RoutingTable | None = None
        self.in_flight = 0
        self._unsafe_runs: set[asyncio.Task[Result[CompleteResponse, Problem]]] = set()

    async def serve(self, incoming: IncomingRequest) -> Result[PipelineResponse, Problem]:
        """Serve one request.

        A streamed request stays in flight until its stream ends.
        """
        now_s = monotonic_s()
        table = self.table
        if table is None:
            detail = "this entry has not received a configuration yet"
            return Failure(Problem(ErrorKind.NOT_READY, detail))
        authenticated = authenticate(incoming, table)
        if not isinstance(authenticated, Success):
            return Failure(authenticated.failure())
        routes = authenticated.unwrap()
        classified = classify(incoming, routes, now_s)
        if not isinstance(classified, Success):
            return Failure(classified.failure())
        return await self._serve_classified(classified.unwrap(), routes)

    async def _serve_classified(
        self, request: ClassifiedRequest, routes: TenantRoutes
    ) -> Result[PipelineResponse, Problem]:
        self._note_started()
        self._count_demand(request.resource)
        streaming = False
        try:
            if request.unsafe:
                result: Result[PipelineResponse, Problem] = await self._serve_unsafe(
                    request, routes
                )
            else:
                rejection = self._filters.admission.check_rate(routes, request.arrived_at_s)
                if rejection is not None:
                    result = Failure(rejection)
                elif request.streamed:
                    result = await self._serve_stream(request, routes)
                    streaming = isinstance(result, Success)
                else:
                    result = await self._serve_complete(request, routes)
        finally:
            if not streaming:
                self._note_ended()
        _record_result(request, result)
        return result

    def _note_started(self) -> None:
        self.in_flight += 1
        IN_FLIGHT.set(self.in_flight)

    def _note_ended(self) -> None:
        self.in_flight -= 1
        IN_FLIGHT.set(self.in_flight)

    async def _serve_complete(
        self, request: ClassifiedRequest, routes: TenantRoutes
    ) -> Result[PipelineResponse, Problem]:
        result = await self._run_to_completion(request, routes)
        return Success(result.unwrap()) if isinstance(result, Success) else result

    async def _run_to_completion(
        self, request: ClassifiedRequest, routes: TenantRoutes
    ) -> Result[CompleteResponse, Problem]:
        dispatched = await self._filters.dispatcher.dispatch(request, routes)
        if not isinstance(dispatched, Success):
            return Failure(dispatched.failure())
        return await self._filters.relay.read_complete(request, dispatched.unwrap())

    async def _serve_stream(
        self, request: ClassifiedRequest, routes: TenantRoutes
    ) -> Result[PipelineResponse, Problem]:
        dispatched = await self._filters.dispatcher.dispatch(request, routes)
        if not isinstance(dispatched, Success):
            return Failure(dispatched.failure())

        def on_end(complete: bool) -> None:
            self._note_ended()
            if not complete:
                request_counter(request.tenant, request.urgency, RESULT_BROKEN).inc()

        return Success(self._filters.relay.stream(request, dispatched.unwrap(), on_end))

    async def _serve_unsafe(
        self, request: ClassifiedRequest, routes: TenantRoutes
    ) -> Result[PipelineResponse, Problem]:
        claimed = await self._filters.deduplicator.claim(request)
        if not isinstance(claimed, Success):
            return Failure(claimed.failure())
        claim = claimed.unwrap()
        if isinstance(claim, CompleteResponse):
            return Success(claim)
        # The run continues and its result is recorded even if the caller disconnects.
        task = asyncio.create_task(self._run_claimed(request, routes, claim))
        self._unsafe_runs.add(task)
        task.add_done_callback(self._unsafe_runs.discard)
        result = await asyncio.shield(task)
        return Success(result.unwrap()) if isinstance(result, Success) else result

    async def _run_claimed(
        self, request: ClassifiedRequest, routes: TenantRoutes, claim: ClaimHandle
    ) -> Result[CompleteResponse, Problem]:
        deduplicator = self._filters.deduplicator
        rejection = self._filters.admission.check_rate(routes, request.arrived_at_s)
        if rejection is not None:
            deduplicator.settle_problem(claim, rejection)
            return Failure(rejection)
        try:
            result = await self._run_to_completion(request, routes)
        except BaseException:
            deduplicator.settle_problem(claim, Problem(ErrorKind.INTERNAL, "unexpected error"))
            raise
        if isinstance(result, Success):
            deduplicator.settle_response(claim, result.unwrap())
        else:
            deduplicator.settle_problem(claim, result.failure())
        return result

    @property
    def unfinished_count(self) -> int:
        """Number of requests, unsafe runs and settlements that a planned stop waits for."""
        return self.in_flight + len(self._unsafe_runs) + self._filters.deduplicator.unsettled_count


def _record_result(request: ClassifiedRequest, result: Result[PipelineResponse, Problem]) -> None:
    elapsed_s = monotonic_s() - request.arrived_at_s
    if not isinstance(result, Success):
        problem = result.failure()
        request_counter(request.tenant, request.urgency, problem.kind).inc()
        log_event(
            Event.REQUEST_REFUSED,
            request=request.request_id,
            tenant=request.tenant,
            resource=request.resource,
            kind=problem.kind,
            outcome=problem.answer.outcome,
            detail=problem.detail,
        )
        return
    request_counter(request.tenant, request.urgency, RESULT_ANSWERED).inc()
    first_byte_histogram(request.urgency).observe(elapsed_s)
    if elapsed_s * 1000 <= request.target_ms:
        attained_counter(request.tenant, request.urgency).inc()
    log_event(Event.REQUEST_FINISHED, request=request.request_id, ms=round(elapsed_s * 1000, 1))
