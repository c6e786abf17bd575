"""Commands of the replicated state machine and their results.

A log entry carries a batch of commands, so that one sync and one round trip commit many.
"""

from enum import StrEnum

import msgspec

from crowsill.model.configuration import ConfigurationChange
from crowsill.model.instances import LoadedModel, LoadingModel, ReplicaHeartbeat
from crowsill.model.prompt_parts import InterruptedPrompt
from crowsill.model.suspects import SuspectRequest
from crowsill.state.route_store import RouteDocument


class ClaimKey(msgspec.Struct, frozen=True, array_like=True):
    """Identity of an unsafe request: the caller's idempotency key within tenant and resource."""

    tenant: str
    resource: str
    key: str


class RecordedResponse(msgspec.Struct, frozen=True, array_like=True):
    """A back end's complete response to an unsafe request, stored for resends."""

    status: int
    content_type: str
    body: bytes


class ChangeConfiguration(msgspec.Struct, frozen=True, array_like=True, tag="configuration"):
    """Submit a configuration change."""

    change: ConfigurationChange
    at_s: float


class OpenClaim(msgspec.Struct, frozen=True, array_like=True, tag="open-claim"):
    """Request permission to run an unsafe request.

    Attributes:
        key: The request's identity.
        fingerprint: Hash of method, path and body; a key is bound to it.
        attempt: Unique id of this attempt; the same attempt may repeat the command.
        holder: Incarnation of the entry that would run the request.
        at_s: Wall-clock time of the leader.
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
        attempt: The attempt that owned the claim.
        settlement: How it ended.
        response: The response, if there was one that is small enough to store.
        at_s: Wall-clock time of the leader.
    """

    key: ClaimKey
    attempt: str
    settlement: ClaimSettlement
    response: RecordedResponse | None
    at_s: float


class AbandonHolders(msgspec.Struct, frozen=True, array_like=True, tag="abandon"):
    """Set open claims of entries that are gone to an unknown outcome."""

    holders: list[str]
    at_s: float


class OrderKind(StrEnum):
    """Kind of an order to an engine."""

    LOAD = "load"
    UNLOAD = "unload"


class PlaceOrder(msgspec.Struct, frozen=True, array_like=True, tag="place-order"):
    """Commit an order to an engine before it is sent.

    Attributes:
        replica_id: The engine.
        incarnation: The engine's incarnation that the order is for.
        kind: Load or unload.
        resource: `model` or `model:adapter`.
        memory_mib: Memory that the resource needs.
        term: Term of the proposing leader; the order's fence, within which the log index orders.
        at_s: Wall-clock time of the leader.
    """

    replica_id: str
    incarnation: str
    kind: OrderKind
    resource: str
    memory_mib: int
    term: int
    at_s: float


class SettleOrder(msgspec.Struct, frozen=True, array_like=True, tag="settle-order"):
    """Record that an order can no longer take effect: confirmed, rejected or lost."""

    order_id: int
    succeeded: bool
    at_s: float


class PublishRoutes(msgspec.Struct, frozen=True, array_like=True, tag="publish-routes"):
    """Put a route configuration into effect if its version is the highest."""

    document: RouteDocument
    at_s: float = 0.0


class RecordHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="record-beat"):
    """Record a heartbeat that changes the known state of a replica."""

    heartbeat: ReplicaHeartbeat
    at_s: float = 0.0


class DrainInstance(msgspec.Struct, frozen=True, array_like=True, tag="drain-instance"):
    """Record that an instance drains, as it reported in a response."""

    instance_id: str
    at_s: float = 0.0


class RemoveInstance(msgspec.Struct, frozen=True, array_like=True, tag="remove-instance"):
    """Record that an instance is permanently gone."""

    instance_id: str
    at_s: float = 0.0


class OfferModels(msgspec.Struct, frozen=True, array_like=True, tag="offer-models"):
    """Record which models gateways may use at an engine, as decided by the model placement.

    Attributes:
        instance_id: The engine.
        models: Loaded models that gateways may use.
        loading: Models that the engine is loading.
    """

    instance_id: str
    models: list[LoadedModel]
    at_s: float = 0.0
    loading: list[LoadingModel] = []


class RecordMissingModels(msgspec.Struct, frozen=True, array_like=True, tag="record-lacked"):
    """Record the requests for each missing model since it was last loaded.

    Attributes:
        requests: Number of requests by `service|model`; replaces the former record.
        ages_s: Time from the first of them to now, by the same names, in seconds.
    """

    requests: dict[str, float]
    at_s: float = 0.0
    ages_s: dict[str, float] = {}


class RecordQuotaUse(msgspec.Struct, frozen=True, array_like=True, tag="record-quota-use"):
    """Record an upper bound of the units that accounts were recently granted.

    Attributes:
        units: Units by account and age, the most recent first; an empty list removes the account.
    """

    units: dict[str, list[float]]
    at_s: float = 0.0


class RecordStoreLoad(msgspec.Struct, frozen=True, array_like=True, tag="record-store-load"):
    """Record that the leader is about to order a load from the weight store.

    Members note when they applied it, so that a successor knows how many loads began lately. It
    leaves the replicated state as it is.

    Attributes:
        service: Service of the engine that loads.
    """

    service: str
    at_s: float = 0.0


class RecordControlAddress(
    msgspec.Struct, frozen=True, array_like=True, tag="record-control-address"
):
    """Record the address of a control process, so that any leader can reach it.

    Attributes:
        address: `IP:port` at which it accepts connections of other crowsill processes.
    """

    address: str
    at_s: float = 0.0


class RecordCrash(msgspec.Struct, frozen=True, array_like=True, tag="record-crash"):
    """Record that a replica crashed while it ran requests.

    Attributes:
        instance_id: The incarnation that crashed.
        requests: Requests that were running on the replica.
        ago_s: Time between the crash and the proposal of this command.
        prompts: Prompts that were running on the replica, also those of requests that are no
            suspects.
    """

    instance_id: str
    requests: list[SuspectRequest]
    ago_s: float
    at_s: float = 0.0
    prompts: list[InterruptedPrompt] = []


# Reason of a command by which an operator ends a quarantine.
LIFTED = "lifted"


class ClearSuspects(msgspec.Struct, frozen=True, array_like=True, tag="clear-suspects"):
    """Record that requests are no longer suspects.

    Attributes:
        fingerprints: Fingerprints of the requests.
        reason: Reason, for the log.
        completed_ago_s: Time between the completion of each request and the proposal of this
            command, in the same order; empty if completion is not the reason.
    """

    fingerprints: list[bytes]
    reason: str
    at_s: float = 0.0
    completed_ago_s: list[float] = []

    @property
    def is_lifted(self) -> bool:
        """Whether an operator asked for it; then a fingerprint may also be a part's digest."""
        return self.reason == LIFTED


class NoteSoundParts(msgspec.Struct, frozen=True, array_like=True, tag="note-sound-parts"):
    """Record that replicas responded to prompts with suspect parts and did not crash.

    Attributes:
        parts: The parts.
        ago_s: Time between the begin of the last response to each part and the proposal of this
            command, in the same order.
    """

    parts: list[bytes]
    ago_s: list[float]
    at_s: float = 0.0


class ReviewParts(msgspec.Struct, frozen=True, array_like=True, tag="review-parts"):
    """Quarantine the parts of prompts that explain enough crashes.

    Attributes:
        lifetime_s: Time in seconds after the last crash for which a quarantine lasts.
    """

    lifetime_s: float
    at_s: float = 0.0


class BeginSuspectRun(msgspec.Struct, frozen=True, array_like=True, tag="begin-suspect-run"):
    """Record that a suspect begins to run on a replica, unless another run excludes it.

    Attributes:
        run_id: Id of the run, chosen by its gateway.
        request: The suspect.
        instance_id: The incarnation that is to run it.
    """

    run_id: str
    request: SuspectRequest
    instance_id: str
    at_s: float = 0.0


class EndSuspectRun(msgspec.Struct, frozen=True, array_like=True, tag="end-suspect-run"):
    """Record that the run of a suspect has ended, and that its gateway saw no crash.

    Attributes:
        run_id: Id of the run.
        is_interrupted: Whether the replica received the request and did not complete its response.
    """

    run_id: str
    is_interrupted: bool = False
    at_s: float = 0.0


CrashCommand = (
    RecordCrash | ClearSuspects | BeginSuspectRun | EndSuspectRun | NoteSoundParts | ReviewParts
)
# State that a leader records for its successors.
LeaderRecord = RecordControlAddress | RecordMissingModels | RecordQuotaUse | RecordStoreLoad
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
    | RecordStoreLoad
    | RecordCrash
    | ClearSuspects
    | BeginSuspectRun
    | EndSuspectRun
    | NoteSoundParts
    | ReviewParts
)


def stops_attempts(command: Command) -> bool:
    """Return whether a command stops further attempts of a request or at a replica.

    >>> stops_attempts(DrainInstance("i-1")), stops_attempts(RecordMissingModels({}))
    (True, False)
    """
    if isinstance(command, RecordHeartbeat):
        return not command.heartbeat.instance.accepts_work
    return isinstance(command, RecordCrash | ReviewParts | DrainInstance | RemoveInstance)


class ConfigurationDecision(StrEnum):
    """Outcome of a configuration change."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    CONFLICT = "conflict"
    INVALID = "invalid"


class ConfigurationResult(msgspec.Struct, frozen=True, tag="configuration-result"):
    """The result of a configuration change.

    Attributes:
        decision: Outcome of the change.
        revision: The revision of the accepted change, otherwise the revision in effect.
        detail: The winning change for a conflict, the errors for an invalid change.
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
    """The result of `OpenClaim`."""

    decision: ClaimDecision
    response: RecordedResponse | None = msgspec.field(default=None, name="answer")


class Acknowledged(msgspec.Struct, frozen=True, tag="acknowledged"):
    """The command was applied; `accepted` is False if it had no effect."""

    accepted: bool = True


class OrderPlaced(msgspec.Struct, frozen=True, tag="order-placed"):
    """The id of a placed order; ids increase with every order."""

    order_id: int


CommandResult = ConfigurationResult | ClaimResult | Acknowledged | OrderPlaced

_batch_decoder = msgspec.msgpack.Decoder(list[Command])


def encode_batch(commands: list[Command]) -> bytes:
    """Encode commands for one log entry."""
    return msgspec.msgpack.encode(commands)


def command_fault(command: Command) -> str | None:
    """Return why a command can't be a log entry; None if all members can decode it.

    >>> command_fault(RemoveInstance("i-1")) is None
    True
    >>> command_fault(PublishRoutes(RouteDocument(2**64, b""))).split(":")[:2]
    ['publish-routes', ' OverflowError']
    """
    try:
        decode_batch(encode_batch([command]))
    except (OverflowError, TypeError, ValueError, RecursionError, msgspec.MsgspecError) as error:
        return f"{type(command).__struct_config__.tag}: {type(error).__name__}: {error}"
    return None


def decode_batch(data: bytes) -> list[Command]:
    """Decode the commands of one log entry."""
    return _batch_decoder.decode(data)
