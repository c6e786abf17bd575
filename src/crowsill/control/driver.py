"""Runs the consensus core with its clock, disk, network and state machine."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import msgspec

from crowsill.clock import monotonic_s, wall_s
from crowsill.consensus.core import decode_membership
from crowsill.consensus.invariants import InvariantError, require
from crowsill.consensus.membership import Membership
from crowsill.consensus.messages import EntryKind, Envelope, LogEntry
from crowsill.consensus.node import RaftNode
from crowsill.consensus.types import Ready, Role, Snapshot
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.metrics import COMMIT_S, COMMITS, INVARIANT_FAILURES
from crowsill.state.commands import (
    Acknowledged,
    Command,
    CommandResult,
    command_fault,
    decode_batch,
    encode_batch,
    stops_attempts,
)
from crowsill.state.machine import StateMachine
from crowsill.storage.journal import Journal
from crowsill.transport.messages import CommandRejected, NotLeader, OutcomeUnknown, Submitted

SNAPSHOT_JOURNAL_BYTES = 16 * 1024 * 1024
SNAPSHOT_RETAINED_ENTRIES = 500
MAX_BATCH_COMMANDS = 512
SAVE_RETRY_INTERVAL_S = 0.1
# Slower writes and longer pauses of the event loop are logged: a member that is silent for an
# election timeout (0.5 s) loses its lease.
SLOW_SAVE_THRESHOLD_S = 0.3
STALL_THRESHOLD_S = 0.3

SubmitResult = Submitted | NotLeader | OutcomeUnknown | CommandRejected


@dataclass(slots=True)
class _PendingCommand:
    command: Command
    result_future: asyncio.Future[SubmitResult]
    submitted_at_s: float


@dataclass(slots=True)
class _ProposedBatch:
    term: int
    commands: list[_PendingCommand]


class ConsensusDriver:
    """Runs one member of one group.

    Attributes:
        node: The consensus core.
        machine: The state machine to which committed entries are applied.
        applied_index: Index of the last entry applied to the state machine.
    """

    def __init__(
        self,
        *,
        node: RaftNode,
        journal: Journal,
        machine: StateMachine,
        applied_index: int,
        applied_membership: Membership,
        send: Callable[[list[Envelope]], None],
        tick_s: float,
        on_applied: Callable[[Command, CommandResult], None],
        on_role: Callable[[Role], None],
        on_restored: Callable[[], None],
    ) -> None:
        """Wrap a recovered member.

        Args:
            node: The consensus core.
            journal: Its open journal.
            machine: The state machine, at `applied_index`.
            applied_index: Index of the last entry contained in the state machine.
            applied_membership: Membership at that entry.
            send: Sends messages to other members; may drop them.
            tick_s: Interval of the core's clock.
            on_applied: Called after each applied command.
            on_role: Called when the role changes.
            on_restored: Called after a snapshot has replaced the state.
        """
        self.node = node
        self.machine = machine
        self.applied_index = applied_index
        self._applied_membership = applied_membership
        self._applied_term = node.log.term_at(applied_index) or 0
        self._journal = journal
        self._send = send
        self._tick_s = tick_s
        self._on_applied = on_applied
        self._must_announce_commit = False
        self._on_role = on_role
        self._on_restored = on_restored
        self._role = Role.FOLLOWER
        self._wake = asyncio.Event()
        self._executor = ThreadPoolExecutor(1, "journal")
        self._queue: list[_PendingCommand] = []
        self._proposed: dict[int, _ProposedBatch] = {}
        self._stopping = False

    @property
    def is_leader(self) -> bool:
        """Whether this member leads and knows every committed entry."""
        return self.node.is_established_leader

    @property
    def is_elected(self) -> bool:
        """Whether this member leads, even if it doesn't know every committed entry yet."""
        return self.node.leader_id == self.node.member_id

    def has_lease(self) -> bool:
        """Whether this member is provably the only leader, and has applied all of earlier terms.

        A lease alone proves nothing about the state machine. Other members may confirm the first
        entry of a term while this member's own write of that entry hangs. Until the write ends,
        entries acknowledged by the former leader may not be applied here.
        """
        leader = self.node.leader
        if leader is None or self.applied_index < leader.first_index:
            return False
        return self.node.has_lease(monotonic_s())

    def has_applied_commits(self) -> bool:
        """Whether all entries that this member knows to be committed are applied.

        A leader tells the others of a commit before it has applied it, since its own write of the
        next entry comes first.
        """
        return self.applied_index >= self.node.commit_index

    def leader_address(self) -> str | None:
        """`IP:port` of the leader, if it is known."""
        leader_id = self.node.leader_id
        member = None if leader_id is None else self.node.membership.find(leader_id)
        return None if member is None else f"{member.host}:{member.port}"

    def receive(self, envelopes: list[Envelope]) -> None:
        """Handle messages from other members."""
        now_s = monotonic_s()
        for envelope in envelopes:
            self.node.step(now_s, envelope)
        self._wake.set()

    async def submit(self, command: Command) -> SubmitResult:
        """Commit and apply a command.

        The leader stamps it with its own wall clock. A command that can't be encoded is rejected by
        itself: in a batch it would fail the others, and end this member.
        """
        fault = command_fault(command)
        if fault is not None:
            log_event(Event.COMMAND_REJECTED, detail=fault)
            return CommandRejected(fault)
        if not self.is_leader or self._stopping:
            return NotLeader(self.leader_address())
        stamped = msgspec.structs.replace(command, at_s=wall_s())
        result_future: asyncio.Future[SubmitResult] = asyncio.get_running_loop().create_future()
        self._queue.append(_PendingCommand(stamped, result_future, monotonic_s()))
        self._wake.set()
        return await result_future

    async def run(self) -> None:
        """Run until `stop` is called.

        Raises:
            InvariantError: An invariant is violated; the process must exit.
        """
        ticker = asyncio.create_task(self._tick())
        try:
            while not self._stopping:
                await self._wake.wait()
                self._wake.clear()
                await self._process()
        except InvariantError as error:
            INVARIANT_FAILURES.inc()
            log_event(Event.INVARIANT_BROKEN, statement=str(error))
            raise
        finally:
            ticker.cancel()
            self._fail_pending()
            self._executor.shutdown(wait=True)

    async def _tick(self) -> None:
        while True:
            sleep_began_at_s = monotonic_s()
            await asyncio.sleep(self._tick_s)
            now_s = monotonic_s()
            if now_s - sleep_began_at_s > self._tick_s + STALL_THRESHOLD_S:
                log_event(
                    Event.MEMBER_STALLED,
                    seconds=round(now_s - sleep_began_at_s, 2),
                    role=self._role,
                )
            self.node.tick(now_s)
            self._wake.set()

    async def _process(self) -> None:
        while True:
            self._propose_queued()
            ready = self.node.take_ready()
            self._detect_role_change()
            if ready.is_empty:
                return
            await self._execute(ready)

    def _propose_queued(self) -> None:
        if not self._queue:
            return
        batch = self._queue[:MAX_BATCH_COMMANDS]
        del self._queue[:MAX_BATCH_COMMANDS]
        data = encode_batch([pending.command for pending in batch])
        index = self.node.propose(monotonic_s(), data)
        if index is None:
            for pending in batch:
                _resolve_command(pending, NotLeader(self.leader_address()))
            return
        self._proposed[index] = _ProposedBatch(self.node.term, batch)

    async def _execute(self, ready: Ready) -> None:
        self._send(ready.messages)
        if ready.needs_sync:
            await self._save(ready)
        if ready.entries:
            last = ready.entries[-1]
            self.node.mark_synced(last.index, last.term)
        self._send(ready.messages_after_sync)
        if ready.snapshot is not None:
            self._restore(ready.snapshot)
        for entry in ready.committed:
            self._apply(entry)
        if self._must_announce_commit:
            self._must_announce_commit = False
            self.node.announce_commit(monotonic_s())
        await self._compact_if_large()

    async def _save(self, ready: Ready) -> None:
        """Make changes durable; retry failed writes until one succeeds.

        No other messages are sent meanwhile, so a leader whose disk hangs or fails loses its lease
        and the other members elect a new leader.
        """
        loop = asyncio.get_running_loop()
        while True:
            saving = loop.run_in_executor(self._executor, self._journal.save, ready)
            _, unfinished = await asyncio.wait([saving], timeout=SLOW_SAVE_THRESHOLD_S)
            if unfinished:
                log_event(
                    Event.STORAGE_SLOW, seconds=SLOW_SAVE_THRESHOLD_S, applied=self.applied_index
                )
            try:
                await saving
                return
            except OSError as error:
                log_event(Event.STORAGE_FAILED, error=error)
                await asyncio.sleep(SAVE_RETRY_INTERVAL_S)

    def _restore(self, snapshot: Snapshot) -> None:
        require(snapshot.index > self.applied_index, "the applied index never decreases")
        self.machine.restore(snapshot.data)
        self.applied_index = snapshot.index
        self._applied_term = snapshot.term
        self._applied_membership = snapshot.membership
        log_event(Event.SNAPSHOT_INSTALLED, index=snapshot.index, bytes=len(snapshot.data))
        self._on_restored()

    def _apply(self, entry: LogEntry) -> None:
        require(entry.index == self.applied_index + 1, "entries are applied in order")
        self.applied_index = entry.index
        self._applied_term = entry.term
        if entry.kind is EntryKind.MEMBERSHIP:
            self._applied_membership = decode_membership(entry.data)
            names = ",".join(member.name for member in self._applied_membership.members)
            log_event(Event.MEMBERS_CHANGED, index=entry.index, members=names)
        results = self._apply_commands(entry)
        self._resolve_batch(entry, results)

    def _apply_commands(self, entry: LogEntry) -> list[CommandResult]:
        if entry.kind is not EntryKind.COMMAND:
            return []
        results: list[CommandResult] = []
        for command in decode_batch(entry.data):
            result = self._apply_command(command)
            results.append(result)
            # Followers apply this with the leader's next message, and gateways keep sending
            # requests until the followers have applied it.
            self._must_announce_commit = self._must_announce_commit or stops_attempts(command)
        COMMITS.inc(len(results))
        return results

    def _apply_command(self, command: Command) -> CommandResult:
        """Apply a command and publish its effect.

        A command that fails has failed in the same way at all members, which hold the same state,
        and would fail again after each restart.
        """
        try:
            result = self.machine.apply(command)
            self._on_applied(command, result)
        except (InvariantError, MemoryError, RecursionError):
            raise
        except Exception as error:
            where = f"apply {type(command).__name__} at {self.applied_index}"
            log_event(Event.INTERNAL_ERROR, where=where, error=repr(error))
            return Acknowledged(False)
        return result

    def _resolve_batch(self, entry: LogEntry, results: list[CommandResult]) -> None:
        batch = self._proposed.pop(entry.index, None)
        if batch is None:
            return
        if batch.term != entry.term:
            # Another leader's entry has this index, so the batch was never committed.
            for pending in batch.commands:
                _resolve_command(pending, NotLeader(self.leader_address()))
            return
        now_s = monotonic_s()
        for pending, result in zip(batch.commands, results, strict=True):
            COMMIT_S.observe(now_s - pending.submitted_at_s)
            _resolve_command(pending, Submitted(result))

    def _detect_role_change(self) -> None:
        role = self.node.role
        if role is self._role:
            return
        self._role = role
        log_event(Event.ROLE_CHANGED, role=role, term=self.node.term)
        if role is not Role.LEADER:
            self._fail_pending()
        self._on_role(role)

    def _fail_pending(self) -> None:
        for batch in self._proposed.values():
            for pending in batch.commands:
                _resolve_command(pending, OutcomeUnknown())
        self._proposed.clear()
        for pending in self._queue:
            _resolve_command(pending, NotLeader(self.leader_address()))
        self._queue.clear()

    async def _compact_if_large(self) -> None:
        if self._journal.size_bytes < SNAPSHOT_JOURNAL_BYTES:
            return
        snapshot = self.snapshot()
        first = snapshot.index + 1
        log = self.node.log
        # Only entries that are already durable may be written after the snapshot as durable.
        remaining = log.slice(first, min(log.last_index, self.node.synced_index))
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._executor, self._journal.save_snapshot, snapshot, remaining)
        # Keep recent entries in memory for followers that lag slightly.
        self.node.compact(max(snapshot.index - SNAPSHOT_RETAINED_ENTRIES, 0))
        log_event(Event.SNAPSHOT_TAKEN, index=snapshot.index, bytes=len(snapshot.data))

    def snapshot(self) -> Snapshot:
        """Return a snapshot of the applied state."""
        data = self.machine.snapshot()
        return Snapshot(self.applied_index, self._applied_term, self._applied_membership, data)

    def propose_membership(self, membership: Membership) -> bool:
        """Propose a membership; return whether it could be proposed."""
        index = self.node.propose_membership(monotonic_s(), membership)
        self._wake.set()
        return index is not None

    async def hand_over_leadership(self, timeout_s: float) -> None:
        """Transfer leadership to another member before a planned stop."""
        deadline_at_s = monotonic_s() + timeout_s
        self.node.transfer_leadership(monotonic_s())
        self._wake.set()
        while self.node.role is Role.LEADER and monotonic_s() < deadline_at_s:
            await asyncio.sleep(self._tick_s)

    def stop(self) -> None:
        """Make `run` return."""
        self._stopping = True
        self._wake.set()


def _resolve_command(pending: _PendingCommand, result: SubmitResult) -> None:
    if not pending.result_future.done():
        pending.result_future.set_result(result)
