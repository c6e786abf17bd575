"""Keeps a gateway up to date with the control group: routes, replicas and crash record.

The gateway keeps one stream open to a control member. It prefers a member of its own zone, because
every change is pushed to every gateway and would otherwise cross between zones once for each. A
heartbeat every `HEARTBEAT_S` carries the gateway's versions and its demand; the reply confirms the
versions that are current. If a member can't have them confirmed by the leader, or does not have
them itself, the gateway switches to another member at once.
"""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import msgspec

from crowsill.clock import monotonic_s
from crowsill.control.subscribers import DemandCounter
from crowsill.events import Event
from crowsill.gateway.crash_guard import CrashGuard
from crowsill.gateway.pace_log import PaceLog
from crowsill.gateway.replica_registry import ReplicaRegistry
from crowsill.logs import log_event
from crowsill.model.peers import PeerOffer
from crowsill.model.replica_reach import ReachedReplica, SuspectedReplica
from crowsill.model.service_pressure import AdmissionLevel, PressureReport
from crowsill.model.suspects import SuspectChange
from crowsill.settings import Address
from crowsill.state.route_store import RouteDocument
from crowsill.transport.connection import Connection, ConnectionLostError, open_connection
from crowsill.transport.group_contacts import GroupContacts
from crowsill.transport.leader_client import parse_address
from crowsill.transport.messages import (
    Body,
    DirectoryUpdate,
    EntryStatus,
    Freshness,
    GrantRequest,
    Heartbeat,
    NotLeader,
    RoutesUpdate,
)
from crowsill.transport.replica_messages import (
    CrashRequest,
    DemandNotice,
    DrainingInstances,
    ReplicaGrantRequest,
    ReplicaLimitsNotice,
    ReportCrash,
    SuspectInstances,
    SuspectsUpdate,
)
from crowsill.transport.stream import LocalIdentity, ProtocolError
from crowsill.transport.stream_messages import FindStreamOrigin, StreamOriginsNotice

GroupQuery = GrantRequest | ReplicaGrantRequest | CrashRequest | FindStreamOrigin
GroupNotice = (
    DemandNotice | SuspectInstances | DrainingInstances | ReplicaLimitsNotice | StreamOriginsNotice
)

HEARTBEAT_S = 0.5
HEARTBEAT_TIMEOUT_S = 0.8
INITIAL_RETRY_S = 0.05
MAX_RETRY_S = 0.2
# Gateways that follow a member of another zone switch to one of their own within this time, each
# after a random delay, so that hundreds of them do not connect at once.
ZONE_SWITCH_SPREAD_S = 2.0
# Minimum delay before a failed member of the own zone is preferred again.
ZONE_SWITCH_RETRY_S = 5.0


@dataclass(frozen=True, slots=True)
class GatewayHooks:
    """Callbacks of the gateway for changes.

    Attributes:
        on_routes: Receives a newer route configuration.
        on_directory: Called when the directory changed; receives the ids of instances that get no
            more work.
        on_current: Called when the gateway has everything that the group confirmed as current;
            receives the number of gateways and the time (`clock.monotonic_s`) just before the
            heartbeat was sent.
        on_suspects: Receives a change of the crash record, and whether it is the full record.
        peer_offer: Returns what this gateway offers to others; None for nothing.
        on_peers: Receives what other gateways offer, as far as the group reports it.
        pressure: Returns the demand since the last heartbeat; None if it is not reported.
        on_level: Receives what is admitted now, as far as the group reports it.
        on_reach: Receives the replicas that gateways fail to reach and those that were reached
            again, and the time (`clock.monotonic_s`) just before the heartbeat was sent.
        on_member: Called when a member has confirmed current state for the first time.
        on_gateways: Receives the number of gateways, and whether the leader has counted all.
    """

    on_routes: Callable[[RouteDocument], None]
    on_directory: Callable[[list[str]], None]
    on_current: Callable[[int, float], None]
    on_suspects: Callable[[SuspectChange, bool], None]
    peer_offer: Callable[[], PeerOffer | None] = lambda: None
    on_peers: Callable[[list[PeerOffer]], None] = lambda _offers: None
    pressure: Callable[[], PressureReport | None] = lambda: None
    on_level: Callable[[AdmissionLevel], None] = lambda _level: None
    on_reach: Callable[[list[SuspectedReplica], list[ReachedReplica], float], None] = (
        lambda _suspected, _reached, _sent_at_s: None
    )
    on_gateways: Callable[[int, bool], None] = lambda _gateways, _is_complete: None
    on_member: Callable[[], None] = lambda: None


class GatewayFollower:
    """Follows one control member at a time.

    Attributes:
        registry: The replicas.
        routes_version: Version of the newest routes that were adopted; it never decreases.
        demand: Requests by resource since the last heartbeat.
        urgent: Those with a short target latency.
        overloaded: Those whose first event took most of their target latency, or that found no
            replica with capacity.
    """

    def __init__(
        self,
        local: LocalIdentity,
        seeds: list[Address],
        registry: ReplicaRegistry,
        guard: CrashGuard,
        *,
        hooks: GatewayHooks,
        random: Random,
    ) -> None:
        self.registry = registry
        self._guard = guard
        self.routes_version = 0
        self.demand = DemandCounter()
        self.urgent = DemandCounter()
        self.overloaded = DemandCounter()
        self._local = local
        self._contacts = GroupContacts(seeds, random)
        self._hooks = hooks
        self._random = random
        # The stream to a member that has confirmed current state, and one that may not have yet.
        self._connection: Connection | None = None
        self._open_connection: Connection | None = None
        # Set while a stream is open, confirmed or not.
        self._is_open = asyncio.Event()
        self._last_failed: Address | None = None
        # Monotonic time from which members of the own zone are preferred.
        self._prefer_own_zone_at_s = monotonic_s() + ZONE_SWITCH_SPREAD_S * random.random()
        self._is_switching_zone = False
        # Versions that the group confirmed as current, until the gateway has received all of them.
        self._pending_freshness: Freshness | None = None
        self._pace_log = PaceLog()
        self._heartbeat_sent_at_s = 0.0

    def use_seeds(self, seeds: list[Address]) -> None:
        """Replace the seed addresses."""
        self._contacts.seeds = seeds

    def _targets(self) -> list[Address]:
        """Return known members: those of the own zone first, and the last that failed last."""
        targets = self._contacts.targets()
        if monotonic_s() >= self._prefer_own_zone_at_s:
            targets.sort(
                key=lambda address: not self._contacts.is_in_zone(address, self._local.zone)
            )
        targets.sort(key=lambda address: address == self._last_failed)
        return targets

    def _should_switch_zone(self, address: Address, now_s: float) -> bool:
        """Whether to switch from this member to one of the own zone."""
        zone = self._local.zone
        if now_s < self._prefer_own_zone_at_s or self._contacts.is_in_zone(address, zone):
            return False
        return any(self._contacts.is_in_zone(member, zone) for member in self._contacts.members)

    async def run(self) -> None:
        """Follow members one after the other, until cancelled."""
        delay_s = INITIAL_RETRY_S
        while True:
            for address in self._targets():
                was_confirmed = await self._follow(address)
                self._last_failed = address
                if was_confirmed:
                    delay_s = INITIAL_RETRY_S
                    break
            else:
                self._contacts.note_not_found(monotonic_s())
            if self._is_switching_zone:
                self._is_switching_zone = False
                continue
            await asyncio.sleep(delay_s * (0.5 + self._random.random()))
            delay_s = min(MAX_RETRY_S, delay_s * 1.5)

    async def _follow(self, address: Address) -> bool:
        """Follow one member until it fails; return whether it ever confirmed anything."""
        try:
            connection = await open_connection(
                address.host, address.port, self._local, on_push=self._on_push
            )
        except (OSError, TimeoutError, ProtocolError):
            self._note_member_failed(address)
            return False
        reader = asyncio.create_task(connection.run())
        self._open_connection = connection
        self._is_open.set()
        was_confirmed = False
        try:
            while not connection.is_closed and await self._heartbeat(connection):
                self._connection = connection
                if not was_confirmed:
                    log_event(Event.PEER_CONNECTED, member=connection.peer.node)
                    self._hooks.on_member()
                was_confirmed = True
                self._contacts.note_found()
                if self._should_switch_zone(address, monotonic_s()):
                    self._is_switching_zone = True
                    return was_confirmed
                await asyncio.wait([reader], timeout=HEARTBEAT_S)
            self._note_member_failed(address)
            return was_confirmed
        finally:
            if was_confirmed:
                log_event(Event.PEER_LOST, member=connection.peer.node)
            self.note_disconnected()
            connection.close()
            await asyncio.wait([reader])

    def _note_member_failed(self, address: Address) -> None:
        """Stop preferring the own zone for a while if one of its members failed."""
        if self._contacts.is_in_zone(address, self._local.zone):
            self._prefer_own_zone_at_s = monotonic_s() + ZONE_SWITCH_RETRY_S * (
                1.0 + self._random.random()
            )

    def note_disconnected(self) -> None:
        """Discard what was confirmed on a stream that has ended."""
        self._connection = self._open_connection = None
        self._is_open.clear()
        self._pending_freshness = None

    async def _heartbeat(self, connection: Connection) -> bool:
        local = self._local
        excluded = self.registry.excluded(monotonic_s())
        offer = self._hooks.peer_offer()
        status = EntryStatus(local.identity, local.node, local.zone, 0, excluded, offer)
        demand = self.demand.collect()
        urgent = self.urgent.collect()
        overloaded = self.overloaded.collect()
        in_use = self.registry.in_use(monotonic_s())
        heartbeat = Heartbeat(
            fleet_epoch=0,
            fleet_sequence=0,
            entries=[status],
            demand=demand,
            follows_configuration=False,
            follows_routes=True,
            routes_version=self.routes_version,
            directory_version=self.registry.version,
            suspects_version=self._guard.version,
            urgent=urgent,
            overloaded=overloaded,
            in_use=self.registry.with_received_paces(in_use),
            limits=self.registry.limit_reports(monotonic_s()),
            pressure=self._hooks.pressure(),
        )
        sent_at_s = monotonic_s()
        try:
            reply = await connection.request(heartbeat, HEARTBEAT_TIMEOUT_S)
        except ConnectionLostError:
            reply = None
        if isinstance(reply, NotLeader):
            # Unverified addresses: a process that restarted without state may have no others.
            referred = [*([] if reply.leader is None else [reply.leader]), *reply.members]
            self._contacts.add_referrals([parse_address(member) for member in referred])
        if not isinstance(reply, Freshness):
            # The counts are dropped. Sent later, they would look like a burst of requests.
            return False
        self.registry.note_limit_reports(reply.limits, monotonic_s())
        self._hooks.on_peers(reply.peers)
        if reply.level is not None:
            self._hooks.on_level(reply.level)
        self._hooks.on_reach(reply.suspected, reply.reached, sent_at_s)
        if reply.in_use is not None:
            self.registry.note_total_use(reply.in_use, in_use, monotonic_s())
        self._pace_log.update(self.registry.paces(monotonic_s()))
        if reply.members:
            members = [parse_address(member) for member in reply.members]
            self._contacts.set_members(members, reply.member_zones)
        if self._pending_freshness is not None:
            # A stream is ordered: what one reply confirmed is pushed before the next reply, however
            # slow the link is. What is still missing will not arrive; follow another member.
            self._log_pending_freshness(connection, self._pending_freshness)
            return False
        self._pending_freshness = reply
        self._heartbeat_sent_at_s = sent_at_s
        self._report_if_current()
        return True

    def _log_pending_freshness(self, connection: Connection, freshness: Freshness) -> None:
        """Log that versions confirmed by one heartbeat were still missing at the next one."""
        log_event(
            Event.ROUTES_AWAITED,
            member=connection.peer.node,
            routes=self.routes_version,
            confirmed_routes=freshness.routes_version,
            directory=self.registry.version,
            confirmed_directory=freshness.directory_version,
        )

    def _report_if_current(self) -> None:
        """Call `on_current` if the gateway has everything that the group confirmed last."""
        freshness = self._pending_freshness
        if freshness is None or self.routes_version < freshness.routes_version:
            return
        if self.registry.version < freshness.directory_version:
            return
        if self._guard.version < freshness.suspects_version:
            return
        self._pending_freshness = None
        gateways = max(1, freshness.entries)
        self._hooks.on_gateways(gateways, freshness.has_all_entries)
        self._hooks.on_current(gateways, self._heartbeat_sent_at_s)

    def send_notice(self, notice: GroupNotice) -> bool:
        """Send a notice to the group without waiting; return whether it could be sent."""
        connection = self._connection
        if connection is None and isinstance(notice, StreamOriginsNotice):
            # Any member keeps it, also during an election.
            connection = self._open_connection
        return connection is not None and connection.push(notice)

    def is_connected(self) -> bool:
        """Whether a member of the group is connected."""
        return self._connection is not None

    async def query(
        self,
        message: GroupQuery,
        timeout_s: float,
    ) -> Body | None:
        """Send a request to the group; return the reply, or None if there was none.

        Args:
            message: The request.
            timeout_s: How long to wait for the reply; for the origin of a stream also for a
                connection, and a report of a crash waits as long for one beforehand.
        """
        connection = self._connection
        if connection is None and isinstance(message, FindStreamOrigin):
            end_at_s = monotonic_s() + timeout_s
            connection = await self._next_open_connection(timeout_s)
            timeout_s = max(0.0, end_at_s - monotonic_s())
        if connection is None and isinstance(message, ReportCrash):
            # Any member keeps the report until there is a leader.
            asked_at_s = monotonic_s()
            connection = await self._next_open_connection(timeout_s)
            ago_s = message.ago_s + monotonic_s() - asked_at_s
            message = msgspec.structs.replace(message, ago_s=ago_s)
        if connection is None:
            return None
        try:
            return await connection.request(message, timeout_s)
        except ConnectionLostError:
            return None

    async def _next_open_connection(self, timeout_s: float) -> Connection | None:
        """Return a stream that is open, or the next one within `timeout_s`.

        A stream to a member that confirms nothing is open only until the reply to its first
        heartbeat.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._is_open.wait()
        return self._open_connection

    def _on_push(self, _connection: Connection, body: Body) -> None:
        if isinstance(body, RoutesUpdate) and body.document.version > self.routes_version:
            self.routes_version = body.document.version
            self._hooks.on_routes(body.document)
        elif isinstance(body, DirectoryUpdate):
            # Same clock as the event loop's, which times requests.
            dropped_ids = self.registry.adopt(body.change, body.is_full, monotonic_s())
            self._hooks.on_directory(dropped_ids)
        elif isinstance(body, SuspectsUpdate):
            self._hooks.on_suspects(body.change, body.is_full)
        self._report_if_current()
