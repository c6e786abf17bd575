"""Operators' requests at a control member; a follower forwards them to the leader."""

from collections.abc import Mapping

import msgspec
from returns.result import Failure, Result, Success

from crowsill.clock import monotonic_s
from crowsill.control.replica_overview import RegisteredReplicaLine, replica_lines
from crowsill.control.service import MemberService
from crowsill.errors import ErrorKind, Problem
from crowsill.model.configuration import (
    Configuration,
    ConfigurationChange,
    ConfigurationContent,
)
from crowsill.model.fleet import FleetView
from crowsill.model.prompt_parts import format_parts
from crowsill.model.validation import ConfigurationFault, configuration_faults
from crowsill.settings import Settings
from crowsill.state.commands import (
    LIFTED,
    Acknowledged,
    ChangeConfiguration,
    ClearSuspects,
    ConfigurationDecision,
    ConfigurationResult,
    command_fault,
)
from crowsill.state.configuration_store import AcceptedChange
from crowsill.state.machine import StateMachine
from crowsill.transport.connection import ConnectionLostError
from crowsill.transport.membership_messages import MembersReport, MembersRequest
from crowsill.transport.messages import Body, SubmitCommand, Submitted

FORWARD_TIMEOUT_S = 5.0


class MemberStatus(msgspec.Struct, frozen=True):
    """One control member in the status response."""

    member_id: str
    name: str
    address: str
    voter: bool
    leads: bool


class EntryLine(msgspec.Struct, frozen=True):
    """One entry process in the status response."""

    node: str
    zone: str
    revision: int
    current: bool


class ReplicaLine(msgspec.Struct, frozen=True):
    """One back end in the status response."""

    replica_id: str
    kind: str
    zone: str
    accepts_work: bool
    resident: list[str]
    running: int
    waiting: int


class Status(msgspec.Struct, frozen=True):
    """The response to `GET /v1/status`.

    Attributes:
        node: Name of the member that responded.
        role: Its role.
        term: Its term.
        revision: Configuration revision that it has applied.
        confirmed: Whether a leader's lease confirms the revision.
        members: Control members.
        entries: Live entries known to this member.
        replicas: Back ends.
        orders: Number of orders to engines that are not settled.
        claims: Number of stored claims.
        state_digest: Hash of the replicated state at `applied_index`.
        applied_index: Index of the last applied log entry.
    """

    node: str
    role: str
    term: int
    revision: int
    confirmed: bool
    members: list[MemberStatus]
    entries: list[EntryLine]
    replicas: list[ReplicaLine]
    orders: int
    claims: int
    state_digest: str
    applied_index: int


class QuarantineLine(msgspec.Struct, frozen=True):
    """One request during which replicas crashed.

    Attributes:
        fingerprint: Fingerprint shared by identical requests, as hex.
        held_back: Whether gateways keep it from all replicas.
        replicas: Ids of the instances that crashed while they ran it.
        first_s: Wall-clock time of the first crash, in seconds.
        last_s: Wall-clock time of the last crash, in seconds.
        service: Its service.
        place: Its host and path.
        request_id: The caller's id of the request during which a replica crashed last.
        prompts: Number of prompts with the quarantined parts that ran at the crashes; 0 if the
            line is about a whole request. Then `fingerprint` has the digests of the parts.
    """

    fingerprint: str
    held_back: bool
    replicas: list[str]
    first_s: float
    last_s: float
    service: str
    place: str
    request_id: str
    prompts: int = 0


class LiftRequest(msgspec.Struct, frozen=True):
    """The body of `POST /v1/quarantine/lift`.

    Attributes:
        fingerprint: The request, or the part of prompts, that may be sent to replicas again, as
            hex.
    """

    fingerprint: str


class LiftResponse(msgspec.Struct, frozen=True):
    """Whether the request had recorded crashes; False when it is lifted a second time."""

    lifted: bool


class PlanResponse(msgspec.Struct, frozen=True):
    """The response to `POST /v1/plan`.

    Attributes:
        revision: Revision that the plan is based on.
        differences: One line for each difference.
        faults: Why the change would be rejected; empty if it would be accepted.
    """

    revision: int
    differences: list[str]
    faults: list[ConfigurationFault]


class OperatorService:
    """Handles operators' requests at one member."""

    def __init__(
        self, settings: Settings, service: MemberService, machine: StateMachine, fleet: FleetView
    ) -> None:
        self._settings = settings
        self._service = service
        self._machine = machine
        self._fleet = fleet

    @property
    def configuration(self) -> Configuration:
        """The configuration applied at this member."""
        return self._machine.configuration.current

    def history(self) -> list[AcceptedChange]:
        """Accepted changes, oldest first."""
        return self._machine.configuration.history

    async def submit(self, change: ConfigurationChange) -> Result[ConfigurationResult, Problem]:
        """Submit a change, here or through the leader."""
        command = ChangeConfiguration(change, 0.0)
        fault = command_fault(command)
        if fault is not None:
            return Failure(Problem(ErrorKind.CONFIGURATION_INVALID, fault))
        reply = await self._query_leader(SubmitCommand(command))
        if not isinstance(reply, Submitted) or not isinstance(reply.result, ConfigurationResult):
            detail = "no leader responded; the change may or may not be accepted: send it again"
            return Failure(Problem(ErrorKind.NO_LEADER, detail))
        result = reply.result
        if result.decision is ConfigurationDecision.CONFLICT:
            return Failure(Problem(ErrorKind.CONFIGURATION_CONFLICT, result.detail))
        if result.decision is ConfigurationDecision.INVALID:
            return Failure(Problem(ErrorKind.CONFIGURATION_INVALID, result.detail))
        return Success(result)

    async def _query_leader(self, request: SubmitCommand | MembersRequest) -> Body | None:
        driver, stream = self._service.driver, self._service.leader_stream
        if driver is not None and driver.is_leader:
            return await self._service.handle_as_leader(request, driver)
        if stream is None:
            return None
        try:
            return await stream.request(request, FORWARD_TIMEOUT_S)
        except ConnectionLostError:
            return None

    async def members(self, request: MembersRequest) -> Result[MembersReport, Problem]:
        """Read or change the group, here or through the leader."""
        reply = await self._query_leader(request)
        if not isinstance(reply, MembersReport):
            return Failure(Problem(ErrorKind.NO_LEADER, "no leader responded; try again"))
        if reply.rejection:
            return Failure(Problem(ErrorKind.INVALID_REQUEST, reply.rejection))
        return Success(reply)

    def quarantine(self) -> list[QuarantineLine]:
        """Requests during which replicas crashed, as known here; quarantined ones first."""
        suspects = self._machine.crashes.suspects
        suspects.sort(key=lambda suspect: (not suspect.is_quarantined, suspect.last_crash_at_s))
        parts = [
            QuarantineLine(
                fingerprint=format_parts(item.parts),
                held_back=True,
                replicas=item.crashed_instances,
                first_s=item.first_crash_at_s,
                last_s=item.last_crash_at_s,
                service="",
                place="",
                request_id=item.request_id,
                prompts=item.prompts,
            )
            for item in self._machine.crashes.parts.quarantined
        ]
        return parts + [
            QuarantineLine(
                fingerprint=suspect.request.fingerprint.hex(),
                held_back=suspect.is_quarantined,
                replicas=suspect.crashed_instances,
                first_s=suspect.first_crash_at_s,
                last_s=suspect.last_crash_at_s,
                service=suspect.request.service,
                place=suspect.request.host_and_path,
                request_id=suspect.request.request_id,
            )
            for suspect in suspects
        ]

    def registered_replicas(self) -> Result[list[RegisteredReplicaLine], Problem]:
        """Registered replicas, and the gateways that exclude them; only the leader knows all."""
        driver = self._service.driver
        if driver is None or not driver.is_leader:
            return Failure(Problem(ErrorKind.NO_LEADER, "this member does not lead"))
        entries = self._service.reports.live_entries.live(monotonic_s())
        limits = self._service.reports.replica_grants.limits
        return Success(replica_lines(self._machine.directory, entries, limits))

    async def lift(self, request: LiftRequest) -> Result[LiftResponse, Problem]:
        """Clear the crashes recorded for a request or a part, here or through the leader."""
        try:
            fingerprint = bytes.fromhex(request.fingerprint)
        except ValueError:
            return Failure(Problem(ErrorKind.INVALID_REQUEST, "the fingerprint is not hex"))
        reply = await self._query_leader(SubmitCommand(ClearSuspects([fingerprint], LIFTED)))
        if not isinstance(reply, Submitted) or not isinstance(reply.result, Acknowledged):
            detail = "no leader responded; it may or may not be lifted: send it again"
            return Failure(Problem(ErrorKind.NO_LEADER, detail))
        return Success(LiftResponse(reply.result.accepted))

    def plan(self, content: ConfigurationContent) -> PlanResponse:
        """Compare a change with the configuration that is applied at this member."""
        current = self.configuration
        candidate = current.with_content(content, current.revision + 1)
        differences = _differences("template", current.templates, candidate.templates)
        differences += _differences("tenant", current.parameters, candidate.parameters)
        return PlanResponse(current.revision, differences, configuration_faults(candidate))

    async def status(self) -> Status:
        """Describe the system as seen by this member."""
        driver = self._service.driver
        await self._service.refresh_from_leader()
        revision = self.configuration.revision
        return Status(
            node=self._settings.node,
            role="starting" if driver is None else driver.node.role,
            term=0 if driver is None else driver.node.term,
            revision=revision,
            confirmed=self._service.own_freshness() is not None,
            members=self._members(),
            entries=self._entries(revision),
            replicas=self._replicas(),
            orders=len(self._machine.orders.outstanding),
            claims=len(self._machine.claims),
            state_digest=self._machine.digest(),
            applied_index=0 if driver is None else driver.applied_index,
        )

    def _members(self) -> list[MemberStatus]:
        driver = self._service.driver
        if driver is None:
            return []
        return [
            MemberStatus(
                member.member_id,
                member.name,
                f"{member.host}:{member.port}",
                member.voter,
                member.member_id == driver.node.leader_id,
            )
            for member in driver.node.membership.members
        ]

    def _entries(self, revision: int) -> list[EntryLine]:
        lines = [
            EntryLine(status.node, status.zone, status.revision, status.revision >= revision)
            for status in self._service.reports.live_entries.live(monotonic_s())
        ]
        return sorted(lines, key=lambda line: (line.zone, line.node))

    def _replicas(self) -> list[ReplicaLine]:
        return [
            ReplicaLine(
                replica_id,
                state.description.kind,
                state.description.zone,
                state.accepts_work,
                sorted(state.report.resident),
                state.report.running,
                state.report.waiting,
            )
            for replica_id, state in sorted(self._fleet.replicas.items())
        ]


def _differences(
    label: str, before: Mapping[str, msgspec.Struct], after: Mapping[str, msgspec.Struct]
) -> list[str]:
    lines: list[str] = []
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            lines.append(f"+ {label} {name}")
        elif name not in after:
            lines.append(f"- {label} {name}")
        elif before[name] != after[name]:
            lines.extend(_changed_fields(label, name, before[name], after[name]))
    return lines


def _changed_fields(
    label: str, name: str, before: msgspec.Struct, after: msgspec.Struct
) -> list[str]:
    lines: list[str] = []
    for field in before.__struct_fields__:
        old, new = getattr(before, field), getattr(after, field)
        if old != new:
            shown_old = msgspec.json.encode(old).decode()
            shown_new = msgspec.json.encode(new).decode()
            lines.append(f"~ {label} {name}.{field}: {shown_old} -> {shown_new}")
    return lines
