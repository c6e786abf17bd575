"""Messages between crowsill's own processes: requests to control members, replies and pushes.

Each message is sent in one `Frame`. A request carries a correlation id that its reply repeats; a
push has none.
"""

import msgspec

from crowsill.consensus.messages import Envelope
from crowsill.model.configuration import Configuration, ConfigurationDelta
from crowsill.model.exclusions import ExcludedReplica
from crowsill.model.fleet import FleetDelta
from crowsill.model.peers import PeerOffer
from crowsill.model.replica_limits import LimitReport
from crowsill.model.replica_reach import ReachedReplica, SuspectedReplica
from crowsill.model.replica_use import UseByReplica
from crowsill.model.service_pressure import AdmissionLevel, PressureReport
from crowsill.state.commands import Command, CommandResult
from crowsill.state.directory import DirectoryChange
from crowsill.state.route_store import RouteDocument
from crowsill.transport.membership_messages import (
    EmptyCheck,
    EmptyCheckReply,
    FindGroup,
    GroupReferral,
    JoinReply,
    JoinRequest,
    MembersReport,
    MembersRequest,
)
from crowsill.transport.replica_messages import (
    ClearRequests,
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
    SuspectsUpdate,
)
from crowsill.transport.stream_messages import (
    FindStreamOrigin,
    FoundStreamOrigin,
    StreamOriginsNotice,
)


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """First frame of the connecting side.

    Attributes:
        version: Protocol version.
        node: Name of the process.
        identity: Member id, or the incarnation of an entry.
        zone: Zone of the process.
        nonce: Random bytes that the accepting side's proof must cover.
    """

    version: int
    node: str
    identity: str
    zone: str
    nonce: bytes


class Challenge(msgspec.Struct, frozen=True, tag="challenge"):
    """Second frame, from the accepting side.

    Attributes:
        version: Protocol version.
        node: Name of the process.
        identity: Id of the member or process.
        nonce: Random bytes that the connecting side's proof must cover.
        proof: Keyed hash of both nonces.
    """

    version: int
    node: str
    identity: str
    nonce: bytes
    proof: bytes


class Proof(msgspec.Struct, frozen=True, tag="proof"):
    """Third frame, from the connecting side: its keyed hash of both nonces."""

    proof: bytes


class SubmitCommand(msgspec.Struct, frozen=True, tag="submit"):
    """Commit a command; only the leader can do so."""

    command: Command


class EntryStatus(msgspec.Struct, frozen=True, array_like=True):
    """Status of a live entry, as reported by itself.

    Attributes:
        incarnation: Id that changes at each start of the entry.
        node: Name of the process.
        zone: Zone of the process.
        revision: Configuration revision that it serves.
        excluded: Replicas to which the entry, as a gateway, currently sends no requests; incomplete
            if there are many.
        peer: What the entry, as a gateway, offers to other gateways; None for nothing.
        age_s: Time in seconds since the entry reported it, where a follower passes it on.
    """

    incarnation: str
    node: str
    zone: str
    revision: int
    excluded: list[ExcludedReplica] = []
    peer: PeerOffer | None = None
    age_s: float = 0.0


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """An entry reports its status and queries the current versions; answered by `Freshness`.

    A follower sends one heartbeat for all entries that are connected to it.

    Attributes:
        fleet_epoch: Epoch of the sender's fleet view.
        fleet_sequence: Sequence number of that view.
        entries: The entry itself, or all entries that are connected to this follower.
        demand: Number of requests since the last heartbeat by resource; non-zero counts only.
        follows_configuration: Whether the sender subscribes to configuration updates.
        follows_routes: Whether it subscribes to updates of routes and of the replica directory.
        routes_version: Version of the sender's routes.
        directory_version: Version of the sender's directory.
        urgent: Requests of `demand` with a short latency target.
        overloaded: Requests whose first event took most of their latency target, or for which no
            replica had a free slot.
        suspects_version: Version of the sender's crash record.
        in_use: Use of replicas by the sender, or by all gateways connected to it; None if it
            neither reports its use nor needs the total.
        limits: Rate limits that replicas advertise, as far as the sender knows them.
        pressure: Demand for services at the sender, or at all gateways connected to it; None where
            no gateway has shared admission switched on.
    """

    fleet_epoch: int
    fleet_sequence: int
    entries: list[EntryStatus]
    demand: dict[str, int] = {}
    follows_configuration: bool = True
    follows_routes: bool = False
    routes_version: int = 0
    directory_version: int = 0
    urgent: dict[str, int] = {}
    overloaded: dict[str, int] = msgspec.field(default_factory=dict, name="pressed")
    suspects_version: int = 0
    in_use: UseByReplica | None = None
    limits: list[LimitReport] = []
    pressure: PressureReport | None = None


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Checks whether a stream still transports data in both directions."""


class Pong(msgspec.Struct, frozen=True, tag="pong"):
    """The response to `Ping`; also acknowledges an announced `GroupReferral`."""


class Submitted(msgspec.Struct, frozen=True, tag="submitted"):
    """The command was committed and applied; carries its result."""

    result: CommandResult


class NotLeader(msgspec.Struct, frozen=True, tag="not-leader"):
    """This process is not the leader and has not proposed the requested command.

    Attributes:
        leader: `IP:port` of the leader; None if it is unknown.
        members: `IP:port` of other members that this process knows.
    """

    leader: str | None
    members: list[str] = []


class MemberBehind(msgspec.Struct, frozen=True, tag="member-behind"):
    """This member has not applied the versions that the leader confirms; use another member."""


class OutcomeUnknown(msgspec.Struct, frozen=True, tag="undecided"):
    """The command may or may not be committed: the member lost leadership while it was pending."""


class CommandRejected(msgspec.Struct, frozen=True, tag="command-rejected"):
    """The command can't be a log entry and was not proposed.

    Attributes:
        detail: What is wrong with it.
    """

    detail: str


class Freshness(msgspec.Struct, frozen=True, tag="currency"):
    """The current versions, confirmed under the leader's lease.

    Attributes:
        revision: Current configuration revision.
        entries: Number of live entries, by which shared limits are divided.
        members: `IP:port` of each control member.
        routes_version: Current version of the routes.
        directory_version: Current version of the replica directory.
        suspects_version: Current version of the crash record.
        in_use: Use of replicas by all gateways; None if it was not requested or is unknown.
        member_zones: Zone of each member, in the order of `members`; empty string if unknown.
        limits: Rate limits that replicas advertise, as far as the group knows them.
        peers: Gateways that accept requests of others; a random part of them, and only where
            `in_use` is set.
        level: What is admitted now; None if it was not requested or is unknown.
        suspected: Replicas that several gateways fail to reach.
        reached: Replicas that some gateway has reached lately after others had failed to.
        lacks_commits: Whether the leader has yet to apply committed entries, which other members
            may have applied; those that it has acknowledged it has applied.
        has_all_entries: Whether the leader has led for long enough that `entries` counts all.
    """

    revision: int
    entries: int
    members: list[str] = []
    routes_version: int = 0
    directory_version: int = 0
    suspects_version: int = 0
    in_use: UseByReplica | None = None
    member_zones: list[str] = []
    limits: list[LimitReport] = []
    peers: list[PeerOffer] = []
    level: AdmissionLevel | None = None
    suspected: list[SuspectedReplica] = []
    reached: list[ReachedReplica] = []
    lacks_commits: bool = False
    has_all_entries: bool = False


class ConfigurationUpdate(msgspec.Struct, frozen=True, tag="configuration-update"):
    """A newer configuration.

    Attributes:
        full: The full configuration; None if `deltas` lead to it.
        deltas: Successive changes.
    """

    full: Configuration | None
    deltas: list[ConfigurationDelta]


class FleetUpdate(msgspec.Struct, frozen=True, tag="fleet-update"):
    """One change of the fleet view."""

    delta: FleetDelta


class RoutesUpdate(msgspec.Struct, frozen=True, tag="routes-update"):
    """A newer route configuration."""

    document: RouteDocument


class DirectoryUpdate(msgspec.Struct, frozen=True, tag="directory-update"):
    """A change of the replica directory.

    Attributes:
        change: The change.
        is_full: Whether it replaces the receiver's directory instead of extending it.
    """

    change: DirectoryChange
    is_full: bool = msgspec.field(name="whole")


class GrantRequest(msgspec.Struct, frozen=True, tag="grant-request"):
    """A gateway requests quota for one request, or a retry; a follower forwards it to the leader.

    Attributes:
        tenant: Tenant of the request; empty for a retry.
        units: Cost of the request, in the unit of the tenant's rate; 1 for a retry.
        retries_of: Service whose retry is requested; empty for quota of a tenant.
    """

    tenant: str
    units: float
    retries_of: str = ""


class GrantReply(msgspec.Struct, frozen=True, tag="grant-reply"):
    """The leader's response to `GrantRequest` and `ReplicaGrantRequest`.

    Attributes:
        is_granted: Whether the units are granted.
        wait_s: Seconds until the granted units may be used; if none were granted, seconds until
            they become available.
        lifetime_s: Seconds for which granted units may be used after that wait.
    """

    is_granted: bool
    wait_s: float
    lifetime_s: float


class ConsensusTraffic(msgspec.Struct, frozen=True, tag="consensus"):
    """Messages of consensus groups."""

    envelopes: list[Envelope]


Body = (
    Hello
    | Challenge
    | Proof
    | SubmitCommand
    | Heartbeat
    | EmptyCheck
    | Ping
    | Pong
    | EmptyCheckReply
    | MembersRequest
    | MembersReport
    | Submitted
    | NotLeader
    | MemberBehind
    | OutcomeUnknown
    | CommandRejected
    | Freshness
    | ConfigurationUpdate
    | FleetUpdate
    | ConsensusTraffic
    | RoutesUpdate
    | DirectoryUpdate
    | DemandNotice
    | JoinRequest
    | JoinReply
    | FindGroup
    | GroupReferral
    | SeenInstances
    | DrainingInstances
    | SuspectInstances
    | GrantRequest
    | GrantReply
    | SuspectsUpdate
    | ReportCrash
    | ClearRequests
    | StartSuspectRun
    | FinishSuspectRun
    | ReplicaGrantRequest
    | ReplicaLimitsNotice
    | ReportSoundParts
    | StreamOriginsNotice
    | FindStreamOrigin
    | FoundStreamOrigin
)


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """One frame on a stream.

    Attributes:
        correlation_id: Id shared by a request and its reply; 0 for a push.
        is_reply: Whether this is the reply to the request with that id.
        body: The message.
    """

    correlation_id: int
    is_reply: bool
    body: Body
