"""The request path: the filters in their order."""

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
from crowsill.pipeline.incoming import Answer, IncomingRequest, WholeAnswer
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
        table: Routes of the revision in force; None until one is known to be current.
        in_flight: Requests that are not answered yet.
    """

    def __init__(self, filters: Filters, count_demand: Callable[[str], None]) -> None:
        """Make a pipeline.

        Args:
            filters: The filters that hold state.
            count_demand: Told the resource of each classified request.
        """
        self._filters = filters
        self._count_demand = count_demand
        self.table: RoutingTable | None = None
        self.in_flight = 0
        self._running: set[asyncio.Task[Result[WholeAnswer, Problem]]] = set()

    async def serve(self, incoming: IncomingRequest) -> Result[Answer, Problem]:
        """Answer one request.

        For a streamed answer the request stays in flight until the stream ends.
        """
        now_s = monotonic_s()
        table = self.table
        if table is None:
            detail = "this entry does not know the current configuration yet"
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
    ) -> Result[Answer, Problem]:
        self._enter()
        self._count_demand(request.resource)
        streaming = False
        try:
            if request.unsafe:
                result: Result[Answer, Problem] = await self._serve_unsafe(request, routes)
            else:
                refusal = self._filters.admission.check_rate(routes, request.arrived_at_s)
                if refusal is not None:
                    result = Failure(refusal)
                elif request.streamed:
                    result = await self._serve_stream(request, routes)
                    streaming = isinstance(result, Success)
                else:
                    result = await self._serve_whole(request, routes)
        finally:
            if not streaming:
                self._leave()
        _account(request, result)
        return result

    def _enter(self) -> None:
        self.in_flight += 1
        IN_FLIGHT.set(self.in_flight)

    def _leave(self) -> None:
        self.in_flight -= 1
        IN_FLIGHT.set(self.in_flight)

    async def _serve_whole(
        self, request: ClassifiedRequest, routes: TenantRoutes
    ) -> Result[Answer, Problem]:
        result = await self._run(request, routes)
        return Success(result.unwrap()) if isinstance(result, Success) else result

    async def _run(
        self, request: ClassifiedRequest, routes: TenantRoutes
    ) -> Result[WholeAnswer, Problem]:
        dispatched = await self._filters.dispatcher.dispatch(request, routes)
        if not isinstance(dispatched, Success):
            return Failure(dispatched.failure())
        return await self._filters.relay.whole(request, dispatched.unwrap())

    async def _serve_stream(
        self, request: ClassifiedRequest, routes: TenantRoutes
    ) -> Result[Answer, Problem]:
        dispatched = await self._filters.dispatcher.dispatch(request, routes)
        if not isinstance(dispatched, Success):
            return Failure(dispatched.failure())

        def on_end(complete: bool) -> None:
            self._leave()
            if not complete:
                request_counter(request.tenant, request.urgency, RESULT_BROKEN).inc()

        return Success(self._filters.relay.streamed(request, dispatched.unwrap(), on_end))

    async def _serve_unsafe(
        self, request: ClassifiedRequest, routes: TenantRoutes
    ) -> Result[Answer, Problem]:
        claimed = await self._filters.deduplicator.claim(request)
        if not isinstance(claimed, Success):
            return Failure(claimed.failure())
        claim = claimed.unwrap()
        if isinstance(claim, WholeAnswer):
            return Success(claim)
        # The run goes on to its end and is recorded even if the caller leaves.
        task = asyncio.create_task(self._run_claimed(request, routes, claim))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        result = await asyncio.shield(task)
        return Success(result.unwrap()) if isinstance(result, Success) else result

    async def _run_claimed(
        self, request: ClassifiedRequest, routes: TenantRoutes, claim: ClaimHandle
    ) -> Result[WholeAnswer, Problem]:
        deduplicator = self._filters.deduplicator
        refusal = self._filters.admission.check_rate(routes, request.arrived_at_s)
        if refusal is not None:
            deduplicator.settle_problem(claim, refusal)
            return Failure(refusal)
        try:
            result = await self._run(request, routes)
        except BaseException:
            deduplicator.settle_problem(claim, Problem(ErrorKind.INTERNAL, "unexpected error"))
            raise
        if isinstance(result, Success):
            deduplicator.settle_answer(claim, result.unwrap())
        else:
            deduplicator.settle_problem(claim, result.failure())
        return result

    @property
    def unfinished(self) -> int:
        """Requests, unsafe runs and settlements that a planned stop has to wait for."""
        return self.in_flight + len(self._running) + self._filters.deduplicator.unsettled


def _account(request: ClassifiedRequest, result: Result[Answer, Problem]) -> None:
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
