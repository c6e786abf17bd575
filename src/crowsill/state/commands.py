"""Commands of the replicated state machine and their results.

A log entry carries a batch of commands, so that one sync and one round trip commit many.
"""

from enum import StrEnum

import msgspec

from crowsill.model.configuration import ConfigurationChange
from crowsill.model.instances import LoadedModel, LoadingModel, ReplicaHeartbeat
from crowsill.model.suspects import SuspectRequest
from crowsill.state.route_store import RouteDocument


class ClaimKey(msgspec.Struct, frozen=True, array_like=True):
    """Identity of an unsafe request: the caller's key within tenant and resource."""

    tenant: str
    resource: str
    key: str


class RecordedResponse(msgspec.Struct, frozen=True, array_like=True):
    """A back end's whole answer to an unsafe request, kept for resends."""

    status: int
    content_type: str
    body: bytes


class ChangeConfiguration(msgspec.Struct, frozen=True, array_like=True, tag="configuration"):
    """Submit a configuration change."""

    change: ConfigurationChange
    at_s: float


class OpenClaim(msgspec.Struct, frozen=True, array_like=True, tag="open-claim"):
    """Ask to run an unsafe request.

    Attributes:
        key: The request's identity.
        fingerprint: Hash of method, path and body; a key is bound to it.
        attempt: Unique id of this attempt; the same attempt may ask again.
        holder: Incarnation of the entry that would run it.
        at_s: Wall clock of the leader.
    """

    key: ClaimKey
    fingerprint: bytes
    attempt: str
    holder: str
    at_s: float


class ClaimSettlement(StrEnum):
    """How an attempt ended."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class SettleClaim(msgspec.Struct, frozen=True, array_like=True, tag="settle-claim"):
    """Record how a claimed attempt ended.

    Attributes:
        key: The request's identity.
        attempt: The attempt that held the claim.
        settlement: How it ended.
        response: The answer, when it was answered and is small enough to keep.
        at_s: Wall clock of the leader.
    """

    key: ClaimKey
    attempt: str
    settlement: ClaimSettlement
    response: RecordedResponse | None
    at_s: float


class AbandonHolders(msgspec.Struct, frozen=True, array_like=True, tag="abandon"):
    """Declare the open claims of vanished entries to be of unknown outcome."""

    holders: list[str]
    at_s: float


class OrderKind(StrEnum):
    """What an engine is told to do."""

    LOAD = "load"
    UNLOAD = "unload"


class PlaceOrder(msgspec.Struct, frozen=True, array_like=True, tag="place-order"):
    """Commit an order to an engine before it is sent.

    Attributes:
        replica_id: The engine.
        incarnation: The engine's incarnation the order is for.
        kind: Load or unload.
        resource: `model` or `model:adapter`.
        memory_mib: Memory the resource takes.
        term: The fence: the proposing leader's term; the log index orders within it.
        at_s: Wall clock of the leader.
    """

    replica_id: str
    incarnation: str
    kind: OrderKind
    resource: str
    memory_mib: int
    term: int
    at_s: float


class SettleOrder(msgspec.Struct, frozen=True, array_like=True, tag="settle-order"):
    """Record that an order can no longer change anything: confirmed, refused or dead."""

    order_id: int
    succeeded: bool
    at_s: float


class PublishRoutes(msgspec.Struct, frozen=True, array_like=True, tag="publish-routes"):
    """Put a route configuration in force, if its version is the highest."""

    document: RouteDocument
    at_s: float = 0.0


class RecordHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="record-beat"):
    """Take in a heartbeat that changes what is known of a replica."""

    heartbeat: ReplicaHeartbeat
    at_s: float = 0.0


class DrainInstance(msgspec.Struct, frozen=True, array_like=True, tag="drain-instance"):
    """Record that an instance leaves, by its own word in an answer."""

    instance_id: str
    at_s: float = 0.0


class RemoveInstance(msgspec.Struct, frozen=True, array_like=True, tag="remove-instance"):
    """Record that an instance is gone for good."""

    instance_id: str
    at_s: float = 0.0


class OfferModels(msgspec.Struct, frozen=True, array_like=True, tag="offer-models"):
    """Record what gateways may use at an engine, by the word of whoever places models.

    Attributes:
        instance_id: The engine.
        models: What it holds and gateways may use.
        loading: Models whose load is under way there.
    """

    instance_id: str
    models: list[LoadedModel]
    at_s: float = 0.0
    loading: list[LoadingModel] = []


class RecordMissingModels(msgspec.Struct, frozen=True, array_like=True, tag="record-lacked"):
    """Record how many requests models have lacked since they were held last.

    Attributes:
        requests: Their number by `service|model`; replaces what was recorded before.
    """

    requests: dict[str, float]
    at_s: float = 0.0


class RecordQuotaUse(msgspec.Struct, frozen=True, array_like=True, tag="record-quota-use"):
    """Record the most that tenants may have been granted lately.

    Attributes:
        units: Units by tenant and age, the youngest first; none forgets the tenant.
    """

    units: dict[str, list[float]]
    at_s: float = 0.0


class RecordControlAddress(
    msgspec.Struct, frozen=True, array_like=True, tag="record-control-address"
):
    """Record where a control process is, so that any leader can find it.

    Attributes:
        address: Its `IP:port` for other crowsill processes.
    """

    address: str
    at_s: float = 0.0


class RecordCrash(msgspec.Struct, frozen=True, array_like=True, tag="record-crash"):
    """Record that a replica ended while it ran requests.

    Attributes:
        instance_id: The replica's life that ended.
        requests: What was running there.
        ago_s: How long before the command was proposed it ended.
    """

    instance_id: str
    requests: list[SuspectRequest]
    ago_s: float
    at_s: float = 0.0


class ClearSuspects(msgspec.Struct, frozen=True, array_like=True, tag="clear-suspects"):
    """Record that requests are no longer suspects.

    Attributes:
        fingerprints: Which.
        reason: Why not, for the log.
        completed_ago_s: Time between the completion of each request and the proposal of this
            command, in the same order; empty if completion is not the reason.
    """

    fingerprints: list[bytes]
    reason: str
    at_s: float = 0.0
    completed_ago_s: list[float] = []


CrashCommand = RecordCrash | ClearSuspects
# What a leader notes for its successors.
LeaderRecord = RecordControlAddress | RecordMissingModels | RecordQuotaUse
DirectoryCommand = RecordHeartbeat | DrainInstance | RemoveInstance | OfferModels
Registration = PublishRoutes | DirectoryCommand | CrashCommand | LeaderRecord
Command = (
    ChangeConfiguration
    | OpenClaim
    | SettleClaim
    | AbandonHolders
    | PlaceOrder
    | SettleOrder
    | PublishRoutes
    | RecordHeartbeat
    | DrainInstance
    | RemoveInstance
    | OfferModels
    | RecordControlAddress
    | RecordMissingModels
    | RecordQuotaUse
    | RecordCrash
    | ClearSuspects
)


def stops_attempts(command: Command) -> bool:
    """Whether a command says to send no more: of a request, or to a replica.

    >>> stops_attempts(DrainInstance("i-1")), stops_attempts(RecordMissingModels({}))
    (True, False)
    """
    if isinstance(command, RecordHeartbeat):
        return not command.heartbeat.instance.accepts_work
    return isinstance(command, RecordCrash | DrainInstance | RemoveInstance)


class ConfigurationDecision(StrEnum):
    """What became of a configuration change."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    CONFLICT = "conflict"
    INVALID = "invalid"


class ConfigurationResult(msgspec.Struct, frozen=True, tag="configuration-result"):
    """The answer to a configuration change.

    Attributes:
        decision: What became of it.
        revision: The revision it got, or the revision in force.
        detail: For a conflict the winning change, for an invalid one the faults.
    """

    decision: ConfigurationDecision
    revision: int
    detail: str = ""


class ClaimDecision(StrEnum):
    """Whether an attempt may run."""

    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"


class ClaimResult(msgspec.Struct, frozen=True, tag="claim-result"):
    """The answer to `OpenClaim`."""

    decision: ClaimDecision
    response: RecordedResponse | None = msgspec.field(default=None, name="answer")


class Acknowledged(msgspec.Struct, frozen=True, tag="acknowledged"):
    """The command was applied; `accepted` is False where it no longer had any effect."""

    accepted: bool = True


class OrderPlaced(msgspec.Struct, frozen=True, tag="order-placed"):
    """The order has this id, which rises with every order."""

    order_id: int


CommandResult = ConfigurationResult | ClaimResult | Acknowledged | OrderPlaced

_batch_decoder = msgspec.msgpack.Decoder(list[Command])


def encode_batch(commands: list[Command]) -> bytes:
    """Encode commands for one log entry."""
    return msgspec.msgpack.encode(commands)


def decode_batch(data: bytes) -> list[Command]:
    """Decode the commands of one log entry."""
    return _batch_decoder.decode(data)
