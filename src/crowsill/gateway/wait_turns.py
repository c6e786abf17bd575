"""Offers turns to the requests that wait at this gateway, in the order of the queue.

A request that gets its turn chooses a replica itself. The next one gets its turn one step of the
event loop later: by then the first was sent, waits again, was cancelled or awaits something else.
Nothing holds a turn, so none is lost.
"""

import asyncio
from collections.abc import Callable

from crowsill.events import Event
from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.response_estimate import DEFAULT_SERVICE_MS
from crowsill.gateway.routing_table import GatewayRoutingTable, is_urgent
from crowsill.gateway.tenant_work import NO_TENANT, tenant_shares
from crowsill.gateway.wait_decision import wait_budget
from crowsill.gateway.wait_queue import Round, WaitQueue
from crowsill.gateway.waiter import RequestClass, Resource, Waiter
from crowsill.logs import log_event
from crowsill.metrics import GATEWAY_TURNS, GATEWAY_WAITED_S
from crowsill.model.routes import Route
from crowsill.routing.engine_latency import LatencyModel

# Higher ranks are counted together in metrics.
MAX_RANK_LABEL = 9
# A full queue is logged once in this time.
FULL_LOG_INTERVAL_S = 1.0
# Figures that callers state are not credible beyond this; they must not keep their tenant waiting.
MAX_WORK_MS = 60_000.0

CanServe = Callable[[Resource], bool]


def new_waiter(
    request: CallerRequest,
    route: Route,
    service: str,
    latency_model: LatencyModel,
    *,
    rank: int,
    tenant: str,
) -> Waiter:
    """Return the entry of a request in the queue.

    Args:
        request: The request.
        route: Its route.
        service: Its service.
        latency_model: Latency model of the service's engines.
        rank: Its rank.
        tenant: Its tenant, or `NO_TENANT`.
    """
    budget = wait_budget(route, request.wait_ms, 0.0)
    first_ms, work_ms = DEFAULT_SERVICE_MS, DEFAULT_SERVICE_MS
    if request.model:
        first_ms = latency_model.idle_first_event_ms(request.model, request.prompt_tokens)
        tokens = request.output_tokens
        if request.length_hint is not None:
            tokens = min(tokens, int(request.length_hint))
        work_ms = first_ms + latency_model.decode_ms(request.model, max(0, tokens))
    first_s = first_ms / 1000.0
    return Waiter(
        service,
        RequestClass(
            Resource(request.model, request.adapter), route.name, request.prompt_tokens.bit_length()
        ),
        rank,
        tenant,
        is_urgent(route),
        min(work_ms, MAX_WORK_MS),
        request.arrived_at_s,
        target_start_at_s=request.arrived_at_s + budget.target_s - first_s,
        deadline_start_at_s=(
            request.arrived_at_s + min(budget.total_s, budget.abandons_after_s) - first_s
        ),
    )


class Turn:
    """The place of one request in the queue, and its turns."""

    def __init__(self, turns: "WaitTurns", waiter: Waiter, share: float, request_id: str) -> None:
        self._turns = turns
        self._waiter = waiter
        self._share = share
        self._request_id = request_id
        self._loop = asyncio.get_running_loop()
        self._offer: asyncio.Future[None] | None = None
        self._has_turn = False
        self._joined_at_s: float | None = None
        self._position = 0

    def goes_after_others(self) -> bool:
        """Whether others wait for the same resource; then all of them get their turn in order.

        Called when there is room for the request.
        """
        if self._has_turn or not self._turns.queue.has_others(self._waiter):
            return False
        needed = self._waiter.request_class.resource
        self._turns.offer(self._waiter.service, lambda resource: resource == needed)
        return True

    def join(self, was_sent_before: bool) -> bool:
        """Enter the queue, or keep the place in it; return False if it is full.

        Args:
            was_sent_before: Whether some replicas are excluded for this request.
        """
        self._has_turn = False
        waiter, queue = self._waiter, self._turns.queue
        if waiter.is_queued:
            return True
        if was_sent_before and not waiter.request_class.sole_id:
            waiter.request_class = waiter.request_class._replace(sole_id=self._turns.new_sole_id())
        if not queue.join(waiter):
            self._turns.note_full()
            return False
        if self._joined_at_s is None:
            self._joined_at_s = self._loop.time()
            self._position = queue.ahead_of(waiter, self._joined_at_s)
        return True

    def expected_after_s(self) -> float:
        """Return the expected time until the request is sent; infinite if unknown."""
        waiter, now_s = self._waiter, self._loop.time()
        turn_after_s = self._turns.queue.turn_after_s(waiter, now_s)
        if waiter.gives_way(now_s):
            return min(turn_after_s, waiter.pressing_at_s - now_s)
        return turn_after_s

    def gave_way_s(self) -> float:
        """Return for how long the request has let urgent ones go first."""
        waiter = self._waiter
        if waiter.is_urgent:
            return 0.0
        return max(0.0, min(self._loop.time(), waiter.pressing_at_s) - waiter.arrived_at_s)

    async def wait(self, timeout_s: float) -> None:
        """Wait until the request has its turn or has to check its state again."""
        self._offer = self._loop.create_future()
        self._turns.waiting[self._waiter] = self
        try:
            async with asyncio.timeout(timeout_s):
                await self._offer
        except TimeoutError:
            pass
        finally:
            del self._turns.waiting[self._waiter]

    def wake(self, has_turn: bool) -> None:
        """End the wait, because the request has its turn or has to check its state."""
        self._has_turn = self._has_turn or has_turn
        if self._offer is not None and not self._offer.done():
            self._offer.set_result(None)

    def note_sent(self) -> None:
        """Record that the request is sent to a replica."""
        waiter, now_s = self._waiter, self._loop.time()
        self._turns.queue.note_sent(waiter, self._share, now_s)
        if self._joined_at_s is None:
            return
        has_turn, self._has_turn = self._has_turn, False
        label, waited_s = rank_label(waiter.rank), now_s - self._joined_at_s
        GATEWAY_WAITED_S.labels(label).observe(waited_s)
        why = "order" if has_turn else "alone"
        if has_turn:
            GATEWAY_TURNS.labels(label, "sent").inc()
            why = "bound" if waiter.is_by_bound else why
        log_event(
            Event.REQUEST_TURN,
            request=self._request_id,
            service=waiter.service,
            resource=waiter.request_class.resource.model,
            tenant=waiter.tenant,
            rank=waiter.rank,
            position=self._position,
            waiting=len(self._turns.queue),
            why=why,
            ms=round(waited_s * 1000.0, 1),
        )
        self._joined_at_s = None

    def note_not_run(self) -> None:
        """Record that no replica ran the request after all."""
        self._turns.queue.note_not_run(self._waiter, self._share, self._loop.time())

    def leave(self) -> None:
        """Leave the queue."""
        self._turns.queue.leave(self._waiter)


class WaitTurns:
    """The queue of this gateway and the rounds in which turns are offered.

    Attributes:
        queue: The queue.
        waiting: Requests of the queue that are not checking their state right now.
    """

    def __init__(self) -> None:
        self.queue = WaitQueue()
        self.waiting: dict[Waiter, Turn] = {}
        self._rounds: dict[str, Round] = {}
        self._offered: dict[str, Waiter] = {}
        # What changed during a round, by service; None for everything.
        self._changes: dict[str, list[CanServe] | None] = {}
        self._shares: dict[str, float] = {}
        self._shares_version = -1
        self._sole_ids = 0
        self._full_logged_at_s = float("-inf")

    def turn(
        self,
        request: CallerRequest,
        route: Route,
        service: str,
        latency_model: LatencyModel,
        *,
        rank: int,
        tenant: str | None,
        table: GatewayRoutingTable | None,
    ) -> Turn:
        """Return the place of a new request; it does not wait yet."""
        name = NO_TENANT if tenant is None else tenant
        waiter = new_waiter(request, route, service, latency_model, rank=rank, tenant=name)
        if table is not None and table.version != self._shares_version:
            self._shares = tenant_shares(table.configuration.tenants)
            self._shares_version = table.version
        request_id = request.request_id.decode("latin-1")
        return self.turn_of(waiter, self._shares.get(name, 1.0), request_id)

    def turn_of(self, waiter: Waiter, share: float, request_id: str) -> Turn:
        """Return the place of a request.

        Args:
            waiter: Its entry in the queue.
            share: Share of its tenant.
            request_id: The caller's id of it.
        """
        return Turn(self, waiter, share, request_id)

    def new_sole_id(self) -> int:
        """Return a number that no other request has."""
        self._sole_ids += 1
        return self._sole_ids

    def note_full(self) -> None:
        """Log that the queue is full."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self._full_logged_at_s >= FULL_LOG_INTERVAL_S:
            self._full_logged_at_s = now_s
            log_event(Event.WAIT_QUEUE_FULL, waiting=len(self.queue))

    def wake_all(self) -> None:
        """Let all requests check their state; they keep their places."""
        for turn in list(self.waiting.values()):
            turn.wake(has_turn=False)

    def note_room(self, record: ReplicaRecord) -> None:
        """Offer turns to the requests that a replica could run: it may have room again."""
        service, instance = record.instance.service, record.instance
        if self.queue.has_waiting(service):
            self.offer(
                service,
                lambda resource: (
                    not resource.model or instance.serves(resource.model, resource.adapter)
                ),
            )

    def offer_all(self) -> None:
        """Offer turns to all requests, because replicas or what they hold changed."""
        for service in self.queue.services():
            self.offer(service)

    def offer(self, service: str, can_serve: CanServe | None = None) -> None:
        """Offer turns, starting with the next step of the event loop.

        Args:
            service: The service.
            can_serve: Whether what changed may serve a resource; None for all resources.
        """
        if service not in self._changes and service not in self._rounds:
            asyncio.get_running_loop().call_soon(self._step, service)
        changes = self._changes.setdefault(service, [])
        if can_serve is None:
            self._changes[service] = None
        elif changes is not None:
            changes.append(can_serve)

    def _begin_round(self, service: str, now_s: float) -> Round:
        changes = self._changes.pop(service)
        if changes is None:
            return self.queue.begin_round(service, now_s)
        return self.queue.begin_round(
            service, now_s, lambda resource: any(serves(resource) for serves in changes)
        )

    def _step(self, service: str) -> None:
        """Offer the next turn of a round; begin another one if more has changed."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        current = self._rounds.get(service)
        offered = self._offered.pop(service, None)
        if current is not None and offered is not None and offered.is_queued:
            GATEWAY_TURNS.labels(rank_label(offered.rank), "passed").inc()
            current.note_failed(offered)
        waiter = None if current is None else current.next(now_s)
        if waiter is None and service in self._changes:
            current = self._rounds[service] = self._begin_round(service, now_s)
            waiter = current.next(now_s)
        if waiter is None:
            self._rounds.pop(service, None)
            return
        self._offered[service] = waiter
        turn = self.waiting.get(waiter)
        if turn is not None:
            turn.wake(has_turn=True)
        loop.call_soon(self._step, service)


def rank_label(rank: int) -> str:
    """Return the label of a rank in metrics."""
    return str(min(rank, MAX_RANK_LABEL))
