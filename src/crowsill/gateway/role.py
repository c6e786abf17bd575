"""The gateway role: listeners, exchanges, readiness and graceful shutdown."""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import replace
from random import Random

import msgspec

from crowsill.clock import PROCESS_STARTED_S, monotonic_s
from crowsill.events import Event
from crowsill.gateway.brittle_replicas import BrittleReplicas
from crowsill.gateway.caller_listener import CallerListener, detect_silence
from crowsill.gateway.caller_protocol import CallerConnection
from crowsill.gateway.choice_explanation import ExplanationService
from crowsill.gateway.crash_guard import CrashGuard
from crowsill.gateway.crash_watch import CrashWatch
from crowsill.gateway.demand import DemandReporter
from crowsill.gateway.drain_reports import DrainReports
from crowsill.gateway.exchange import Exchange
from crowsill.gateway.fingerprint import Fingerprints
from crowsill.gateway.follower import GatewayFollower, GatewayHooks
from crowsill.gateway.gateway_count import GatewayCount
from crowsill.gateway.headers import HeaderNames
from crowsill.gateway.link_state import LinkState
from crowsill.gateway.peers.peers import Peers
from crowsill.gateway.peers.wire import PeerTerms
from crowsill.gateway.pool import ConnectionPool
from crowsill.gateway.quota import QuotaGrantClient
from crowsill.gateway.ready_server import ReadyServer
from crowsill.gateway.replica_check import ReplicaChecker
from crowsill.gateway.replica_grants import ReplicaGrants
from crowsill.gateway.replica_registry import ReplicaRecord, ReplicaRegistry
from crowsill.gateway.replica_watch import ReplicaWatch
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.retry_budgets import RetryBudgets
from crowsill.gateway.routing_table import GatewayRoutingTable
from crowsill.gateway.running_exchanges import RunningExchanges
from crowsill.gateway.shared_admission import SharedAdmission
from crowsill.gateway.stream_origins import GatewayStreamOrigins
from crowsill.gateway.suspect_runs import SuspectRunClient
from crowsill.gateway.wait_turns import WaitTurns
from crowsill.logs import log_event
from crowsill.metrics import READY, REQUESTS_FROM_PEERS, ROUTES_VERSION
from crowsill.model.peers import PeerOffer
from crowsill.model.replica_reach import ReachedReplica, SuspectedReplica
from crowsill.model.route_codec import RouteCodec, decompress_document
from crowsill.model.routes import CallerLimits
from crowsill.model.suspects import SuspectChange
from crowsill.routing.earned_retries import RetryBudgetLimits
from crowsill.routing.request_cost import CostModel
from crowsill.settings import GatewaySettings, Settings
from crowsill.state.route_store import RouteDocument
from crowsill.tenancy.identity import is_key_proof_fresh
from crowsill.transport.replica_messages import ReplicaLimitsNotice
from crowsill.transport.stream import LocalIdentity

STOP_POLL_S = 0.05
# How long before the end of the grace period the process stops by itself.
STOP_MARGIN_S = 0.5
STOP_FLUSH_S = 0.2
# Checking whether a replica has crashed takes up to 0.25 s, reporting it one round trip.
STOP_REPORT_S = 0.5
# How long requests may wait for a replica while the process stops.
STOP_WAIT_S = 0.3


class GatewayRole:
    """Serves callers; also the context of its exchanges."""

    def __init__(
        self,
        settings: Settings,
        gateway: GatewaySettings,
        key: bytes,
        names: HeaderNames,
        codec: RouteCodec,
    ) -> None:
        """Create the role.

        Args:
            settings: Settings of the process.
            gateway: The `gateway` table of the settings.
            key: The cluster key.
            names: Header names that callers and replicas use.
            codec: Decodes route documents.
        """
        self.names = names
        self.zone = settings.zone
        self.random = Random(secrets.randbits(64))
        self.registry = ReplicaRegistry(gateway.load_control.replica_pace)
        if gateway.load_control.cost_estimates:
            self.registry.costs = CostModel()
        self.fingerprints = Fingerprints(key)
        self.crash_guard = CrashGuard()
        self.turns = WaitTurns() if gateway.load_control.ordered_waiting else None
        is_shared = gateway.load_control.shared_admission
        self.shared_admission = SharedAdmission(self.random) if is_shared else None
        self._table: GatewayRoutingTable | None = None
        self._gateway_count = GatewayCount()
        self._settings = gateway
        self._codec = codec
        self._is_current = False
        self._confirmed_at_s = float("-inf")
        self._stopping = False
        self._wait_limit_at_s = float("inf")
        self._stop_limit_at_s = float("inf")
        self._has_drained = False
        self._node = settings.node
        self._brittle: dict[str, BrittleReplicas] = {}
        self._running = RunningExchanges()
        self._key = key
        self._changed = asyncio.Event()
        self._listener = CallerListener(self.random)
        self._ready_server: ReadyServer | None = None
        self._tasks: list[asyncio.Task[None]] = []
        identity = f"{settings.node}.{secrets.token_hex(4)}"
        self._identity = identity
        local = LocalIdentity(settings.node, identity, settings.zone, key)
        hooks = GatewayHooks(
            self._on_routes,
            self._on_directory,
            self._on_current,
            self._on_suspects,
            peer_offer=self._peer_offer,
            on_peers=self._on_peers,
            on_reach=self._on_reach,
            on_member=self._on_member,
            on_gateways=self._on_gateways,
        )
        if self.shared_admission is not None:
            hooks = replace(
                hooks,
                pressure=self.shared_admission.report,
                on_level=self.shared_admission.note_level,
            )
        self._follower = GatewayFollower(
            local,
            gateway.control_seeds,
            self.registry,
            self.crash_guard,
            hooks=hooks,
            random=self.random,
        )
        self.quota_grants = QuotaGrantClient(self._follower.query)
        self.retry_budgets = RetryBudgets(
            RetryBudgetLimits(gateway.retry_ratio, gateway.retry_window_s, gateway.retry_allowance),
            PROCESS_STARTED_S,
            self._follower.query,
        )
        self.replica_grants = ReplicaGrants(self._follower.query, self._notify_change)
        self.stream_origins = GatewayStreamOrigins(
            self.registry,
            self._follower.send_notice,
            self._follower.query,
            self.proof_age_s,
            lambda: self.table,
        )
        self.demand = DemandReporter(self._follower, gateway.keep_asking_s)

    async def start(self) -> None:
        """Open the listeners and start to follow the control group."""
        self.pool = ConnectionPool(self.names)
        self.peers = Peers(self.names, self._key, self.zone, self.random)
        self._links = LinkState(self.registry, self.pool.has_idle)
        self.replica_watch = ReplicaWatch(
            self.registry,
            self.pool,
            self._links,
            ReplicaChecker(self.pool, lambda: self._table),
            notify=self._follower.send_notice,
            on_change=self._notify_change,
            random=self.random,
            load_control=self._settings.load_control,
            identity=self._identity,
        )
        self._drain_reports = DrainReports(self.registry, self._follower.send_notice)
        self.pool.on_idle_lost = self.replica_watch.check_lost_connection
        self.crash_watch = CrashWatch(
            self.pool,
            self.crash_guard,
            self._follower.query,
            self._on_crashed,
            find_lost_beside=self.replica_watch.find_lost_beside,
            is_listed=self.registry.is_listed,
            draining_for_s=lambda instance_id: self.registry.draining_for_s(
                instance_id, asyncio.get_running_loop().time()
            ),
        )
        self.suspect_runs = SuspectRunClient(
            self._follower.query, self._follower.is_connected, self.crash_watch
        )
        self._listener.start(self._settings.callers, lambda: CallerConnection(self))
        if self._settings.peers is not None:
            await self.peers.listen(self, self._settings.peers)
        self._ready_server = ReadyServer(
            self._settings.ready, self.is_ready, ExplanationService(self, self).respond
        )
        await self._ready_server.start()
        self._tasks = [
            asyncio.create_task(self._follower.run()),
            asyncio.create_task(self.pool.sweep()),
            asyncio.create_task(self.peers.pool.sweep()),
            asyncio.create_task(self.demand.repeat_reports()),
            asyncio.create_task(self._listener.check_lag()),
        ]

    def port(self) -> int:
        """Return the port on which callers are served."""
        return self._listener.port()

    def use_seeds(self, settings: GatewaySettings) -> None:
        """Apply changed control seeds."""
        self._follower.use_seeds(settings.control_seeds)

    @property
    def table(self) -> GatewayRoutingTable | None:
        """The routes in effect; None until the group has confirmed once that they are current.

        A member that has just started sends what it has applied so far: routes that may be old and
        a directory that may be incomplete.
        """
        return self._table if self._is_current else None

    def is_ready(self) -> bool:
        """Whether the load balancer should send callers to this gateway.

        A gateway that rejects every API key, because it can't confirm which are valid, is not
        ready: another gateway may be connected to the group.
        """
        table = self.table
        if table is None or self._stopping:
            return False
        return table.tenants is None or is_key_proof_fresh(self.proof_age_s(), self.revocation_s)

    # Hooks of the follower and the crash watch.

    def _on_routes(self, document: RouteDocument) -> None:
        decoded = self._codec.decode(decompress_document(document)).value_or(None)
        if decoded is None:
            log_event(
                Event.INTERNAL_ERROR, where="routes", error="an accepted document is unreadable"
            )
            return
        configuration = msgspec.structs.replace(decoded, version=document.version)
        self._table = GatewayRoutingTable(configuration)
        if self.shared_admission is not None:
            self.shared_admission.use_tenants(configuration.tenants)
        ROUTES_VERSION.set(document.version)
        log_event(Event.ROUTES_ADOPTED, version=document.version, routes=len(configuration.routes))
        self._notify_change(concerns_all=True)

    def _on_directory(self, dropped_ids: list[str]) -> None:
        for instance_id in dropped_ids:
            self.pool.forget(instance_id)
            self.crash_watch.drop_replica(instance_id)
        self._notify_change()

    def _peer_offer(self) -> PeerOffer | None:
        """Return what this gateway offers to others now."""
        self._links.update()
        self.replica_watch.sharing.expire(asyncio.get_running_loop().time())
        if self._stopping or self.table is None:
            return None
        links = self._links
        return self.peers.offer(
            self._running.exchanges, links.unreachable_services(), links.weak_services()
        )

    def _on_reach(
        self, suspected: list[SuspectedReplica], reached: list[ReachedReplica], sent_at_s: float
    ) -> None:
        self.replica_watch.note_group_word(suspected, reached, sent_at_s, self.gateways)

    def _on_peers(self, offers: list[PeerOffer]) -> None:
        self.peers.registry.note_offers(offers, asyncio.get_running_loop().time())

    def _on_member(self) -> None:
        self.stream_origins.send_all()

    def _on_suspects(self, change: SuspectChange, is_full: bool) -> None:
        self.crash_watch.adopt(change, is_full)

    def _on_crashed(self, instance_id: str) -> None:
        record = self.registry.find(instance_id)
        if record is not None:
            self.replica_watch.watch_unreachable(record)

    def _on_current(self, gateways: int, confirmed_at_s: float) -> None:
        self._confirmed_at_s = confirmed_at_s
        if not self._is_current:
            self._is_current = True
            READY.set(1)
            log_event(Event.READINESS_CHANGED, ready=True, gateways=gateways)
            self._notify_change()

    def _on_gateways(self, gateways: int, is_complete: bool) -> None:
        now_s = asyncio.get_running_loop().time()
        self._gateway_count.note(gateways, now_s, is_complete=is_complete)

    def _notify_change(self, *, concerns_all: bool = False) -> None:
        """Wake what waits for a change; in ordered waiting all, or those that get their turn."""
        self._changed.set()
        self._changed = asyncio.Event()
        if self.turns is not None and concerns_all:
            self.turns.wake_all()
        elif self.turns is not None:
            self.turns.offer_all()

    # `ExchangeContext`.

    @property
    def revocation_s(self) -> float:
        """Seconds after which a revoked API key is rejected everywhere; 0 for no bound."""
        return self._settings.key_revocation_s

    def proof_age_s(self) -> float:
        """Seconds since the heartbeat that last confirmed current state; infinite before one."""
        return monotonic_s() - self._confirmed_at_s

    @property
    def gateways(self) -> int:
        """Highest number of live gateways lately."""
        return self._gateway_count.maximum()

    def brittle(self, service: str) -> BrittleReplicas:
        """Return the brittle replicas of a service."""
        return self._brittle.setdefault(service, BrittleReplicas(self._node))

    def on_draining(self, record: ReplicaRecord) -> None:
        """Treat a replica that reported that it drains as draining, and report it to the group."""
        self._on_directory([record.instance.instance_id])
        self._drain_reports.start(record)

    def on_limit_changed(self, record: ReplicaRecord) -> None:
        """Report a replica's rate limit to the group at once; heartbeats report it again."""
        now_s = asyncio.get_running_loop().time()
        report = record.availability.limit.to_report(record.instance.instance_id, now_s)
        self._follower.send_notice(ReplicaLimitsNotice([report]))

    async def wait_for_change(self, timeout_s: float) -> bool:
        """Wait for a change of the directory or the routes; return whether there was one."""
        # Not `wait_for`: it loses a cancellation that coincides with a change, and the request of a
        # caller that disconnected would continue.
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    # `RequestHandler` of callers' connections.

    def limits(self) -> CallerLimits:
        """Return the limits in effect."""
        return CallerLimits() if self._table is None else self._table.configuration.limits

    def is_stopping(self) -> bool:
        """Whether connections close after their current response."""
        return self._stopping

    def wait_limit_at_s(self) -> float:
        """Return the monotonic time after which no request waits for a replica."""
        return self._wait_limit_at_s

    def stop_limit_at_s(self) -> float:
        """Return the monotonic time at which requests in flight are ended."""
        return self._stop_limit_at_s

    def on_connected(self, connection: CallerConnection) -> None:
        """Handle a new connection of a caller, or of another gateway."""
        if self._has_drained:
            # Accepted while the listener closed: its request would run and be cut off without a
            # response.
            connection.abort()
            return
        detect_silence(connection)
        self._running.add_connection(connection)

    def on_disconnected(self, connection: CallerConnection) -> None:
        """Cancel the exchange of a caller that disconnected."""
        self._running.cancel(connection)

    def handle(self, connection: CallerConnection, request: CallerRequest) -> None:
        """Start the exchange of a request."""
        self._running.start(connection, Exchange(self, connection, request))

    def handle_from_peer(
        self, connection: CallerConnection, request: CallerRequest, terms: PeerTerms
    ) -> None:
        """Start the exchange of a request that another gateway passes on."""
        REQUESTS_FROM_PEERS.inc()
        self._running.start(connection, Exchange(self, connection, request, terms))

    def on_writable_changed(self, connection: CallerConnection, writable: bool) -> None:
        """Pause reading from the replica while its caller does not read."""
        self._running.pause_replica(connection, not writable)

    # Shutdown.

    async def drain(self) -> bool:
        """Keep accepting callers until the load balancer has noticed, then finish open requests.

        Returns:
            False if requests were still running at the end of the grace period.
        """
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        self._stopping = True
        self._wait_limit_at_s = started_at_s + STOP_WAIT_S
        self._notify_change(concerns_all=True)
        READY.set(0)
        log_event(
            Event.DRAIN_STARTED, requests=self._running.exchanges, callers=self._running.connections
        )
        end_at_s = started_at_s + max(1.0, self._settings.grace_s - STOP_MARGIN_S)
        self._stop_limit_at_s = end_at_s
        accept_end_at_s = started_at_s + min(
            self._settings.readiness_lag_s, self._settings.grace_s / 2
        )
        await self._wait_until(lambda: False, accept_end_at_s)
        self._listener.close()
        self.peers.close()
        while loop.time() < end_at_s:
            self._running.close_idle()
            if not self._running.connections:
                break
            await asyncio.sleep(STOP_POLL_S)
        # A crash that only this process observed would be lost if it were not reported now.
        report_end_at_s = min(end_at_s, loop.time() + STOP_REPORT_S)
        await self._wait_until(lambda: not self.crash_watch.has_pending_reports, report_end_at_s)
        self._has_drained = True
        finished = not self._running.exchanges
        self._running.end_all()
        await self._wait_until(lambda: not self._running.connections, loop.time() + STOP_FLUSH_S)
        event = Event.DRAIN_FINISHED if finished else Event.DRAIN_LIMIT
        log_event(
            event, requests=self._running.exchanges, seconds=round(loop.time() - started_at_s, 2)
        )
        return finished

    async def _wait_until(self, done: Callable[[], bool], end_at_s: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end_at_s and not done():
            await asyncio.sleep(STOP_POLL_S)

    async def stop(self) -> None:
        """Stop all tasks and close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.crash_watch.stop()
        await self.replica_watch.stop()
        await self._drain_reports.stop()
        self._listener.close()
        self.peers.close()
        self._running.abort_all()
        if self._ready_server is not None:
            await self._ready_server.stop()
