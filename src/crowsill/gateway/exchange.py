"""Serves one request: chooses a replica, sends, retries and rejects.

A request whose route doesn't allow retries is sent again only after a replica reported that it did
not run it. Every retry is charged to the shared retry budget. Once the first byte of a response
has gone to the caller, no other response replaces it. When the gateway gives up on a request, it
rejects it at once, and reports it as "not run" only when that is known.
"""

import asyncio

from crowsill.errors import ErrorKind
from crowsill.gateway.admission import Admission, to_monotonic_at_s
from crowsill.gateway.attempt import AttemptEnd, AttemptResult
from crowsill.gateway.caller_protocol import CallerConnection
from crowsill.gateway.context import ExchangeContext
from crowsill.gateway.exchange_log import ExchangeLog
from crowsill.gateway.outcome import Outcome
from crowsill.gateway.peers.sender import PeerSender
from crowsill.gateway.peers.wire import PeerTerms
from crowsill.gateway.progress import Progress
from crowsill.gateway.rejection import Rejection
from crowsill.gateway.repeat_guard import RepeatGuard
from crowsill.gateway.replica_feedback import MIN_SERVER_ERROR_STATUS
from crowsill.gateway.replica_work import cost_of_request
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.request_pressure import RequestPressure
from crowsill.gateway.retries import Retries
from crowsill.gateway.routing_table import GatewayRoutingTable, is_urgent, pick_service
from crowsill.gateway.selection import Choice, NoReplicaReason, choose, is_running_elsewhere
from crowsill.gateway.selection_limits import SelectionLimits
from crowsill.gateway.sender import Sender
from crowsill.gateway.stream_origins import Resumption
from crowsill.gateway.waiting import STOPPING_RETRY_AFTER_S, WaitingRequest
from crowsill.model.routes import Route, RouteKind
from crowsill.model.stream_origins import StreamOrigin

RESPONSE_MARGIN_S = 0.02
# A request for a model is not sent to an engine whose expected first event exceeds this multiple of
# the route's target latency, or `MIN_FIRST_EVENT_LIMIT_MS` if that is larger. An engine that gets
# more than it can serve in time serves no request in time. `wait_decision` decides whether a
# request that is not sent waits.
MAX_FIRST_EVENT_TARGETS = 2.0
MIN_FIRST_EVENT_LIMIT_MS = 1000.0
MAX_ROUTES_WAIT_S = 1.2
CONNECTION_SHARE = 0.9
# A service whose replicas have sent nothing for longer than this is not merely slow.
MAX_SLOW_S = 3.0
MIN_CONNECTIONS = 2
# A stopping process accepts a stream only if it would end in time at this multiple of its expected
# duration.
STREAM_DURATION_MARGIN = 3.0


class Exchange:
    """Serves one request."""

    def __init__(
        self,
        context: ExchangeContext,
        caller: CallerConnection,
        request: CallerRequest,
        terms: PeerTerms | None = None,
    ) -> None:
        """Create the exchange of one request.

        Args:
            context: The gateway process.
            caller: Connection of the caller, or of the gateway that passed the request on.
            request: The request.
            terms: What that gateway tells about it; None for a request of a caller.
        """
        self._context = context
        self._caller = caller
        self._request = request
        self._terms = terms
        self._loop = asyncio.get_running_loop()
        self._progress = Progress()
        self._service = ""
        # What began the stream that the request resumes; None if it resumes none.
        self._origin: StreamOrigin | None = None
        self._log = ExchangeLog(request, context.fingerprints)
        self._admission = Admission(context, request, is_charged=terms is None)
        self._repeat_guard = RepeatGuard(context, request, self._log)
        self._retries = Retries(context, self._progress, self._log)
        self._pressure = RequestPressure(context, request, is_from_peer=terms is not None)
        self._outcome = Outcome(
            context, caller, request, self._progress, self._log, is_for_peer=terms is not None
        )
        self._peer_sender = PeerSender(
            context,
            caller,
            request,
            self._progress,
            self._log,
            admission=self._admission,
            repeat_guard=self._repeat_guard,
        )
        self._sender = Sender(
            context,
            caller,
            request,
            self._progress,
            self._log,
            admission=self._admission,
            repeat_guard=self._repeat_guard,
        )

    def request_id(self) -> str:
        """Return the caller's id of the request."""
        return self._log.request_id

    def pause_replica(self, paused: bool) -> None:
        """Pause reading from the replica while the caller does not read, or resume it."""
        if self._progress.attempt is not None and self._progress.attempt.connection is not None:
            self._progress.attempt.connection.pause_reading(paused)

    def end_at_shutdown(self) -> None:
        """End the request because the process stops, with a response where that is possible."""
        self._outcome.time_out()

    def fail(self) -> bool:
        """Respond after an internal error; return False if part of a response has been sent."""
        return self._outcome.fail()

    async def run(self) -> None:
        """Serve the request; cancelled when the caller disconnects."""
        table = await self._wait_for_routes()
        if table is None:
            self._outcome.reject(ErrorKind.NOT_READY, "no configuration is known yet", 0.5)
            return
        route = table.find(self._request.host, self._request.path)
        if route is None:
            self._outcome.reject(ErrorKind.UNKNOWN_ROUTE, "no route matches host and path")
            return
        deadline_at_s = self._deadline_at_s(route)
        rejection = await self._admission.admit(route, to_monotonic_at_s(deadline_at_s))
        self._log.tenant = "" if self._admission.tenant is None else self._admission.tenant.name
        self._log.units = self._admission.units
        # Checked before the request counts as demand: quarantined requests must not cause their
        # model to be loaded on more engines.
        rejection = rejection or await self._repeat_guard.await_settled(deadline_at_s)
        if rejection is not None:
            self._admission.return_units()
            self._reject(rejection)
            return
        await self._serve_admitted(route, deadline_at_s)

    async def _serve_admitted(self, route: Route, deadline_at_s: float) -> None:
        """Serve a request that passed admission."""
        self._log.route = route
        if self._terms is None:
            origin = await self._context.stream_origins.find(
                self._request, route, self._log.tenant, to_monotonic_at_s(deadline_at_s)
            )
            if isinstance(origin, Rejection):
                self._admission.return_units()
                self._reject(origin)
                return
            self._bind_to(origin)
            self._log.service = self._service = (
                pick_service(route, self._context.random) if origin is None else origin.service
            )
            self._count_request(route)
        else:
            self._log.service = self._service = self._terms.service
            self._request.software_version = self._terms.software_version
            self._progress.attempts = self._terms.attempts
            self._log.log_received_from_peer(self._terms)
        try:
            rejection = self._pressure.admit(route, self._service, self._admission, self._choose)
            if rejection is not None:
                if self._request.model:
                    self._context.demand.note_overloaded(self._service, self._request.model)
                self._reject(rejection)
                return
            async with asyncio.timeout_at(deadline_at_s):
                await self._serve(route, deadline_at_s)
        except TimeoutError:
            self._pressure.note_timed_out(self._progress)
            self._outcome.time_out()
        finally:
            if not self._progress.may_have_run:
                self._admission.return_units()

    def _bind_to(self, origin: StreamOrigin | None) -> None:
        """Bind a request that resumes a stream to the replicas that may continue it."""
        self._origin = origin
        if origin is not None:
            self._request.software_version = origin.software_version

    def _check_origin(self) -> Rejection | None:
        """Return a rejection if no replica is left that may continue the resumed stream."""
        origins = self._context.stream_origins
        if self._origin is None or origins.is_served(self._origin):
            return None
        decision = origins.note_decision(self._request, self._origin, Resumption.NO_REPLICA)
        return decision if isinstance(decision, Rejection) else None

    def _count_request(self, route: Route) -> None:
        """Count the request as demand, and for the retry budget of its service."""
        self._context.retry_budgets.earned(self._service).earn(self._loop.time())
        request, table = self._request, self._context.table
        urgency = 0.0
        if table is not None and request.model:
            urgency = table.urgency(route, self._service, request.model)
        self._context.demand.note_request(self._service, request.model, request.adapter, urgency)

    def _reject(self, rejection: Rejection) -> None:
        """Reject the request; as "not run" only if no replica can have run it."""
        if self._progress.may_have_run:
            self._outcome.reject(ErrorKind.BACKEND_FAILED, f"not sent again: {rejection.detail}")
        else:
            self._outcome.reject(rejection.kind, rejection.detail, rejection.retry_after_s)

    async def _wait_for_routes(self) -> GatewayRoutingTable | None:
        """Return the routes, after a short wait if the process has just started."""
        context, request = self._context, self._request
        wait_s = MAX_ROUTES_WAIT_S
        if request.wait_ms is not None:
            wait_s = min(wait_s, request.wait_ms / 1000.0)
        end_at_s = min(request.arrived_at_s + wait_s, context.wait_limit_at_s())
        while context.table is None and self._loop.time() < end_at_s:
            await context.wait_for_change(end_at_s - self._loop.time())
        return context.table

    def _deadline_at_s(self, route: Route) -> float:
        wait_ms = route.timeout_ms
        if self._request.wait_ms is not None:
            wait_ms = min(wait_ms, self._request.wait_ms)
        return self._request.arrived_at_s + max(0.0, wait_ms / 1000.0 - RESPONSE_MARGIN_S)

    async def _serve(self, route: Route, deadline_at_s: float) -> None:
        if self._may_outlast_process(deadline_at_s):
            detail = "the stream would outlast this process, which stops"
            self._outcome.reject(ErrorKind.OVERLOADED, detail, STOPPING_RETRY_AFTER_S)
            return
        waiting = WaitingRequest(
            self._context,
            self._request,
            route,
            self._progress,
            self._log,
            admission=self._admission,
            is_from_peer=self._terms is not None,
        )
        try:
            await self._serve_in_turn(route, deadline_at_s, waiting)
        finally:
            waiting.end()
            self._retries.release()

    async def _serve_in_turn(
        self, route: Route, deadline_at_s: float, waiting: WaitingRequest
    ) -> None:
        is_ended = False
        while not is_ended:
            rejection = await self._repeat_guard.await_duplicate(deadline_at_s)
            rejection = rejection or self._admission.recheck() or self._check_origin()
            if rejection is not None:
                self._reject(rejection)
                return
            choice = self._choose(route)
            if not isinstance(choice, Choice) and self._can_ask_peer():
                is_ended = await self._serve_by_peer(route, deadline_at_s)
                continue
            if not isinstance(choice, Choice) and self._may_use_silent():
                choice = self._choose(route, includes_silent=True)
            may_wait = self._may_wait(NoReplicaReason.ALL_FULL)
            if isinstance(choice, Choice) and may_wait and waiting.goes_after_others():
                await waiting.wait_for_turn()
                continue
            if isinstance(choice, Choice):
                is_ended = await self._serve_by_replica(route, choice, deadline_at_s, waiting)
                continue
            self._pressure.note_no_replica(choice)
            if not (self._may_wait(choice) and await waiting.wait(choice)):
                self._give_up(waiting, choice, route)
                return

    def _give_up(self, waiting: WaitingRequest, reason: NoReplicaReason, route: Route) -> None:
        """Reject the request because no replica can take it."""
        self._pressure.note_rejected(reason)
        self._outcome.give_up(waiting.give_up(reason, self._admission.rank(route)))

    async def _serve_by_replica(
        self, route: Route, choice: Choice, deadline_at_s: float, waiting: WaitingRequest
    ) -> bool:
        """Send the request to a replica; return False if it may be sent again."""
        if self._retries.needs_charge():
            if not await self._retries.charge_next():
                self._give_up(waiting, NoReplicaReason.ALL_TRIED, route)
                return True
            # The replica is chosen again, because the grant may have taken a while.
            return False
        if not await self._charge_repetition(deadline_at_s):
            return True
        waiting.note_sent()
        self._pressure.note_sent()
        end = await self._send(route, choice, deadline_at_s)
        waiting.note_end(end)
        self._pressure.note_end(end)
        if end is None:
            self._retries.release()
            if self._progress.may_have_run:
                self._admission.return_units()
            return False
        if await self._should_retry(route, choice, end):
            return False
        self._outcome.respond(end)
        return True

    async def _send(self, route: Route, choice: Choice, deadline_at_s: float) -> AttemptEnd | None:
        """Send the request; one that is cancelled before that does not count as started."""
        try:
            return await self._sender.send(
                route, choice, deadline_at_s, self._outcome.closes_connection()
            )
        except BaseException:
            if not self._progress.may_have_run:
                self._pressure.note_end(None)
            raise

    async def _charge_repetition(self, deadline_at_s: float) -> bool:
        """Charge another run if a replica may have run the request; return False if rejected."""
        if not self._progress.may_have_run:
            return True
        rejection = await self._admission.charge_again(to_monotonic_at_s(deadline_at_s))
        if rejection is not None:
            self._reject(rejection)
        return rejection is None

    def _can_ask_peer(self) -> bool:
        """Whether to pass the request to a gateway that reaches replicas this one doesn't reach.

        A request takes one hop at most: two gateways without links would pass it to and fro.
        """
        if self._terms is not None or not self._peer_sender.has_peer():
            return False
        records = self._context.registry.of_service(self._service)
        return is_running_elsewhere(records, self._request, self._context.pool.has_idle)

    async def _serve_by_peer(self, route: Route, deadline_at_s: float) -> bool:
        """Pass the request to a peer; return False if it may be sent again."""
        if not await self._charge_repetition(deadline_at_s):
            return True
        self._pressure.note_sent()
        end = await self._peer_sender.send(route, deadline_at_s, self._outcome.closes_connection())
        self._pressure.note_end(end)
        if end is None or (self._may_repeat(route, end) and self._has_destination(route)):
            return False
        self._outcome.respond(end)
        return True

    def _may_wait(self, reason: NoReplicaReason) -> bool:
        """Whether the request may wait here for a replica.

        One that a peer passed on waits only if the peer can't ask another gateway, and not for what
        the peer can await itself.
        """
        if self._terms is None:
            return True
        return self._terms.may_wait and reason in (
            NoReplicaReason.ALL_FULL,
            NoReplicaReason.ALL_CLOSED,
        )

    def _may_outlast_process(self, deadline_at_s: float) -> bool:
        """Whether this process may stop before a stream ends; another gateway can serve it."""
        stop_at_s = self._context.stop_limit_at_s()
        if stop_at_s == float("inf") or not self._request.model:
            return False
        if deadline_at_s > stop_at_s:
            # The expected duration is an estimate; only the deadline is a bound.
            return True
        latency_model = self._context.registry.latency_model(self._service)
        duration_s = (
            latency_model.decode_ms(self._request.model, self._request.output_tokens) / 1000.0
        )
        return self._loop.time() + duration_s * STREAM_DURATION_MARGIN > stop_at_s

    def _may_use_silent(self) -> bool:
        """Whether silent replicas may be used: no other gateway reaches any, and links work."""
        # The gateway that passed a request on decides itself whether its own replicas are slow.
        if self._terms is not None or self._peer_sender.has_unasked_peer():
            return False
        since_s = self._loop.time() - MAX_SLOW_S
        return any(
            self._context.pool.received_at_s(record.instance.instance_id) >= since_s
            for record in self._context.registry.of_service(self._service)
        )

    def _choose(self, route: Route, includes_silent: bool = False) -> Choice | NoReplicaReason:
        limits = self.selection_limits(route, self._service, self._log.tenant, includes_silent)
        records = self._context.registry.of_service(self._service)
        return choose(records, self._request, self._progress.tried, limits, self._loop.time())

    def selection_limits(
        self, route: Route, service: str, tenant: str, includes_silent: bool = False
    ) -> SelectionLimits:
        """Return the bounds and inputs of the choice of a replica."""
        context, table = self._context, self._context.table
        definition = None if table is None else table.services.get(service)
        max_connections = 100 if definition is None else definition.max_connections
        share = int(max_connections * CONNECTION_SHARE / max(1, context.gateways))
        max_expected_ms = float("inf")
        if self._request.model:
            max_expected_ms = max(
                MIN_FIRST_EVENT_LIMIT_MS, route.target_latency_ms * MAX_FIRST_EVENT_TARGETS
            )
        brittle = context.brittle(service)
        return SelectionLimits(
            zone=context.zone,
            max_in_flight=max(MIN_CONNECTIONS, share),
            max_expected_ms=max_expected_ms,
            target_ms=route.target_latency_ms,
            target_gap_ms=route.target_gap_ms,
            has_idle=context.pool.has_idle,
            has_open=context.pool.has_open,
            includes_silent=includes_silent,
            latency_model=context.registry.latency_model(service),
            random=context.random,
            is_urgent=is_urgent(route),
            brittle=brittle if brittle.is_in_effect else None,
            gateways=context.gateways,
            cost=cost_of_request(
                context.registry,
                self._request,
                route,
                service,
                tenant=tenant,
                now_s=self._loop.time(),
            ),
            is_suspected=context.replica_watch.sharing.avoidance(service, self._loop.time()),
        )

    async def _should_retry(self, route: Route, choice: Choice, end: AttemptEnd) -> bool:
        """Whether to send the request to another replica after this attempt."""
        progress = self._progress
        if end.result is AttemptResult.NOT_RUN:
            progress.may_have_run = progress.runs > 0
            progress.last_failure = end.detail
            return True
        if not self._may_repeat(route, end) or not self._has_destination(route):
            return False
        if not await self._repeat_guard.may_repeat(choice.record.instance, end):
            return False
        return await self._retries.charge_next()

    def _may_repeat(self, route: Route, end: AttemptEnd) -> bool:
        """Whether the route and the retry budget allow another run after a failed one."""
        failed_response = (
            end.result is AttemptResult.COMPLETE and end.status >= MIN_SERVER_ERROR_STATUS
        )
        if end.relayed or not (end.result is AttemptResult.FAILED or failed_response):
            return False
        # The gateway that passed the request on decides whether it runs again.
        if self._terms is not None:
            return False
        repeatable = route.may_repeat or (route.kind is RouteKind.STREAM and route.resumable)
        if not repeatable or self._progress.runs >= route.max_attempts:
            return False
        return self._retries.may_charge_next()

    def _has_destination(self, route: Route) -> bool:
        """Whether a replica or a peer can take the request now."""
        return not isinstance(self._choose(route), NoReplicaReason) or self._can_ask_peer()
