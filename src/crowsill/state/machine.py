"""The replicated state machine, which applies committed commands in order on every member."""

import hashlib
from collections.abc import Sequence

import msgspec

from crowsill.constants import CLAIM_RETENTION_S
from crowsill.model.configuration import Configuration
from crowsill.model.prompt_parts import InterruptedPrompt
from crowsill.model.suspects import SuspectRequest
from crowsill.state.claim_archive import ClaimBucket
from crowsill.state.claims import Claim, ClaimTable
from crowsill.state.commands import (
    AbandonHolders,
    Acknowledged,
    BeginSuspectRun,
    ChangeConfiguration,
    ClaimKey,
    ClearSuspects,
    Command,
    CommandResult,
    CrashCommand,
    DrainInstance,
    EndSuspectRun,
    LeaderRecord,
    NoteSoundParts,
    OfferModels,
    OpenClaim,
    OrderPlaced,
    PlaceOrder,
    PublishRoutes,
    RecordControlAddress,
    RecordCrash,
    RecordHeartbeat,
    RecordMissingModels,
    RecordQuotaUse,
    RecordStoreLoad,
    Registration,
    RemoveInstance,
    ReviewParts,
    SettleClaim,
)
from crowsill.state.configuration_store import AcceptedChange, ConfigurationStore
from crowsill.state.control_addresses import ControlAddresses
from crowsill.state.crash_record import CrashRecord, CrashRecordSnapshot
from crowsill.state.directory import Directory, DirectoryChange, DirectorySnapshot
from crowsill.state.missing_models import MissingModels
from crowsill.state.orders import Order, OrderTable
from crowsill.state.quota_use import QuotaUse
from crowsill.state.route_store import RouteDocument, RouteStore
from crowsill.state.suspect_runs import SuspectRun, SuspectRuns


class _MachineSnapshot(msgspec.Struct, frozen=True):
    configuration: Configuration
    history: list[AcceptedChange]
    claims: list[tuple[ClaimKey, Claim]]
    old_claims: list[ClaimBucket]
    next_order_id: int
    orders: list[Order]
    sizes: dict[str, int]
    routes: RouteDocument = RouteDocument()
    directory: DirectorySnapshot = DirectorySnapshot()
    control_addresses: list[str] = []
    missing_models: dict[str, float] = msgspec.field(default_factory=dict, name="lacked")
    missing_ages_s: dict[str, float] = {}
    quota_use: dict[str, list[float]] = {}
    crashes: CrashRecordSnapshot = CrashRecordSnapshot()
    suspect_runs: list[SuspectRun] = []


class StateMachine:
    """The replicated state of the group.

    Attributes:
        configuration: Configuration with its history.
        claims: Claims of unsafe requests.
        orders: Unsettled orders to engines.
        routes: The route configuration in effect.
        directory: Self-registered replicas.
        control_addresses: Addresses of control processes that were members or asked to join.
        missing_models: Requests for models that no engine had loaded.
        quota_use: Units that accounts were recently granted.
        crashes: Requests that were running when replicas crashed.
        suspect_runs: Runs of such requests that are in progress.
    """

    def __init__(self, claim_retention_s: float = CLAIM_RETENTION_S) -> None:
        self.configuration = ConfigurationStore()
        self.claims = ClaimTable(claim_retention_s)
        self.orders = OrderTable()
        self.routes = RouteStore()
        self.directory = Directory()
        self.control_addresses = ControlAddresses()
        self.missing_models = MissingModels()
        self.quota_use = QuotaUse()
        self.crashes = CrashRecord()
        self.suspect_runs = SuspectRuns()

    def apply(self, command: Command) -> CommandResult:
        """Apply one committed command and return its result."""
        if isinstance(command, Registration):
            return Acknowledged(self._apply_registration(command))
        match command:
            case OpenClaim():
                return self.claims.open(command)
            case SettleClaim() | AbandonHolders():
                return Acknowledged(self._apply_settlement(command))
            case ChangeConfiguration():
                return self.configuration.submit(command.change, command.at_s)
            case PlaceOrder():
                return OrderPlaced(self.orders.place(command))
            case _:
                return Acknowledged(self.orders.settle(command.order_id))

    def _apply_settlement(self, command: SettleClaim | AbandonHolders) -> bool:
        """Apply the outcome of claims; return whether it had any effect."""
        if isinstance(command, SettleClaim):
            return self.claims.settle(command)
        return self.claims.abandon(set(command.holders)) > 0

    def _apply_registration(self, command: Registration) -> bool:
        """Apply a registration or a record; return whether it changed anything."""
        match command:
            case PublishRoutes():
                return self.routes.submit(command.document)
            case RecordHeartbeat():
                return self._record_heartbeat(command) is not None
            case DrainInstance() | RemoveInstance() | OfferModels():
                return self._change_directory(command) is not None
            case RecordCrash() | ClearSuspects() | BeginSuspectRun() | EndSuspectRun():
                return self._apply_crash(command)
            case NoteSoundParts() | ReviewParts():
                return self._apply_parts(command)
            case _:
                return self._apply_leader_record(command)

    def _record_heartbeat(self, command: RecordHeartbeat) -> DirectoryChange | None:
        """Record a heartbeat; return the change, or None.

        A replica that is replaced while it runs a suspect, and did not drain, has crashed. Its
        gateway may be unable to report that.
        """
        running = [
            instance_id
            for instance_id in sorted(self.suspect_runs.instance_ids())
            if (reported := self.directory.find_reported(instance_id)) is not None
            and reported.accepts_work
        ]
        change = self.directory.record(command.heartbeat)
        if change is not None:
            for instance_id in running:
                if instance_id in change.removed:
                    self._count_crash(instance_id, [], command.at_s)
        return change

    def _change_directory(
        self, command: DrainInstance | RemoveInstance | OfferModels
    ) -> DirectoryChange | None:
        """Apply another command about a replica; return the change, or None."""
        match command:
            case DrainInstance():
                return self.directory.drain(command.instance_id)
            case RemoveInstance():
                return self.directory.remove(command.instance_id)
            case OfferModels():
                return self.directory.offer(command.instance_id, command.models, command.loading)

    def _apply_parts(self, command: NoteSoundParts | ReviewParts) -> bool:
        """Apply a command about parts of prompts; return whether it changed anything."""
        if isinstance(command, ReviewParts):
            return self.crashes.review_parts(command.at_s, command.lifetime_s) is not None
        sound_at_s = [command.at_s - ago_s for ago_s in command.ago_s]
        return self.crashes.note_sound_parts(command.parts, sound_at_s, command.at_s) is not None

    def _apply_crash(
        self, command: RecordCrash | ClearSuspects | BeginSuspectRun | EndSuspectRun
    ) -> bool:
        """Apply a command about suspect requests; return whether it changed anything."""
        match command:
            case BeginSuspectRun():
                self._count_unreported(command.at_s)
                return self._may_run(command, command.at_s) and self.suspect_runs.begin(
                    self._to_run(command, command.at_s)
                )
            case EndSuspectRun():
                run = self.suspect_runs.end(command.run_id)
                if run is not None and command.is_interrupted:
                    self._count_run(run)
                return run is not None
            case ClearSuspects():
                for fingerprint, ago_s in zip(
                    command.fingerprints, command.completed_ago_s, strict=False
                ):
                    self.crashes.note_completion(fingerprint, command.at_s - ago_s)
                self.suspect_runs.end_requests(command.fingerprints)
                are_lifted = [
                    self.crashes.lift_part(item, command.at_s)
                    for item in command.fingerprints
                    if command.is_lifted
                ]
                return self.crashes.clear(command.fingerprints) is not None or any(are_lifted)
            case RecordCrash():
                crashed_at_s = command.at_s - command.ago_s
                instance_id, prompts = command.instance_id, command.prompts
                change = self.crashes.record_prompts(
                    instance_id, prompts, crashed_at_s, command.at_s
                )
                is_counted = self._count_crash(instance_id, command.requests, crashed_at_s, prompts)
                return is_counted or change is not None

    def _count_crash(
        self,
        instance_id: str,
        reported: list[SuspectRequest],
        crashed_at_s: float,
        prompts: Sequence[InterruptedPrompt] = (),
    ) -> bool:
        """Count a crash against the requests that ran there; return whether anything changed.

        Args:
            instance_id: The incarnation that crashed.
            reported: Requests that a gateway reported as running there.
            crashed_at_s: Wall-clock time of the crash.
            prompts: Prompts of these requests.
        """
        self.suspect_runs.note_crash(
            instance_id, [request.fingerprint for request in reported], crashed_at_s
        )
        return self.crashes.record(instance_id, reported, crashed_at_s, prompts) is not None

    def _count_unreported(self, now_s: float) -> None:
        """Count the crashes under runs whose gateways did not report in time."""
        for run in self.suspect_runs.take_unreported(now_s):
            self._count_run(run)

    def _count_run(self, run: SuspectRun) -> None:
        """Count the crash of a run's replica against its request, if the replica has crashed."""
        if run.crashed_at_s is None:
            return
        ran_s = max(0.0, run.crashed_at_s - run.started_at_s)
        request = msgspec.structs.replace(
            run.request, ran_s=ran_s, known_crashes=max(run.crashes, run.request.known_crashes)
        )
        self.crashes.record(run.instance_id, [request], run.crashed_at_s)

    def may_have_effect(self, command: CrashCommand, now_s: float) -> bool:
        """Whether a command about suspects would have any effect, as far as this member knows.

        Args:
            command: The command.
            now_s: Current wall-clock time.
        """
        match command:
            case BeginSuspectRun():
                return self._may_run(command, now_s)
            case NoteSoundParts():
                return self.crashes.parts.may_clear(command.parts)
            case _:
                return True

    def _may_run(self, command: BeginSuspectRun, now_s: float) -> bool:
        suspect = self.crashes.find(command.request.fingerprint)
        if suspect is not None and suspect.is_quarantined:
            return False
        return self.suspect_runs.may_begin(self._to_run(command, now_s))

    def _to_run(self, command: BeginSuspectRun, now_s: float) -> SuspectRun:
        suspect = self.crashes.find(command.request.fingerprint)
        recorded = 0 if suspect is None else len(suspect.counted_crashes)
        crashes = max(recorded, command.request.known_crashes)
        return SuspectRun(command.run_id, command.request, command.instance_id, crashes, now_s)

    def _apply_leader_record(self, command: LeaderRecord) -> bool:
        """Apply what a leader recorded for its successors; return whether it changed anything."""
        match command:
            case RecordControlAddress():
                return self.control_addresses.record(command.address)
            case RecordMissingModels():
                return self.missing_models.record(command.requests, command.ages_s)
            case RecordQuotaUse():
                return self.quota_use.record(command.units)
            case RecordStoreLoad():
                return False

    def snapshot(self) -> bytes:
        """Encode the full state."""
        return msgspec.msgpack.encode(
            _MachineSnapshot(
                configuration=self.configuration.current,
                history=self.configuration.history,
                claims=self.claims.dump(),
                old_claims=self.claims.dump_archive(),
                next_order_id=self.orders.next_id,
                orders=self.orders.outstanding,
                sizes=self.orders.sizes,
                routes=self.routes.current,
                directory=self.directory.dump(),
                control_addresses=self.control_addresses.addresses,
                missing_models=self.missing_models.requests,
                missing_ages_s=self.missing_models.ages_s,
                quota_use=self.quota_use.units,
                crashes=self.crashes.dump(),
                suspect_runs=self.suspect_runs.dump(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the full state by an encoded one."""
        snapshot = msgspec.msgpack.decode(data, type=_MachineSnapshot)
        self.configuration.load(snapshot.configuration, snapshot.history)
        self.claims.load(snapshot.claims, snapshot.old_claims)
        self.orders.load(snapshot.next_order_id, snapshot.orders, snapshot.sizes)
        self.routes.load(snapshot.routes)
        self.directory.load(snapshot.directory)
        self.control_addresses.load(snapshot.control_addresses)
        self.missing_models.record(snapshot.missing_models, snapshot.missing_ages_s)
        self.quota_use.load(snapshot.quota_use)
        self.crashes.load(snapshot.crashes)
        self.suspect_runs.load(snapshot.suspect_runs)

    def digest(self) -> str:
        """Return a hash of the state, equal on all members that applied the same entries."""
        return hashlib.sha256(self.snapshot()).hexdigest()[:16]
