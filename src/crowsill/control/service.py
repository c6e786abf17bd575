"""Handles requests and pushes of other processes at a control member."""

import asyncio
from collections.abc import Callable

import msgspec

from crowsill.clock import PROCESS_STARTED_S, monotonic_s
from crowsill.control.announcer import GroupAnnouncer, accept_referral
from crowsill.control.crash_reports import CrashReports
from crowsill.control.draining_replicas import DrainingReplicas
from crowsill.control.driver import ConsensusDriver
from crowsill.control.gateway_reports import GatewayReports
from crowsill.control.members import MemberChanges
from crowsill.control.quota_grants import QuotaGrants
from crowsill.control.replica_liveness import ReplicaLiveness
from crowsill.control.retry_grants import RetryGrants
from crowsill.control.stream_origins import MemberStreamOrigins
from crowsill.control.subscribers import FreshnessRelay, Subscribers
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.settings import Address
from crowsill.state.commands import PublishRoutes, command_fault
from crowsill.transport.connection import Connection, ConnectionLostError
from crowsill.transport.group_contacts import GroupContacts
from crowsill.transport.leader_client import format_address
from crowsill.transport.member_links import MemberLinks
from crowsill.transport.membership_messages import (
    EmptyCheck,
    EmptyCheckReply,
    FindGroup,
    GroupReferral,
    JoinReply,
    JoinRequest,
    MembersRequest,
)
from crowsill.transport.messages import (
    Body,
    CommandRejected,
    ConsensusTraffic,
    Freshness,
    GrantRequest,
    Heartbeat,
    MemberBehind,
    NotLeader,
    Ping,
    Pong,
    SubmitCommand,
)
from crowsill.transport.replica_messages import (
    ClearRequests,
    CrashRequest,
    DemandNotice,
    DrainingInstances,
    FinishSuspectRun,
    ReplicaGrantRequest,
    ReplicaLimitsNotice,
    ReportCrash,
    ReportSoundParts,
    SeenInstances,
    StartSuspectRun,
    SuspectInstances,
)
from crowsill.transport.stream import LocalIdentity
from crowsill.transport.stream_messages import (
    FindStreamOrigin,
    FoundStreamOrigin,
    StreamOriginsNotice,
)

GatewayRequest = Heartbeat | GrantRequest | ReplicaGrantRequest | CrashRequest

LEADER_REPLY_TIMEOUT_S = 1.0
FORWARD_TIMEOUT_S = 3.0
# A member that has just started keeps a gateway's request waiting up to this time until a leader is
# known. Without the wait, gateways repeat their requests throughout the election.
MAX_LEADER_WAIT_S = 0.6
STARTUP_PERIOD_S = 3.0
LEADER_POLL_INTERVAL_S = 0.01
# A member that hasn't applied the state confirmed by the leader waits up to this time before it
# redirects a follower. Followers apply a commit with the leader's next heartbeat (0.1 s). The
# heartbeat interval of a gateway (0.5 s), this wait and a new stream (0.3 s to connect) add up to
# 1.2 s after an acknowledgement.
MAX_APPLY_WAIT_S = 0.4
APPLY_POLL_INTERVAL_S = 0.01
MAX_FULL_GROUP_WAIT_S = 2.5
FULL_GROUP_POLL_INTERVAL_S = 0.02


class MemberService:
    """Handles requests and pushes that arrive at a control member.

    Attributes:
        driver: The consensus driver; None until the group is known.
        reports: Reports of gateways and entries to this member.
        liveness: When replicas last sent heartbeats, and which ones gateways cannot reach.
        draining: Replicas that announced in a response that they drain.
        leader_stream: Stream to the leader while this member follows.
        on_waiting: Called on the leader with the resources that requests at gateways wait for, and
            the software versions of the replicas that may serve resumed streams, by resource.
        announcer: Sends the group's addresses to other processes while this member leads; None
            otherwise.
        quota: Grants quota units to tenants.
        retries: Grants retries of services.
    """

    def __init__(
        self,
        local: LocalIdentity,
        is_empty: bool,
        subscribers: Subscribers,
        links: MemberLinks,
        contacts: GroupContacts,
        *,
        quota: QuotaGrants,
        retries: RetryGrants,
        target_voters: int | None = None,
        heartbeat_s: float = 1.0,
    ) -> None:
        """Make the service.

        Args:
            local: Identity of this member.
            is_empty: Whether the member had no stored state when it started.
            subscribers: Streams that receive this member's state.
            links: Streams to the other members.
            contacts: Addresses at which this member looks for the group while it belongs to none.
            quota: Grants quota units to tenants.
            retries: Grants retries of services.
            target_voters: Number of voters that a group formed from seeds grows to.
            heartbeat_s: Time between two heartbeats of a replica that registers itself.
        """
        self.quota = quota
        self.retries = retries
        self._target_voters = target_voters
        self._has_reached_full_size = False
        self.on_waiting: Callable[[dict[str, int], dict[str, list[str]]], None] = (
            self.forward_demand
        )
        self.announcer: GroupAnnouncer | None = None
        self._links = links
        self._contacts = contacts
        self._local = local
        self._was_empty = is_empty
        self._subscribers = subscribers
        self.driver: ConsensusDriver | None = None
        self.reports = GatewayReports()
        self.liveness = ReplicaLiveness(heartbeat_s, self._push_to_leader)
        self.leader_stream: Connection | None = None
        self.draining = DrainingReplicas(
            lambda: None if self.driver is None else self.driver.machine.directory,
            self.submit_or_forward,
        )
        self.crash_reports = CrashReports(self.submit_or_forward)
        self._stream_origins = MemberStreamOrigins(links, self.infer_stream_origin)
        self._relay = FreshnessRelay(self._query_leader)
        # Zones of members by identity, as reported by their streams.
        self._zones = {local.identity: local.zone}

    async def on_request(self, connection: Connection, body: Body) -> Body:
        """Handle a request and return the response."""
        if isinstance(body, Ping | EmptyCheck | GroupReferral | FindStreamOrigin):
            return await self._handle_locally(connection, body)
        driver = self.driver
        if driver is None:
            return self._redirect(None)
        if isinstance(body, SubmitCommand | MembersRequest):
            return await self.handle_as_leader(body, driver)
        if isinstance(body, GatewayRequest):
            return await self._handle_gateway(connection, body, driver)
        if isinstance(body, JoinRequest | FindGroup) and driver.is_leader:
            return self._handle_group_request(body, driver)
        return self._redirect(driver)

    def _redirect(self, driver: ConsensusDriver | None) -> NotLeader:
        """Redirect a caller to the leader, or to processes that may know the leader."""
        members = [] if driver is None else driver.node.membership.members
        known = [f"{member.host}:{member.port}" for member in members]
        if not known:
            known = [format_address(address) for address in self._contacts.known_addresses()]
        return NotLeader(None if driver is None else driver.leader_address(), known)

    def _handle_group_request(
        self, request: JoinRequest | FindGroup, driver: ConsensusDriver
    ) -> JoinReply | GroupReferral:
        """Handle, as the leader, a request of a process that looks for the group."""
        if isinstance(request, JoinRequest):
            return self._member_changes(driver).join(request)
        if self.announcer is not None:
            self.announcer.note_request(request.address)
        return GroupReferral([format_address(address) for address in member_addresses(driver)])

    async def _handle_locally(
        self, connection: Connection, request: Ping | EmptyCheck | GroupReferral | FindStreamOrigin
    ) -> Pong | EmptyCheckReply | FoundStreamOrigin:
        """Handle a request that needs no leader."""
        if isinstance(request, FindStreamOrigin):
            return await self._stream_origins.find(request)
        if isinstance(request, GroupReferral):
            return accept_referral(self._contacts, connection, request)
        if isinstance(request, Ping):
            return Pong()
        return EmptyCheckReply(self._local.identity, self._is_empty())

    async def handle_as_leader(
        self, request: SubmitCommand | MembersRequest, driver: ConsensusDriver
    ) -> Body:
        """Handle a request that only a leader can serve."""
        if isinstance(request, SubmitCommand):
            if isinstance(request.command, PublishRoutes):
                await self._wait_until_full(driver)
            return await driver.submit(request.command)
        if not driver.is_leader:
            return NotLeader(driver.leader_address())
        return await self._member_changes(driver).handle(request)

    def _member_changes(self, driver: ConsensusDriver) -> MemberChanges:
        return MemberChanges(driver, self._local, self._target_voters)

    async def _wait_until_full(self, driver: ConsensusDriver) -> None:
        """Delay the first acknowledgement until the group has its full size.

        Losing as many disks as a full group survives could make a smaller group lose an
        acknowledged entry.
        """
        deadline_at_s = monotonic_s() + MAX_FULL_GROUP_WAIT_S
        while not self._has_reached_full_size and driver.is_leader:
            if self._member_changes(driver).is_full() or monotonic_s() > deadline_at_s:
                self._has_reached_full_size = True
                return
            await asyncio.sleep(FULL_GROUP_POLL_INTERVAL_S)

    async def submit_or_forward(self, request: SubmitCommand) -> Body:
        """Commit a command at this member if it leads, otherwise through the leader.

        Raises:
            ConnectionLostError: The connection to the leader broke; the command may or may not be
                committed.
        """
        driver = self.driver
        if driver is None:
            return NotLeader(None)
        fault = command_fault(request.command)
        if fault is not None:
            return CommandRejected(fault)
        if driver.is_leader:
            return await self.handle_as_leader(request, driver)
        stream = self.leader_stream
        if stream is None or stream.is_closed:
            return NotLeader(None)
        return await stream.request(request, FORWARD_TIMEOUT_S)

    async def confirmed_freshness(self) -> Freshness | None:
        """Return the current versions, confirmed after this call by the lease of a leader."""
        freshness = self.own_freshness()
        return freshness if freshness is not None else await self._relay.confirm()

    async def infer_stream_origin(self, service: str) -> FoundStreamOrigin:
        """Return what is known of a stream of a service that has no record.

        A replica is recorded before any gateway sends to it. So what the leader confirms after this
        call covers every replica that can have begun the stream, unless a member from which a
        gateway learned of the replica is ahead of the leader.
        """
        freshness = await self.confirmed_freshness()
        if freshness is None or freshness.lacks_commits or self.driver is None:
            return FoundStreamOrigin(None)
        if not await self.has_applied(freshness, monotonic_s() + MAX_APPLY_WAIT_S):
            return FoundStreamOrigin(None)
        version = self.driver.machine.directory.sole_version(service)
        return FoundStreamOrigin(
            None,
            version,
            has_several_versions=version is None,
            routes_version=freshness.routes_version,
        )

    def leader_host(self) -> str:
        """Return the leader's IP address, or an empty string."""
        driver = self.driver
        address = None if driver is None else driver.leader_address()
        return "" if address is None else address.rpartition(":")[0]

    def forward_demand(
        self, awaited: dict[str, int], software_versions: dict[str, list[str]]
    ) -> None:
        """Push to the leader at once which resources requests at gateways wait for."""
        stream = self.leader_stream
        if stream is not None and not stream.is_closed:
            stream.push(DemandNotice(awaited, software_versions))

    def on_push(self, connection: Connection, body: Body) -> None:
        """Handle a push."""
        if isinstance(body, ConsensusTraffic) and self.driver is not None:
            self._links.note_incoming(connection)
            self._zones[connection.peer.identity] = connection.peer.zone
            self.driver.receive(body.envelopes)
        elif isinstance(body, DemandNotice):
            self.on_waiting(body.missing, body.software_versions)
        elif isinstance(body, SeenInstances):
            self.liveness.note_heartbeats(body.instance_ids)
        elif isinstance(body, DrainingInstances):
            self.draining.note(body.instance_ids)
        elif isinstance(body, SuspectInstances):
            self.liveness.note_suspects(body)
        elif isinstance(body, ReplicaLimitsNotice):
            self._note_limits(body)
        elif isinstance(body, StreamOriginsNotice):
            self._stream_origins.note(body)

    def _note_limits(self, notice: ReplicaLimitsNotice) -> None:
        """Record the limits that replicas advertised to a gateway; a follower pushes them on."""
        self.reports.replica_grants.note(notice.reports)
        self._push_to_leader(notice)

    def _push_to_leader(
        self, notice: SeenInstances | SuspectInstances | ReplicaLimitsNotice
    ) -> None:
        stream = self.leader_stream
        if stream is not None and not stream.is_closed:
            stream.push(notice)

    def _is_empty(self) -> bool:
        if not self._was_empty:
            return False
        return self.driver is None or self.driver.node.term == 0

    async def _handle_gateway(
        self,
        connection: Connection,
        request: GatewayRequest,
        driver: ConsensusDriver,
    ) -> Body:
        """Handle a request of an entry or gateway, or of a follower on their behalf."""
        match request:
            case GrantRequest(retries_of=service) if service:
                return await self.retries.handle(request, driver, self.leader_stream)
            case GrantRequest():
                return await self.quota.handle(request, driver, self.leader_stream)
            case ReplicaGrantRequest():
                grants = self.reports.replica_grants
                return await grants.handle(request, driver, self.leader_stream)
            case (
                ReportCrash()
                | ClearRequests()
                | StartSuspectRun()
                | FinishSuspectRun()
                | ReportSoundParts()
            ):
                return await self.crash_reports.handle(request, driver.machine)
            case _:
                return await self._on_heartbeat(connection, request, driver)

    async def _on_heartbeat(
        self, connection: Connection, heartbeat: Heartbeat, driver: ConsensusDriver
    ) -> Body:
        self.reports.note(heartbeat, monotonic_s())
        if heartbeat.in_use is not None:
            self.reports.note_use(connection.peer.identity, heartbeat.in_use, monotonic_s())
        if heartbeat.pressure is not None:
            source = connection.peer.identity
            self.reports.levels.note_report(source, heartbeat.pressure, monotonic_s())
        self._subscribers.subscribe(connection, heartbeat)
        await self._wait_for_first_leader(driver)
        freshness = await self.confirmed_freshness()
        if freshness is None:
            return self._redirect(driver)
        # A member confirms only state that it has applied. One whose disk hangs still responds, and
        # its gateways would wait for updates that it cannot deliver.
        if not await self.has_applied(freshness, monotonic_s() + MAX_APPLY_WAIT_S):
            log_event(Event.MEMBER_BEHIND, follower=connection.peer.node)
            return MemberBehind()
        if heartbeat.pressure is not None:
            leader_term = driver.node.term if driver.is_leader else None
            level = self.reports.levels.level(leader_term, monotonic_s())
            freshness = msgspec.structs.replace(freshness, level=level)
        if heartbeat.in_use is None:
            return freshness
        in_use = self.reports.total_use(driver.is_leader, monotonic_s())
        peers = self.reports.peer_offers(connection.peer.zone, monotonic_s())
        return msgspec.structs.replace(freshness, in_use=in_use, peers=peers)

    async def has_applied(self, freshness: Freshness, deadline_at_s: float) -> bool:
        """Wait until this member has applied the confirmed state; return False on a time-out.

        Args:
            freshness: Versions that the leader confirmed.
            deadline_at_s: Monotonic time in seconds at which the wait ends.
        """
        while not self._has_applied(freshness):
            if monotonic_s() > deadline_at_s:
                return False
            await asyncio.sleep(APPLY_POLL_INTERVAL_S)
        return True

    def _has_applied(self, freshness: Freshness) -> bool:
        if self.driver is None:
            return False
        machine = self.driver.machine
        return (
            machine.configuration.current.revision >= freshness.revision
            and machine.routes.current.version >= freshness.routes_version
            and machine.directory.version >= freshness.directory_version
            and machine.crashes.version >= freshness.suspects_version
        )

    async def _wait_for_first_leader(self, driver: ConsensusDriver) -> None:
        """Wait briefly for a leader if this member has just started."""
        now_s = monotonic_s()
        if now_s - PROCESS_STARTED_S > STARTUP_PERIOD_S:
            return
        deadline_at_s = now_s + MAX_LEADER_WAIT_S
        while monotonic_s() < deadline_at_s and not self._reaches_leader(driver):
            await asyncio.sleep(LEADER_POLL_INTERVAL_S)

    def _reaches_leader(self, driver: ConsensusDriver) -> bool:
        if driver.is_leader:
            return driver.has_lease()
        stream = self.leader_stream
        return stream is not None and not stream.is_closed

    def own_freshness(self) -> Freshness | None:
        """Return the current versions by this member's own lease; None without a lease."""
        driver = self.driver
        if driver is None or not driver.has_lease():
            return None
        revision = driver.machine.configuration.current.revision
        now_s = monotonic_s()
        live_entries = self.reports.live_entries
        members = driver.node.membership.members
        # The lease is checked again after the state is read, so the returned state was current.
        machine = driver.machine
        versions = (
            machine.routes.current.version,
            machine.directory.version,
            machine.crashes.version,
        )
        freshness = Freshness(
            revision,
            len(live_entries.live(now_s)),
            [f"{member.host}:{member.port}" for member in members],
            *versions,
            member_zones=[self._zones.get(member.member_id, "") for member in members],
            limits=self.reports.replica_grants.to_reports(),
            suspected=self.liveness.suspected(now_s),
            reached=self.liveness.reach.reached(now_s),
            lacks_commits=not driver.has_applied_commits(),
            has_all_entries=live_entries.has_all(driver.node.term, now_s),
        )
        return freshness if driver.has_lease() else None

    async def _query_leader(self) -> Freshness | None:
        stream = self.leader_stream
        if stream is None or stream.is_closed:
            return None
        position = self._subscribers.fleet_position()
        request = self.reports.make_heartbeat(stream, position, monotonic_s())
        try:
            reply = await stream.request(request, LEADER_REPLY_TIMEOUT_S)
        except ConnectionLostError:
            # Demand that didn't arrive is dropped: delivered later, it would look like new demand.
            # The stream may be silent for good, so the next request uses a new one.
            stream.close()
            return None
        if not isinstance(reply, Freshness):
            return None
        self.reports.replica_grants.note(reply.limits)
        if reply.level is not None:
            self.reports.levels.note_level(reply.level, monotonic_s())
        if reply.in_use is None:
            return msgspec.structs.replace(reply, level=None)
        self.reports.note_total_use(reply.in_use, monotonic_s())
        self.reports.peers.note_from_leader(reply.peers, monotonic_s())
        return msgspec.structs.replace(reply, in_use=None, peers=[], level=None)

    async def refresh_from_leader(self) -> None:
        """Query the leader once, so that this member follows the fleet without any entry."""
        await self._relay.confirm()


def member_addresses(driver: ConsensusDriver) -> list[Address]:
    """Return the addresses of all members, this member's own first."""
    node = driver.node
    own_first = sorted(node.membership.members, key=lambda item: item.member_id != node.member_id)
    return [Address(member.host, member.port) for member in own_first]
