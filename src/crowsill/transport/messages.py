"""Messages between crowsill's own processes: callers of a control member, and its answers.

Every frame is one `Frame`. A request carries an id that its reply repeats; a push has none.
"""

import msgspec

from crowsill.consensus.messages import Envelope
from crowsill.model.configuration import Configuration, ConfigurationDelta
from crowsill.model.exclusions import ExcludedReplica
from crowsill.model.fleet import FleetDelta
from crowsill.model.replica_limits import LimitReport
from crowsill.model.replica_use import UseByReplica
from crowsill.state.commands import Command, CommandResult
from crowsill.state.directory import DirectoryChange
from crowsill.state.route_store import RouteDocument
from crowsill.transport.membership_messages import (
    BlankCheck,
    FindGroup,
    GroupReferral,
    JoinReply,
    JoinRequest,
    MemberBlank,
    MembersReport,
    MembersRequest,
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
    SuspectsUpdate,
)


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """First frame of the connecting side.

    Attributes:
        version: Protocol version.
        node: Name of the process.
        identity: Member id, or the incarnation of an entry.
        zone: Site of the process.
        nonce: Random bytes the other side must authenticate.
    """

    version: int
    node: str
    identity: str
    zone: str
    nonce: bytes


class Challenge(msgspec.Struct, frozen=True, tag="challenge"):
    """The accepting side's identity, its proof over both nonces, and its own nonce."""

    version: int
    node: str
    identity: str
    nonce: bytes
    proof: bytes


class Proof(msgspec.Struct, frozen=True, tag="proof"):
    """The connecting side's proof over both nonces."""

    proof: bytes


class SubmitCommand(msgspec.Struct, frozen=True, tag="submit"):
    """Commit a command; only the leader can."""

    command: Command


class EntryStatus(msgspec.Struct, frozen=True, array_like=True):
    """What a live entry says of itself.

    Attributes:
        incarnation: Changes at each start of the entry.
        node: Name of the process.
        zone: Its site.
        revision: Revision it serves.
        excluded: Replicas to which it sends nothing at present, as a gateway; not all, if many.
    """

    incarnation: str
    node: str
    zone: str
    revision: int
    excluded: list[ExcludedReplica] = []


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """An entry, or a follower for the entries behind it, asks what is current.

    Attributes:
        fleet_epoch: Epoch of the sender's fleet view.
        fleet_sequence: Sequence of that view.
        entries: The entry itself, or all entries that follow this member.
        demand: Requests since the last heartbeat by resource; only non-zero counts.
        follows_configuration: Whether the sender wants configuration pushes.
        follows_routes: Whether it wants pushes of routes and of the directory of replicas.
        routes_version: Version of the routes that it has.
        directory_version: Version of the directory that it has.
        suspects_version: Version of the crash record that it has.
        urgent: Those requests of `demand` that have a short target.
        pressed: Those whose first event took most of their target, or that found no place.
        in_use: What the sender has at replicas, or all gateways behind it; None where it does not
            tell, and wants to be told nothing of others.
        limits: Limits that replicas name, as far as the sender knows them.
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
    pressed: dict[str, int] = {}
    suspects_version: int = 0
    in_use: UseByReplica | None = None
    limits: list[LimitReport] = []


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """A member asks whether a stream still carries anything in both directions."""


class Pong(msgspec.Struct, frozen=True, tag="pong"):
    """The answer to `Ping`."""


class Submitted(msgspec.Struct, frozen=True, tag="submitted"):
    """The command was committed and applied."""

    result: CommandResult


class NotLeader(msgspec.Struct, frozen=True, tag="not-leader"):
    """This process does not lead; the command that was asked for has not been proposed here.

    Attributes:
        leader: The leader's `IP:port` if it is known.
        members: `IP:port` of members to ask instead, as far as this process knows any.
    """

    leader: str | None
    members: list[str] = []


class MemberBehind(msgspec.Struct, frozen=True, tag="member-behind"):
    """This member lacks what the leader confirms as current: follow another one."""


class Undecided(msgspec.Struct, frozen=True, tag="undecided"):
    """The command may or may not be committed: leadership was lost while it was pending."""


class Currency(msgspec.Struct, frozen=True, tag="currency"):
    """What is current, as proven by the leader's lease.

    Attributes:
        revision: The revision in force.
        entries: Number of live entries, for shared limits.
        members: `IP:port` of each control member.
        routes_version: Version of the routes in force.
        directory_version: Version of the directory of replicas.
        suspects_version: Version of the crash record.
        in_use: What all gateways have at replicas; None where that was not asked, or is not known.
        member_zones: Site of each member, in the order of `members`; empty where it is not known.
        limits: Limits that replicas name, as far as the group knows them.
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


class ConfigurationUpdate(msgspec.Struct, frozen=True, tag="configuration-update"):
    """A newer configuration: steps, or the whole when `full` is set."""

    full: Configuration | None
    deltas: list[ConfigurationDelta]


class FleetUpdate(msgspec.Struct, frozen=True, tag="fleet-update"):
    """A step of the fleet view."""

    delta: FleetDelta


class RoutesUpdate(msgspec.Struct, frozen=True, tag="routes-update"):
    """A newer route configuration."""

    document: RouteDocument


class DirectoryUpdate(msgspec.Struct, frozen=True, tag="directory-update"):
    """A change of the directory of replicas; `whole` when it holds everything."""

    change: DirectoryChange
    whole: bool


class GrantRequest(msgspec.Struct, frozen=True, tag="grant-request"):
    """A gateway asks for what one request of a tenant counts; a follower passes it to the leader.

    Attributes:
        tenant: Whose request it is.
        units: What it counts, in the unit of the tenant's rate.
    """

    tenant: str
    units: float


class GrantReply(msgspec.Struct, frozen=True, tag="grant-reply"):
    """The leader's answer to `GrantRequest`.

    Attributes:
        is_granted: Whether the units may be used.
        wait_s: When they may be, from now, if granted; else when there will be room.
        lifetime_s: How long they may be used from then on.
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
    | BlankCheck
    | Ping
    | Pong
    | MemberBlank
    | MembersRequest
    | MembersReport
    | Submitted
    | NotLeader
    | MemberBehind
    | Undecided
    | Currency
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
    | LeavingInstances
    | SuspectInstances
    | GrantRequest
    | GrantReply
    | SuspectsUpdate
    | ReportCrash
    | ClearRequests
    | ReplicaGrantRequest
    | ReplicaLimitsNotice
)


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """One frame on a stream.

    Attributes:
        correlation: Id of a request and of its reply; 0 for a push.
        is_reply: Whether this answers the request of that id.
        body: The message.
    """

    correlation: int
    is_reply: bool
    body: Body
