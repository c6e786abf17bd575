"""How a gateway follows the control group: routes, replicas, and what is current.

It holds one stream to a control member: one of its own site if there is one, since all that changes
is pushed to each gateway and would cross between sites for each, else any. A heartbeat every
`HEARTBEAT_S` carries what it has and the demand it saw. A member that cannot have the leader
confirm what is current, or lacks what is confirmed, is left for another one at once.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from crowsill.clock import monotonic_s
from crowsill.control.subscribers import DemandCounter
from crowsill.events import Event
from crowsill.gateway.crash_guard import CrashGuard
from crowsill.gateway.replica_registry import ReplicaRegistry
from crowsill.logs import log_event
from crowsill.model.suspects import SuspectChange
from crowsill.settings import Address
from crowsill.state.route_store import RouteDocument
from crowsill.transport.connection import Connection, ConnectionLostError, open_connection
from crowsill.transport.group_contacts import GroupContacts
from crowsill.transport.leader_client import parse_address
from crowsill.transport.messages import (
    Body,
    Currency,
    DirectoryUpdate,
    EntryStatus,
    GrantRequest,
    Heartbeat,
    NotLeader,
    RoutesUpdate,
)
from crowsill.transport.replica_messages import (
    ClearRequests,
    DemandNotice,
    LeavingInstances,
    ReplicaGrantRequest,
    ReplicaLimitsNotice,
    ReportCrash,
    SuspectInstances,
    SuspectsUpdate,
)
from crowsill.transport.stream import LocalIdentity, ProtocolError

HEARTBEAT_S = 0.5
HEARTBEAT_TIMEOUT_S = 0.8
INITIAL_RETRY_S = 0.05
MAX_RETRY_S = 0.2
# Gateways that follow a member of another site move to their own within this time, each at a moment
# of its own, so that hundreds of them do not come at once.
ZONE_SWITCH_SPREAD_S = 2.0
# A member of the own site that has failed is followed again after this time at the soonest.
ZONE_SWITCH_RETRY_S = 5.0


@dataclass(frozen=True, slots=True)
class GatewayHooks:
    """What the gateway does when something changes.

    Attributes:
        on_routes: A newer route configuration came.
        on_directory: The directory changed; receives the ids that get no more work.
        on_current: The group has proved what is current; receives the number of gateways, and the
            clock (`clock.monotonic_s`) just before it was asked.
        on_suspects: The crash record changed, or came whole.
    """

    on_routes: Callable[[RouteDocument], None]
    on_directory: Callable[[list[str]], None]
    on_current: Callable[[int, float], None]
    on_suspects: Callable[[SuspectChange, bool], None]


class GatewayFollower:
    """Keeps one gateway up to date.

    Attributes:
        registry: The replicas.
        routes_version: Version of the newest routes taken in; it never falls.
        demand: Requests by resource since the last heartbeat.
        urgent: Those of them that have a short target.
        overloaded: Those whose first event took most of their target, or that found no place.
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
        self._connection: Connection | None = None
        self._last_failed: Address | None = None
        # Clock from which a member of the own site is preferred to the one that is followed.
        self._prefer_own_zone_at_s = monotonic_s() + ZONE_SWITCH_SPREAD_S * random.random()
        self._is_switching_zone = False
        # What the group confirmed as current, while not all of it has come.
        self._pending_freshness: Currency | None = None
        self._heartbeat_sent_at_s = 0.0

    def use_seeds(self, seeds: list[Address]) -> None:
        """Use other seeds from now on."""
        self._contacts.seeds = seeds

    def _targets(self) -> list[Address]:
        """Known members, those of the own site first, then others; the last that failed is last."""
        targets = self._contacts.targets()
        if monotonic_s() >= self._prefer_own_zone_at_s:
            targets.sort(key=lambda address: not self._contacts.is_at(address, self._local.zone))
        targets.sort(key=lambda address: address == self._last_failed)
        return targets

    def _should_switch_zone(self, address: Address, now_s: float) -> bool:
        """Whether a member of the own site is to be followed in place of the present one."""
        zone = self._local.zone
        if now_s < self._prefer_own_zone_at_s or self._contacts.is_at(address, zone):
            return False
        return any(self._contacts.is_at(member, zone) for member in self._contacts.members)

    async def run(self) -> None:
        """Follow for as long as the gateway runs."""
        delay_s = INITIAL_RETRY_S
        while True:
            for address in self._targets():
                is_proved = await self._follow(address)
                self._last_failed = address
                if is_proved:
                    delay_s = INITIAL_RETRY_S
                    break
            else:
                self._contacts.missed(monotonic_s())
            if self._is_switching_zone:
                self._is_switching_zone = False
                continue
            await asyncio.sleep(delay_s * (0.5 + self._random.random()))
            delay_s = min(MAX_RETRY_S, delay_s * 1.5)

    async def _follow(self, address: Address) -> bool:
        """Follow one member until it fails; return whether it ever proved anything."""
        try:
            connection = await open_connection(
                address.host, address.port, self._local, on_push=self._on_push
            )
        except (OSError, TimeoutError, ProtocolError):
            self._note_member_failed(address)
            return False
        reader = asyncio.create_task(connection.run())
        has_proved = False
        try:
            while not connection.is_closed and await self._heartbeat(connection):
                if not has_proved:
                    log_event(Event.PEER_CONNECTED, member=connection.peer.node)
                has_proved = True
                self._contacts.found()
                self._connection = connection
                if self._should_switch_zone(address, monotonic_s()):
                    self._is_switching_zone = True
                    return has_proved
                await asyncio.wait([reader], timeout=HEARTBEAT_S)
            self._note_member_failed(address)
            return has_proved
        finally:
            if has_proved:
                log_event(Event.PEER_LOST, member=connection.peer.node)
            self.note_disconnected()
            connection.close()
            await asyncio.wait([reader])

    def _note_member_failed(self, address: Address) -> None:
        """A member could not be followed: one of the own site is left alone for a while."""
        if self._contacts.is_at(address, self._local.zone):
            self._prefer_own_zone_at_s = monotonic_s() + ZONE_SWITCH_RETRY_S * (
                1.0 + self._random.random()
            )

    def note_disconnected(self) -> None:
        """The stream has ended: what was confirmed on it counts no more."""
        self._connection = None
        self._pending_freshness = None

    async def _heartbeat(self, connection: Connection) -> bool:
        local = self._local
        excluded = self.registry.excluded(monotonic_s())
        status = EntryStatus(local.identity, local.node, local.zone, 0, excluded)
        demand = self.demand.collect()
        urgent = self.urgent.collect()
        overloaded = self.overloaded.collect()
        in_use = self.registry.in_use()
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
            pressed=overloaded,
            in_use=in_use,
            limits=self.registry.limit_reports(monotonic_s()),
        )
        sent_at_s = monotonic_s()
        try:
            reply = await connection.request(heartbeat, HEARTBEAT_TIMEOUT_S)
        except ConnectionLostError:
            reply = None
        if isinstance(reply, NotLeader):
            # Hearsay: a process that was restarted without a memory may know the group by it alone.
            referred = [*([] if reply.leader is None else [reply.leader]), *reply.members]
            self._contacts.refer([parse_address(member) for member in referred])
        if not isinstance(reply, Currency):
            # What was counted is dropped: kept, it would arrive later as if it had come at once.
            return False
        self.registry.note_limit_reports(reply.limits, monotonic_s())
        if reply.in_use is not None:
            self.registry.note_total_use(reply.in_use, in_use, monotonic_s())
        if reply.members:
            members = [parse_address(member) for member in reply.members]
            self._contacts.learn(members, reply.member_zones)
        if self._pending_freshness is not None:
            # A stream keeps its order, so that what one reply confirmed has come before the next
            # reply, however slow the link is. What has not come will not: ask another member.
            self._log_pending_freshness(connection, self._pending_freshness)
            return False
        self._pending_freshness = reply
        self._heartbeat_sent_at_s = sent_at_s
        self._report_if_current()
        return True

    def _log_pending_freshness(self, connection: Connection, freshness: Currency) -> None:
        """Log that what one heartbeat confirmed had not come by the next one."""
        log_event(
            Event.ROUTES_AWAITED,
            member=connection.peer.node,
            routes=self.routes_version,
            confirmed_routes=freshness.routes_version,
            directory=self.registry.version,
            confirmed_directory=freshness.directory_version,
        )

    def _report_if_current(self) -> None:
        """Say so once everything that the group confirmed last has come."""
        freshness = self._pending_freshness
        if freshness is None or self.routes_version < freshness.routes_version:
            return
        if self.registry.version < freshness.directory_version:
            return
        if self._guard.version < freshness.suspects_version:
            return
        self._pending_freshness = None
        self._hooks.on_current(max(1, freshness.entries), self._heartbeat_sent_at_s)

    def send_notice(
        self, notice: DemandNotice | SuspectInstances | LeavingInstances | ReplicaLimitsNotice
    ) -> bool:
        """Tell the group at once what was seen; return whether it could be sent."""
        connection = self._connection
        return connection is not None and connection.push(notice)

    async def query(
        self,
        question: GrantRequest | ReplicaGrantRequest | ReportCrash | ClearRequests,
        timeout_s: float,
    ) -> Body | None:
        """Ask the group through the member that is followed; None when no reply came."""
        connection = self._connection
        if connection is None:
            return None
        try:
            return await connection.request(question, timeout_s)
        except ConnectionLostError:
            return None

    def _on_push(self, _connection: Connection, body: Body) -> None:
        if isinstance(body, RoutesUpdate) and body.document.version > self.routes_version:
            self.routes_version = body.document.version
            self._hooks.on_routes(body.document)
        elif isinstance(body, DirectoryUpdate):
            # The clock of a daemon's event loop, by which requests are timed.
            ended = self.registry.adopt(body.change, body.whole, monotonic_s())
            self._hooks.on_directory(ended)
        elif isinstance(body, SuspectsUpdate):
            self._hooks.on_suspects(body.change, body.whole)
        self._report_if_current()
