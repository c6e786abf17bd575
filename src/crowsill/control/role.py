"""The control role: one member of the group that stores the replicated state."""

import asyncio
import secrets
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from crowsill.api.operators import operator_application
from crowsill.api.server import HttpServer
from crowsill.backends.engine_calls import EngineCalls
from crowsill.clock import PROCESS_STARTED_S, monotonic_s
from crowsill.consensus.membership import Membership
from crowsill.consensus.messages import Envelope
from crowsill.consensus.node import RaftNode
from crowsill.consensus.types import MemberSetup, RaftConfig, Role, Snapshot
from crowsill.control.abandonment import abandon_lost_claims
from crowsill.control.announcer import AnnouncerPorts, GroupAnnouncer
from crowsill.control.bootstrap import agree_on_initial_members, agree_on_seed_members, first_state
from crowsill.control.driver import ConsensusDriver
from crowsill.control.fleet_observer import FleetObserver
from crowsill.control.joining import GroupJoiner
from crowsill.control.leader_link import LeaderLink
from crowsill.control.members import MemberChanges
from crowsill.control.operations import OperatorService
from crowsill.control.placers import LeadingMember, make_polled_placer, make_registered_placer
from crowsill.control.publisher import ChangePublisher
from crowsill.control.quarantine_expiry import expire_suspects, review_parts
from crowsill.control.quota_grants import QuotaGrants
from crowsill.control.registrations import Registrations
from crowsill.control.retry_grants import RetryGrants
from crowsill.control.service import MemberService, member_addresses
from crowsill.control.store_loads import StoreLoadLog
from crowsill.control.subscribers import Subscribers
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.model.fleet import FleetView
from crowsill.model.route_codec import decompress_document
from crowsill.model.routes import RouteConfiguration
from crowsill.platform_ports import PlatformPorts
from crowsill.routing.earned_retries import RetryBudgetLimits
from crowsill.settings import ControlSettings, Settings
from crowsill.state.commands import Command, CommandResult, RecordQuotaUse, RecordStoreLoad
from crowsill.state.machine import StateMachine
from crowsill.storage.folder import DataFolder, open_data_folder
from crowsill.storage.frames import DamagedFileError
from crowsill.storage.journal import Journal, RecoveredState
from crowsill.tenancy.grant_ledger import QuotaBounds
from crowsill.transport.connection import ConnectionServer
from crowsill.transport.group_contacts import GroupContacts
from crowsill.transport.member_links import MemberLinks
from crowsill.transport.stream import LocalIdentity

if TYPE_CHECKING:
    from crowsill.backends.http_control import HttpControl

GROUP_NAME = "main"
HAND_OVER_TIMEOUT_S = 1.5
MEMBERS_POLL_INTERVAL_S = 0.2


class ControlRole:
    """Runs one control member."""

    def __init__(
        self,
        settings: Settings,
        control: ControlSettings,
        key: bytes,
        folder: DataFolder,
        ports: PlatformPorts,
    ) -> None:
        """Wire the member; call `open_control_role` instead.

        Args:
            settings: The process's settings.
            control: Its control settings.
            key: The cluster key.
            folder: The open data folder.
            ports: Adapters to external systems.
        """
        self._ports = ports
        self._settings = settings
        self._control = control
        self._folder = folder
        self._random = Random(secrets.randbits(64))
        self._local = LocalIdentity(settings.node, folder.identity, settings.zone, key)
        self._journal = Journal(folder.path)
        self._machine = StateMachine()
        self._fleet = FleetView()
        self._subscribers = Subscribers(
            self._machine.configuration,
            self._fleet,
            self._machine.routes,
            self._machine.directory,
            self._machine.crashes,
        )
        self._publisher = ChangePublisher(self._machine, self._subscribers)
        self._contacts = GroupContacts(control.seeds, self._random)
        self._links = MemberLinks(self._local, self._random, self._receive)
        self._tasks: list[asyncio.Task[None]] = []
        self._leader_tasks: list[asyncio.Task[None]] = []
        self._driver_task: asyncio.Task[None] | None = None
        self._backends: HttpControl | None = None
        self._service: MemberService | None = None
        self._server: ConnectionServer | None = None
        self._operators: HttpServer | None = None
        self._registrations: HttpServer | None = None
        self._engine_calls: EngineCalls | None = None
        self._routes: RouteConfiguration | None = None
        self._store_loads = StoreLoadLog(monotonic_s())
        self._quota = QuotaGrants(
            QuotaBounds(control.quota_window_s, control.quota_tolerance, control.quota_slack),
            self._machine.quota_use,
            self._current_routes,
        )
        self._retries = RetryGrants(
            RetryBudgetLimits(window_s=control.retry_window_s, allowance=control.retry_allowance),
            self._machine.quota_use,
        )

    def _recover(self) -> Result[RecoveredState, str]:
        try:
            recovered = self._journal.recover()
        except DamagedFileError as error:
            log_event(Event.LOG_DAMAGED, folder=self._folder.path, error=error)
            return Failure(f"data folder {self._folder.path}: {error}")
        if recovered.truncated_bytes:
            log_event(Event.LOG_TAIL_CUT, bytes=recovered.truncated_bytes)
        return Success(recovered)

    async def start(self) -> Result[None, str]:
        """Recover the durable state and open the listeners."""
        recovery = self._recover()
        if not isinstance(recovery, Success):
            return Failure(recovery.failure())
        recovered = recovery.unwrap()
        if self._control.platform_list:
            # Imported on use: its client library costs a member that polls no back ends 10 MB of
            # memory and a fifth of its start time.
            from crowsill.backends.http_control import HttpControl

            self._backends = HttpControl(self._control.platform_list)
        service = MemberService(
            self._local,
            recovered.is_empty,
            self._subscribers,
            self._links,
            self._contacts,
            quota=self._quota,
            retries=self._retries,
            target_voters=self._control.target_voters,
            heartbeat_s=self._control.replica_heartbeat_s,
        )
        self._service = service
        self._server = ConnectionServer(
            self._local, service.on_request, service.on_push, self._subscribers.remove
        )
        listen = self._control.listen
        await self._server.start(listen.host, listen.port)
        if self._control.operators is not None:
            operations = OperatorService(self._settings, service, self._machine, self._fleet)
            application = operator_application(operations, self._control.operator_token_sha256)
            self._operators = HttpServer(application, self._control.operators)
            await self._operators.start()
        if self._ports.engine_calls is not None:
            self._engine_calls = self._ports.engine_calls()
            self._engine_calls.on_draining = service.draining.note
        if self._control.registrations is not None:
            registrations = Registrations(
                service, self._machine, self._ports.codec, self._control.registrations.port
            )
            application = self._ports.registration_application(registrations)
            self._registrations = HttpServer(application, self._control.registrations)
            await self._registrations.start()
        self._driver_task = asyncio.create_task(self._run_member(recovered, service))
        return Success(None)

    async def _run_member(self, recovered: RecoveredState, service: MemberService) -> None:
        if recovered.is_empty:
            membership = await self._agree_on_group()
            if membership is not None:
                ready = first_state(membership)
                self._journal.save(ready)
                recovered.hard_state = ready.hard_state or recovered.hard_state
                recovered.log.append(ready.entries[0])
                log_event(Event.GROUP_FORMED, members=len(membership.members))
        driver = self._make_driver(recovered)
        service.driver = driver
        link = LeaderLink(self._local, service, self._fleet, self._subscribers.push_fleet)
        self._tasks = [
            asyncio.create_task(self._follow_members(driver)),
            asyncio.create_task(link.run()),
        ]
        if self._control.seeds:
            own = self._control.listen
            joiner = GroupJoiner(driver.node, self._local, own, self._contacts, self._random)
            self._tasks.append(asyncio.create_task(joiner.run()))
        await driver.run()

    def use_seeds(self, control: ControlSettings) -> None:
        """Adopt changed seeds."""
        self._contacts.seeds = control.seeds

    async def _agree_on_group(self) -> Membership | None:
        control = self._control
        if control.seeds:
            if not control.bootstrap:
                return None
            return await agree_on_seed_members(control.seeds, control.listen, self._local)
        peers = control.initial_members
        if peers and peers[0].name == self._settings.node:
            return await agree_on_initial_members(peers, self._local)
        return None

    def _make_driver(self, recovered: RecoveredState) -> ConsensusDriver:
        snapshot = recovered.snapshot
        membership = Membership() if snapshot is None else snapshot.membership
        if snapshot is not None:
            self._machine.restore(snapshot.data)
        election_timeout_s = self._control.tick_s * self._control.election_ticks
        config = RaftConfig(
            election_timeout_s=election_timeout_s, heartbeat_s=election_timeout_s / 5
        )
        setup = MemberSetup(
            member_id=self._folder.identity,
            group=GROUP_NAME,
            hard_state=recovered.hard_state,
            log=recovered.log,
            membership=membership,
            config=config,
            random=self._random,
            now_s=PROCESS_STARTED_S,
        )
        return ConsensusDriver(
            node=RaftNode(setup, self._snapshot),
            journal=self._journal,
            machine=self._machine,
            applied_index=recovered.log.snapshot_index,
            applied_membership=membership,
            send=self._links.send,
            tick_s=self._control.tick_s,
            on_applied=self._on_applied,
            on_role=self._on_role,
            on_restored=self._on_restored,
        )

    def _on_applied(self, command: Command, result: CommandResult) -> None:
        if isinstance(command, RecordQuotaUse):
            self._quota.on_applied(command)
            self._retries.on_applied(command)
        elif isinstance(command, RecordStoreLoad):
            self._store_loads.note(command, monotonic_s())
        self._publisher.on_applied(command, result)

    def _on_restored(self) -> None:
        self._quota.on_restored()
        self._retries.on_restored()
        self._store_loads.note_restored(monotonic_s())
        self._subscribers.push_full_state()

    def _receive(self, envelopes: list[Envelope]) -> None:
        self._driver().receive(envelopes)

    def _snapshot(self) -> Snapshot:
        driver = self._driver()
        return driver.snapshot()

    def _driver(self) -> ConsensusDriver:
        if self._service is None or self._service.driver is None:
            raise RuntimeError("the member has not started")
        return self._service.driver

    async def _follow_members(self, driver: ConsensusDriver) -> None:
        while True:
            self._links.set_members(driver.node.membership.members)
            await asyncio.sleep(MEMBERS_POLL_INTERVAL_S)

    def _on_role(self, role: Role) -> None:
        for task in self._leader_tasks:
            task.cancel()
        self._leader_tasks = []
        if self._service is not None:
            self._service.on_waiting = self._service.forward_demand
            self._service.announcer = None
        if role is not Role.LEADER or self._service is None:
            return
        driver = self._driver()
        member_changes = MemberChanges(driver, self._local, self._control.target_voters)
        self._leader_tasks = [
            asyncio.create_task(member_changes.reconcile()),
            asyncio.create_task(self._quota.record_periodically(driver)),
            asyncio.create_task(self._retries.record_periodically(driver)),
            asyncio.create_task(
                expire_suspects(self._machine.crashes, driver.submit, self._control.quarantine_s)
            ),
            asyncio.create_task(
                review_parts(self._machine.crashes, driver.submit, self._control.quarantine_s)
            ),
        ]
        if self._control.seeds:
            self._announce_group(self._service, member_changes, driver)
        member = LeadingMember(
            self._settings.node,
            self._control,
            self._service,
            driver,
            self._current_routes,
            self._store_loads,
        )
        if self._engine_calls is not None:
            self._start_registered_placement(member, self._engine_calls)
        if self._backends is not None:
            self._start_polled_placement(member, self._backends)

    def _announce_group(
        self, service: MemberService, member_changes: MemberChanges, driver: ConsensusDriver
    ) -> None:
        """Start to announce the group's addresses to processes that may not know any member."""
        ports = AnnouncerPorts(
            members=lambda: member_addresses(driver),
            silent_members=member_changes.silent_addresses,
            seeds=lambda: self._contacts.seeds,
            recorded=self._machine.control_addresses,
            submit=driver.submit,
        )
        service.announcer = GroupAnnouncer(ports, self._local)
        self._leader_tasks.append(asyncio.create_task(service.announcer.run()))

    def _start_registered_placement(self, member: LeadingMember, calls: EngineCalls) -> None:
        """Start to place models on engines that registered themselves."""
        placer = make_registered_placer(member, calls)
        member.service.on_waiting = placer.note_waiting
        self._leader_tasks.append(asyncio.create_task(placer.run()))

    def _current_routes(self) -> RouteConfiguration | None:
        """Return the active routes, decoded once for each version."""
        document = self._machine.routes.current
        if document.version == 0:
            return None
        if self._routes is None or self._routes.version != document.version:
            self._routes = self._ports.codec.decode(decompress_document(document)).value_or(None)
        return self._routes

    def _start_polled_placement(self, member: LeadingMember, backends: "HttpControl") -> None:
        """Start to observe the polled back ends and to place models on them."""
        observer = FleetObserver(backends, backends, self._fleet, self._subscribers.push_fleet)
        placement = make_polled_placer(member, backends, self._fleet)
        self._leader_tasks += [
            asyncio.create_task(observer.run(member.driver.node.term)),
            asyncio.create_task(placement.run()),
            asyncio.create_task(abandon_lost_claims(member.service, self._machine, member.driver)),
        ]

    async def drain(self) -> None:
        """Transfer leadership to another member before a planned stop."""
        if self._service is not None and self._service.driver is not None:
            await self._service.driver.hand_over_leadership(HAND_OVER_TIMEOUT_S)

    async def wait_for_failure(self) -> BaseException | None:
        """Wait until the member stops by itself; return the error."""
        if self._driver_task is None:
            return None
        await asyncio.wait([self._driver_task])
        return None if self._driver_task.cancelled() else self._driver_task.exception()

    async def stop(self) -> None:
        """Stop all tasks and close everything; durable state is already synced."""
        tasks = [*self._tasks, *self._leader_tasks]
        if self._service is not None and self._service.driver is not None:
            self._service.driver.stop()
        elif self._driver_task is not None:
            self._driver_task.cancel()
        if self._driver_task is not None:
            await asyncio.wait([self._driver_task])
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._service is not None:
            await self._service.crash_reports.stop()
        self._links.close()
        if self._server is not None:
            await self._server.stop()
        if self._operators is not None:
            await self._operators.stop()
        if self._registrations is not None:
            await self._registrations.stop()
        if self._backends is not None:
            await self._backends.close()
        self._journal.close()
        self._folder.close()


def open_control_role(
    settings: Settings, control: ControlSettings, key: bytes, ports: PlatformPorts
) -> Result[ControlRole, str]:
    """Lock the data folder and wire a control member."""
    opened = open_data_folder(Path(control.data_folder), settings.node)
    if not isinstance(opened, Success):
        return Failure(opened.failure())
    return Success(ControlRole(settings, control, key, opened.unwrap(), ports))
