"""One request from its arrival to its last byte: choosing, sending, repeating, giving up.

The rules it keeps: a request that may not be repeated is sent again only after a replica's own
word that it did not run; every repeat is paid for from the shared budget; nothing follows the
first byte of an answer in its place; whoever gives up says so at once, and says "not run" only
when that is known.
"""

import asyncio

from crowsill.errors import ErrorKind
from crowsill.gateway.admission import Admission, until_monotonic_s
from crowsill.gateway.attempt import AttemptEnd, AttemptResult
from crowsill.gateway.caller_protocol import CallerConnection
from crowsill.gateway.context import ExchangeContext
from crowsill.gateway.exchange_log import ExchangeLog
from crowsill.gateway.outcome import Outcome
from crowsill.gateway.progress import Progress
from crowsill.gateway.rejection import Rejection
from crowsill.gateway.repeat_guard import RepeatGuard
from crowsill.gateway.replica_feedback import FAILED_STATUS
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.routing_table import GatewayRoutingTable, is_urgent, pick_service
from crowsill.gateway.selection import (
    Choice,
    NoReplicaReason,
    SelectionLimits,
    choose,
)
from crowsill.gateway.sender import Sender
from crowsill.gateway.waiting import STOPPING_RETRY_S, WaitingRequest
from crowsill.model.routes import Route, RouteKind

ANSWER_MARGIN_S = 0.02
# A request for a model is not sent where its first event is expected later than this many targets,
# and no sooner than this time: an engine that is given more than it can serve in time serves nobody
# in time. No request waits by it; what is not sent is decided on in `holding`.
LATEST_EVENT_TARGETS = 2.0
LATEST_EVENT_MS = 1000.0
LONGEST_WAIT_FOR_ROUTES_S = 1.2
MOST_SENDINGS = 4
CONNECTION_SHARE = 0.9
FEWEST_CONNECTIONS = 2
# A stream that takes so many times what is expected of it must still end in time.
STREAM_MARGIN = 3.0


class Exchange:
    """Serves one request."""

    def __init__(
        self, context: ExchangeContext, caller: CallerConnection, request: CallerRequest
    ) -> None:
        self._context = context
        self._caller = caller
        self._request = request
        self._loop = asyncio.get_running_loop()
        self._progress = Progress()
        self._service = ""
        self._log = ExchangeLog(request, context.fingerprints)
        self._admission = Admission(context, request)
        self._repeats = RepeatGuard(context, request, self._log)
        self._outcome = Outcome(context, caller, request, self._progress, self._log)
        self._sender = Sender(
            context,
            caller,
            request,
            self._progress,
            self._log,
            admission=self._admission,
            repeats=self._repeats,
        )

    def request_id(self) -> str:
        """Return the caller's id of the request."""
        return self._log.request_id

    def pause(self, paused: bool) -> None:
        """Hold the replica back while the caller does not read."""
        if self._progress.attempt is not None and self._progress.attempt.connection is not None:
            self._progress.attempt.connection.pause_reading(paused)

    def end_for_stop(self) -> None:
        """Answer at once what can be answered, because the process ends."""
        self._outcome.time_out()

    def fail(self) -> bool:
        """Answer after an error of the gateway's own; return False when it is too late for that."""
        return self._outcome.fail()

    async def run(self) -> None:
        """Serve the request; ends early when it is cancelled, because the caller left."""
        table = await self._wait_for_routes()
        if table is None:
            self._outcome.refuse(ErrorKind.NOT_READY, "no configuration is known yet", 0.5)
            return
        route = table.find(self._request.host, self._request.path)
        if route is None:
            self._outcome.refuse(ErrorKind.UNKNOWN_ROUTE, "no route matches host and path")
            return
        deadline_s = self._deadline_s(route)
        refusal = await self._admission.admit(route, until_monotonic_s(deadline_s))
        self._log.tenant = "" if self._admission.tenant is None else self._admission.tenant.name
        self._log.units = self._admission.units
        # Before it counts as demand: what is held back must not bring its model to further engines.
        refusal = refusal or self._repeats.quarantine()
        if refusal is not None:
            self._admission.not_run()
            self._refuse(refusal)
            return
        await self._serve_admitted(route, deadline_s)

    async def _serve_admitted(self, route: Route, deadline_s: float) -> None:
        """Serve a request whose caller may use the route now."""
        self._service = pick_service(route, self._context.random)
        self._log.route = route
        self._log.service = self._service
        self._context.budget(self._service).earn(self._loop.time())
        request = self._request
        table = self._context.table
        urgency = 0.0 if table is None else table.urgency(route)
        self._context.demand.note_request(self._service, request.model, request.adapter, urgency)
        try:
            async with asyncio.timeout_at(deadline_s):
                await self._serve(route, deadline_s)
        except TimeoutError:
            self._outcome.time_out()
        finally:
            if not self._progress.may_have_run:
                self._admission.not_run()

    def _refuse(self, refusal: Rejection) -> None:
        """Refuse what no replica has run, by what is known."""
        if self._progress.may_have_run:
            self._outcome.refuse(ErrorKind.BACKEND_FAILED, f"not sent again: {refusal.detail}")
        else:
            self._outcome.refuse(refusal.kind, refusal.detail, refusal.retry_after_s)

    async def _wait_for_routes(self) -> GatewayRoutingTable | None:
        """A process that has just started knows the routes within a moment."""
        context, request = self._context, self._request
        wait_s = LONGEST_WAIT_FOR_ROUTES_S
        if request.wait_ms is not None:
            wait_s = min(wait_s, request.wait_ms / 1000.0)
        until_s = min(request.arrived_at_s + wait_s, context.wait_limit_at_s())
        while context.table is None and self._loop.time() < until_s:
            await context.wait_for_change(until_s - self._loop.time())
        return context.table

    def _deadline_s(self, route: Route) -> float:
        wait_ms = route.timeout_ms
        if self._request.wait_ms is not None:
            wait_ms = min(wait_ms, self._request.wait_ms)
        return self._request.arrived_at_s + max(0.0, wait_ms / 1000.0 - ANSWER_MARGIN_S)

    async def _serve(self, route: Route, deadline_s: float) -> None:
        if self._outlasts_process(deadline_s):
            detail = "the stream would outlast this process, which stops"
            self._outcome.refuse(ErrorKind.OVERLOADED, detail, STOPPING_RETRY_S)
            return
        waiting = WaitingRequest(self._context, self._request, route, self._progress, self._log)
        while True:
            refusal = await self._repeats.admit_copy() or self._admission.recheck()
            if refusal is not None:
                self._refuse(refusal)
                return
            choice = self._choose(route)
            if isinstance(choice, NoReplicaReason):
                if await waiting.wait(choice):
                    continue
                self._outcome.give_up(waiting.give_up(choice, self._admission.rank(route)))
                return
            is_repeat = self._progress.sendings > 0
            if is_repeat and not self._may_send_again():
                why = NoReplicaReason.ALL_TRIED
                self._outcome.give_up(waiting.give_up(why, self._admission.rank(route)))
                return
            if self._progress.may_have_run:
                refusal = await self._admission.charge_again(until_monotonic_s(deadline_s))
                if refusal is not None:
                    self._refuse(refusal)
                    return
            end = await self._sender.send(route, choice, deadline_s, self._outcome.closes())
            if end is None:
                self._take_back(is_repeat)
                continue
            if not await self._goes_on_after(route, choice, end):
                self._outcome.conclude(end)
                return

    def _outlasts_process(self, deadline_s: float) -> bool:
        """Whether a stream may be cut because this process stops: another gateway serves it."""
        limit_s = self._context.stop_limit_at_s()
        if limit_s == float("inf") or not self._request.model:
            return False
        if deadline_s > limit_s:
            # However long its like took, only its deadline bounds it.
            return True
        latency_model = self._context.registry.latency_model(self._service)
        lasts_s = latency_model.stream_ms(self._request.model, self._request.output_tokens) / 1000.0
        return self._loop.time() + lasts_s * STREAM_MARGIN > limit_s

    def _choose(self, route: Route) -> Choice | NoReplicaReason:
        context = self._context
        table = context.table
        definition = None if table is None else table.services.get(self._service)
        most = 100 if definition is None else definition.max_connections
        share = int(most * CONNECTION_SHARE / max(1, context.gateways))
        max_expected_ms = float("inf")
        if self._request.model:
            max_expected_ms = max(LATEST_EVENT_MS, route.target_latency_ms * LATEST_EVENT_TARGETS)
        limits = SelectionLimits(
            zone=context.zone,
            connections=max(FEWEST_CONNECTIONS, share),
            max_expected_ms=max_expected_ms,
            has_idle=context.pool.has_idle,
            latency_model=context.registry.latency_model(self._service),
            random=context.random,
            is_urgent=is_urgent(route),
        )
        records = context.registry.of_service(self._service)
        return choose(records, self._request, self._progress.tried, limits, self._loop.time())

    def _may_send_again(self) -> bool:
        if self._progress.sendings >= MOST_SENDINGS:
            return False
        budget = self._context.budget(self._service)
        return budget.spend(self._loop.time(), self._context.gateways)

    def _take_back(self, is_repeat: bool) -> None:
        """Nothing was sent: what was spent for it is there for the next sending."""
        if is_repeat:
            self._context.budget(self._service).give_back()
        if self._progress.may_have_run:
            self._admission.not_run()

    async def _goes_on_after(self, route: Route, choice: Choice, end: AttemptEnd) -> bool:
        """Whether the request may go to another replica."""
        progress = self._progress
        if end.result is AttemptResult.NOT_RUN:
            progress.may_have_run = progress.runs > 0
            progress.last = end.detail
            return True
        failed_answer = end.result is AttemptResult.COMPLETE and end.status >= FAILED_STATUS
        if end.relayed or not (end.result is AttemptResult.FAILED or failed_answer):
            return False
        repeatable = route.may_repeat or (route.kind is RouteKind.STREAM and route.resumable)
        if not repeatable or progress.runs >= route.max_attempts:
            return False
        budget = self._context.budget(self._service)
        left = budget.left(self._loop.time(), self._context.gateways)
        if left < 1.0 or isinstance(self._choose(route), NoReplicaReason):
            return False
        return await self._repeats.may_repeat(choice.record.instance, end)
