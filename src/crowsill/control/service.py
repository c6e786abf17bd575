"""What a control member answers to other processes."""

import asyncio
from collections.abc import Callable

import msgspec

from crowsill.clock import PROCESS_STARTED_S, monotonic_s
from crowsill.control.announcer import GroupAnnouncer, take_referral
from crowsill.control.crash_notes import note_of
from crowsill.control.driver import ConsensusDriver
from crowsill.control.gateway_reports import GatewayReports
from crowsill.control.leaving_replicas import LeavingReplicas
from crowsill.control.members import MemberChanges
from crowsill.control.quota_grants import QuotaGrants
from crowsill.control.replica_sight import ReplicaSight
from crowsill.control.subscribers import CurrencyRelay, Subscribers
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.settings import Address
from crowsill.state.commands import CrashCommand, PublishRoutes
from crowsill.transport.connection import Connection, ConnectionLostError
from crowsill.transport.group_contacts import GroupContacts
from crowsill.transport.leader_client import format_address
from crowsill.transport.member_links import MemberLinks
from crowsill.transport.membership_messages import (
    BlankCheck,
    FindGroup,
    GroupReferral,
    JoinReply,
    JoinRequest,
    MemberBlank,
    MembersRequest,
)
from crowsill.transport.messages import (
    Body,
    ConsensusTraffic,
    Currency,
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
    DemandNotice,
    LeavingInstances,
    ReplicaGrantRequest,
    ReplicaLimitsNotice,
    ReportCrash,
    SeenInstances,
    SuspectInstances,
)
from crowsill.transport.stream import LocalIdentity

GatewayQuestion = Heartbeat | GrantRequest | ReplicaGrantRequest | ReportCrash | ClearRequests

LEADER_REPLY_TIMEOUT_S = 1.0
FORWARD_TIMEOUT_S = 3.0
# A member that has just started holds a gateway's question for so long until a leader is known, so
# that the gateway need not ask again and again while the group elects one.
LEADER_WAIT_S = 0.6
JUST_STARTED_S = 3.0
LEADER_POLL_S = 0.01
# A member that lacks what the leader confirmed waits for it so long before it sends a follower on.
# Followers apply a commit with the leader's next heartbeat (0.1 s); a heartbeat of a gateway every
# 0.5 s, this wait and a new stream (0.3 s to connect) add up to 1.2 s after an acknowledgement.
APPLY_WAIT_S = 0.4
APPLY_POLL_S = 0.01
FULL_GROUP_WAIT_S = 2.5
FULL_GROUP_POLL_S = 0.02


class MemberService:
    """Handles requests and pushes that arrive at a control member.

    Attributes:
        driver: The consensus driver; None until the group is known.
        reports: What gateways and entries told this member.
        sight: What was heard of replicas.
        leaving: Replicas that said in answers that they leave.
        leader_stream: Stream to the leader while this member follows.
        on_wanted: Called with what gateways wait for, on the leader.
        announcer: Tells others where the group is while this member leads; None otherwise.
        quota: Grants tenants what they may use.
    """

    def __init__(
        self,
        local: LocalIdentity,
        is_blank: bool,
        subscribers: Subscribers,
        links: MemberLinks,
        contacts: GroupContacts,
        *,
        quota: QuotaGrants,
        target_voters: int | None = None,
        heartbeat_s: float = 1.0,
    ) -> None:
        """Make the service.

        Args:
            local: Identity of this member.
            is_blank: Whether the member had stored nothing when it started.
            subscribers: Streams that follow this member.
            links: Streams to the other members.
            contacts: Where this member looks for the group while it belongs to none.
            quota: Grants tenants what they may use.
            target_voters: Voters that a group formed from seeds grows to.
            heartbeat_s: Time between two heartbeats of a replica that registers itself.
        """
        self.quota = quota
        self._target_voters = target_voters
        self._has_been_full = False
        self.on_wanted: Callable[[dict[str, int]], None] = self.forward_demand
        self.announcer: GroupAnnouncer | None = None
        self._links = links
        self._contacts = contacts
        self._local = local
        self._was_blank = is_blank
        self._subscribers = subscribers
        self.driver: ConsensusDriver | None = None
        self.reports = GatewayReports()
        self.sight = ReplicaSight(heartbeat_s, self._tell_leader)
        self.leader_stream: Connection | None = None
        self.leaving = LeavingReplicas(
            lambda: None if self.driver is None else self.driver.machine.directory,
            self.submit_anywhere,
        )
        self._relay = CurrencyRelay(self._ask_leader)
        # Sites of members, by identity, as their streams say.
        self._zones = {local.identity: local.zone}

    async def on_request(self, connection: Connection, body: Body) -> Body:
        """Answer a request."""
        if isinstance(body, Ping | BlankCheck | GroupReferral):
            return self._answer_for_itself(connection, body)
        driver = self.driver
        if driver is None:
            return self._refer(None)
        if isinstance(body, SubmitCommand | MembersRequest):
            return await self.answer_as_leader(body, driver)
        if isinstance(body, GatewayQuestion):
            return await self._answer_gateway(connection, body, driver)
        if isinstance(body, JoinRequest | FindGroup) and driver.is_leader:
            return self._answer_newcomer(body, driver)
        return self._refer(driver)

    def _refer(self, driver: ConsensusDriver | None) -> NotLeader:
        """Send a caller on to whoever may lead, or may know who does."""
        members = [] if driver is None else driver.node.membership.members
        known = [f"{member.host}:{member.port}" for member in members]
        if not known:
            known = [format_address(address) for address in self._contacts.known()]
        return NotLeader(None if driver is None else driver.leader_address(), known)

    def _answer_newcomer(
        self, question: JoinRequest | FindGroup, driver: ConsensusDriver
    ) -> JoinReply | GroupReferral:
        """Answer, as the leader, a process that looks for the group."""
        if isinstance(question, JoinRequest):
            return self._changes(driver).join(question)
        if self.announcer is not None:
            self.announcer.note_asked(question.address)
        return GroupReferral([format_address(address) for address in member_addresses(driver)])

    def _answer_for_itself(
        self, connection: Connection, question: Ping | BlankCheck | GroupReferral
    ) -> Pong | MemberBlank:
        """Answer what needs no group."""
        if isinstance(question, GroupReferral):
            return take_referral(self._contacts, connection, question)
        if isinstance(question, Ping):
            return Pong()
        return MemberBlank(self._local.identity, self._is_blank())

    async def answer_as_leader(
        self, request: SubmitCommand | MembersRequest, driver: ConsensusDriver
    ) -> Body:
        """Answer what only a leader can."""
        if isinstance(request, SubmitCommand):
            if isinstance(request.command, PublishRoutes):
                await self._wait_until_full(driver)
            return await driver.submit(request.command)
        if not driver.is_leader:
            return NotLeader(driver.leader_address())
        return await self._changes(driver).handle(request)

    def _changes(self, driver: ConsensusDriver) -> MemberChanges:
        return MemberChanges(driver, self._local, self._target_voters)

    async def _wait_until_full(self, driver: ConsensusDriver) -> None:
        """Hold the first acknowledgement back until the group has its full size.

        A smaller group could lose what it acknowledged with as many disks as may be lost at once.
        """
        deadline_s = monotonic_s() + FULL_GROUP_WAIT_S
        while not self._has_been_full and driver.is_leader:
            if self._changes(driver).is_full() or monotonic_s() > deadline_s:
                self._has_been_full = True
                return
            await asyncio.sleep(FULL_GROUP_POLL_S)

    async def submit_anywhere(self, request: SubmitCommand) -> Body:
        """Have a command committed by this member if it leads, else through the leader.

        Raises:
            ConnectionLostError: The leader was lost: the command may or may not be committed.
        """
        driver = self.driver
        if driver is None:
            return NotLeader(None)
        if driver.is_leader:
            return await self.answer_as_leader(request, driver)
        stream = self.leader_stream
        if stream is None or stream.is_closed:
            return NotLeader(None)
        return await stream.request(request, FORWARD_TIMEOUT_S)

    async def confirmed_currency(self) -> Currency | None:
        """Return what is current, confirmed by a leader's lease after this call."""
        currency = self.currency()
        return currency if currency is not None else await self._relay.confirm()

    def leader_host(self) -> str:
        """Return the leader's IP number, or an empty text."""
        driver = self.driver
        address = None if driver is None else driver.leader_address()
        return "" if address is None else address.rpartition(":")[0]

    def forward_demand(self, wanted: dict[str, int]) -> None:
        """Pass on to the leader at once what gateways wait for."""
        stream = self.leader_stream
        if stream is not None and not stream.is_closed:
            stream.push(DemandNotice(wanted))

    def on_push(self, connection: Connection, body: Body) -> None:
        """Take in a push."""
        if isinstance(body, ConsensusTraffic) and self.driver is not None:
            self._links.note_incoming(connection)
            self._zones[connection.peer.identity] = connection.peer.zone
            self.driver.receive(body.envelopes)
        elif isinstance(body, DemandNotice):
            self.on_wanted(body.wanted)
        elif isinstance(body, SeenInstances):
            self.sight.note_seen(body.instance_ids)
        elif isinstance(body, LeavingInstances):
            self.leaving.note(body.instance_ids)
        elif isinstance(body, SuspectInstances):
            self.sight.note_suspects(body.instance_ids)
        elif isinstance(body, ReplicaLimitsNotice):
            self._note_limits(body)

    def _note_limits(self, notice: ReplicaLimitsNotice) -> None:
        """Take in what replicas named to a gateway; a follower tells the leader."""
        self.reports.replica_grants.note(notice.words)
        self._tell_leader(notice)

    def _tell_leader(self, notice: SeenInstances | SuspectInstances | ReplicaLimitsNotice) -> None:
        stream = self.leader_stream
        if stream is not None and not stream.is_closed:
            stream.push(notice)

    def _is_blank(self) -> bool:
        if not self._was_blank:
            return False
        return self.driver is None or self.driver.node.term == 0

    async def _answer_gateway(
        self,
        connection: Connection,
        question: GatewayQuestion,
        driver: ConsensusDriver,
    ) -> Body:
        """Answer an entry or gateway that follows this member, or a follower on its behalf."""
        match question:
            case GrantRequest():
                return await self.quota.answer(question, driver, self.leader_stream)
            case ReplicaGrantRequest():
                grants = self.reports.replica_grants
                return await grants.answer(question, driver, self.leader_stream)
            case ReportCrash() | ClearRequests():
                return await self._record(note_of(question))
            case _:
                return await self._on_heartbeat(connection, question, driver)

    async def _record(self, note: CrashCommand) -> Body:
        """Have what a gateway saw committed; recorded twice it changes nothing more."""
        try:
            return await self.submit_anywhere(SubmitCommand(note))
        except ConnectionLostError:
            return NotLeader(None)

    async def _on_heartbeat(
        self, connection: Connection, heartbeat: Heartbeat, driver: ConsensusDriver
    ) -> Body:
        self.reports.note(heartbeat, monotonic_s())
        if heartbeat.in_use is not None:
            self.reports.use.note(connection.peer.identity, heartbeat.in_use, monotonic_s())
        self._subscribers.subscribe(connection, heartbeat)
        await self._wait_for_first_leader(driver)
        currency = await self.confirmed_currency()
        if currency is None:
            return self._refer(driver)
        # A member confirms only what it has itself: one whose disk hangs goes on answering, and its
        # gateways would wait for what it cannot bring.
        if not await self.has_applied(currency, monotonic_s() + APPLY_WAIT_S):
            log_event(Event.MEMBER_BEHIND, follower=connection.peer.node)
            return MemberBehind()
        if heartbeat.in_use is None:
            return currency
        in_use = self.reports.use_of_all(driver.is_leader, monotonic_s())
        return msgspec.structs.replace(currency, in_use=in_use)

    async def has_applied(self, currency: Currency, until_s: float) -> bool:
        """Wait until this member has applied what is current; return False if it never did.

        Args:
            currency: What the leader confirmed.
            until_s: Clock after which it is not waited for.
        """
        while not self._has_applied(currency):
            if monotonic_s() > until_s:
                return False
            await asyncio.sleep(APPLY_POLL_S)
        return True

    def _has_applied(self, currency: Currency) -> bool:
        if self.driver is None:
            return False
        machine = self.driver.machine
        return (
            machine.configuration.current.revision >= currency.revision
            and machine.routes.current.version >= currency.routes_version
            and machine.directory.version >= currency.directory_version
            and machine.crashes.version >= currency.suspects_version
        )

    async def _wait_for_first_leader(self, driver: ConsensusDriver) -> None:
        """Wait for a moment while a member that has just started knows no leader."""
        now_s = monotonic_s()
        if now_s - PROCESS_STARTED_S > JUST_STARTED_S:
            return
        until_s = now_s + LEADER_WAIT_S
        while monotonic_s() < until_s and not self._reaches_leader(driver):
            await asyncio.sleep(LEADER_POLL_S)

    def _reaches_leader(self, driver: ConsensusDriver) -> bool:
        if driver.is_leader:
            return driver.has_lease()
        stream = self.leader_stream
        return stream is not None and not stream.is_closed

    def currency(self) -> Currency | None:
        """What is current by this member's own lease; None when it has none."""
        driver = self.driver
        if driver is None or not driver.has_lease():
            return None
        revision = driver.machine.configuration.current.revision
        entries = len(self.reports.live_entries.live(monotonic_s()))
        members = driver.node.membership.members
        # Read the lease again after the state, so that what is returned was current then.
        machine = driver.machine
        versions = (
            machine.routes.current.version,
            machine.directory.version,
            machine.crashes.version,
        )
        currency = Currency(
            revision,
            entries,
            [f"{member.host}:{member.port}" for member in members],
            *versions,
            member_zones=[self._zones.get(member.member_id, "") for member in members],
            limits=self.reports.replica_grants.told(),
        )
        return currency if driver.has_lease() else None

    async def _ask_leader(self) -> Currency | None:
        stream = self.leader_stream
        if stream is None or stream.is_closed:
            return None
        position = self._subscribers.fleet_position()
        question = self.reports.question(stream, position, monotonic_s())
        try:
            reply = await stream.request(question, LEADER_REPLY_TIMEOUT_S)
        except ConnectionLostError:
            # Demand that did not arrive is dropped: later it would seem to have come at once. The
            # stream may have gone silent for good: the next question goes out on a new one.
            stream.close()
            return None
        if not isinstance(reply, Currency):
            return None
        self.reports.replica_grants.note(reply.limits)
        if reply.in_use is None:
            return reply
        self.reports.use.note_total(reply.in_use, monotonic_s())
        return msgspec.structs.replace(reply, in_use=None)

    async def refresh_from_leader(self) -> None:
        """Ask the leader once, so that this member follows the fleet without any entry."""
        await self._relay.confirm()


def member_addresses(driver: ConsensusDriver) -> list[Address]:
    """Return the addresses of all members, this one's own first."""
    node = driver.node
    own_first = sorted(node.membership.members, key=lambda item: item.member_id != node.member_id)
    return [Address(member.host, member.port) for member in own_first]
