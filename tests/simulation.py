"""A simulated group of consensus members: network, disks and clocks share one random source.

The simulation drives crowsill's own consensus core and state machine. It checks the invariants
across members (one leader per term, equal logs, at most one lease, one grant per key, increasing
revisions) after each step; crowsill itself checks the invariants within a member.
"""

from dataclasses import dataclass, field
from random import Random

from crowsill.consensus.core import decode_membership, encode_membership
from crowsill.consensus.invariants import require
from crowsill.consensus.log import RaftLog
from crowsill.consensus.membership import Member, Membership
from crowsill.consensus.messages import EntryKind, Envelope, LogEntry
from crowsill.consensus.node import RaftNode
from crowsill.consensus.types import HardState, MemberSetup, RaftConfig, Ready, Role, Snapshot
from crowsill.state.commands import (
    ClaimDecision,
    ClaimResult,
    ConfigurationDecision,
    ConfigurationResult,
    decode_batch,
)
from crowsill.state.machine import StateMachine

CONFIG = RaftConfig(
    election_timeout_s=1.0, heartbeat_s=0.2, max_append_bytes=400, snapshot_chunk_bytes=300
)


@dataclass
class Disk:
    """Durable state of one member."""

    hard_state: HardState = field(default_factory=HardState)
    entries: list[LogEntry] = field(default_factory=list)
    snapshot: Snapshot | None = None

    def save(self, ready: Ready) -> None:
        if ready.hard_state is not None:
            self.hard_state = ready.hard_state
        if ready.snapshot is not None:
            self.snapshot = ready.snapshot
            self.entries = []
        if ready.truncate_from is not None:
            self.entries = [item for item in self.entries if item.index < ready.truncate_from]
        self.entries.extend(ready.entries)

    def log(self) -> RaftLog:
        snapshot = self.snapshot
        log = RaftLog() if snapshot is None else RaftLog(snapshot.index, snapshot.term)
        for entry in self.entries:
            if entry.index > log.snapshot_index:
                log.append(entry)
        return log


class SimulatedMember:
    """One member with core, state machine and disk; it may crash before a sync completes."""

    def __init__(self, group: "SimulatedGroup", member_id: str, disk: Disk) -> None:
        self.group = group
        self.member_id = member_id
        self.disk = disk
        self.clock_rate = group.random.uniform(0.98, 1.02)
        self.clock_offset_s = group.random.uniform(0.0, 100.0)
        self.up = False
        self.start()

    def now_s(self) -> float:
        return self.clock_offset_s + self.group.now_s * self.clock_rate

    def start(self) -> None:
        snapshot = self.disk.snapshot
        self.machine = StateMachine()
        membership = Membership()
        self.applied = 0
        if snapshot is not None:
            self.machine.restore(snapshot.data)
            membership = snapshot.membership
            self.applied = snapshot.index
        self.applied_membership = membership
        setup = MemberSetup(
            member_id=self.member_id,
            group="g",
            hard_state=self.disk.hard_state,
            log=self.disk.log(),
            membership=membership,
            config=CONFIG,
            random=self.group.random,
            now_s=self.now_s(),
        )
        self.node = RaftNode(setup, self.take_snapshot)
        self.syncing: Ready | None = None
        self.synced_at_s = 0.0
        self.up = True

    def take_snapshot(self) -> Snapshot:
        term = self.node.log.term_at(self.applied) or 0
        return Snapshot(self.applied, term, self.applied_membership, self.machine.snapshot())

    def compact(self) -> None:
        if self.applied <= self.node.log.snapshot_index or self.syncing is not None:
            return
        snapshot = self.take_snapshot()
        self.disk.snapshot = snapshot
        self.disk.entries = [item for item in self.disk.entries if item.index > snapshot.index]
        self.node.compact(snapshot.index)

    def process(self) -> None:
        """Execute effects; a sync takes time, during which the member still receives messages."""
        while self.up:
            if self.syncing is not None:
                if self.group.now_s < self.synced_at_s:
                    return
                ready, self.syncing = self.syncing, None
                self.finish(ready)
            ready = self.node.take_ready()
            if ready.is_empty:
                return
            self.group.send(ready.messages)
            if ready.needs_sync:
                self.syncing = ready
                self.synced_at_s = self.group.now_s + self.group.sync_delay_s()
                if self.group.random.random() < self.group.crash_at_sync:
                    self.up = False
            else:
                self.finish(ready)

    def finish(self, ready: Ready) -> None:
        self.disk.save(ready)
        if ready.entries:
            self.node.mark_synced(ready.entries[-1].index, ready.entries[-1].term)
        self.group.send(ready.messages_after_sync)
        if ready.snapshot is not None:
            self.machine.restore(ready.snapshot.data)
            self.applied = ready.snapshot.index
            self.applied_membership = ready.snapshot.membership
        for entry in ready.committed:
            self.apply(entry)

    def apply(self, entry: LogEntry) -> None:
        require(entry.index == self.applied + 1, "entries are applied in order")
        self.applied = entry.index
        self.group.check_applied(entry)
        if entry.kind is EntryKind.MEMBERSHIP:
            self.applied_membership = decode_membership(entry.data)
        if entry.kind is EntryKind.COMMAND:
            for command in decode_batch(entry.data):
                self.group.check_result(self, entry, command, self.machine.apply(command))


class SimulatedGroup:
    """Members with a network that loses, delays, duplicates and blocks messages."""

    def __init__(self, size: int, random: Random, loss: float = 0.05) -> None:
        self.random = random
        self.loss = loss
        self.crash_at_sync = 0.0
        self.now_s = 0.0
        self.in_flight: list[tuple[float, Envelope]] = []
        self.isolated: set[str] = set()
        self.cut_links: set[frozenset[str]] = set()
        self.leaders: dict[int, str] = {}
        self.applied: dict[int, LogEntry] = {}
        self.grants: dict[str, tuple[int, str]] = {}
        self.revisions: dict[str, int] = {}
        self.steps = 0
        ids = [f"m{index}" for index in range(size)]
        first = Membership([Member(name, name, "127.0.0.1", 1) for name in ids])
        entry = LogEntry(1, 1, EntryKind.MEMBERSHIP, encode_membership(first))
        self.members = {
            name: SimulatedMember(self, name, Disk(HardState(1, None), [entry])) for name in ids
        }

    def send(self, envelopes: list[Envelope]) -> None:
        for envelope in envelopes:
            duplicates = 2 if self.random.random() < 0.02 else 1
            for _ in range(duplicates):
                if self.random.random() >= self.loss:
                    # Most messages are fast; a few are delayed for longer than an election.
                    mean_s = 1.0 if self.random.random() < 0.03 else 0.03
                    delay_s = self.random.expovariate(1 / mean_s)
                    self.in_flight.append((self.now_s + delay_s, envelope))

    def sync_delay_s(self) -> float:
        return self.random.choice([0.0, 0.0, 0.01, 0.05, 0.4])

    def live(self) -> list[SimulatedMember]:
        return [member for member in self.members.values() if member.up]

    def leader(self) -> SimulatedMember | None:
        leaders = [member for member in self.live() if member.node.is_established_leader]
        return max(leaders, key=lambda member: member.node.term, default=None)

    def advance(self, duration_s: float) -> None:
        """Advance the time in small steps and deliver the messages that are due."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += 0.02
            self.steps += 1
            due = [item for item in self.in_flight if item[0] <= self.now_s]
            self.in_flight = [item for item in self.in_flight if item[0] > self.now_s]
            for _, envelope in sorted(due, key=lambda item: item[0]):
                self.deliver(envelope)
            for member in self.live():
                member.node.tick(member.now_s())
                member.process()
            self.check_leaders()

    def deliver(self, envelope: Envelope) -> None:
        target = self.members.get(envelope.target)
        link = frozenset((envelope.source, envelope.target))
        blocked = bool(self.isolated & link) or link in self.cut_links
        if target is not None and target.up and not blocked:
            target.node.step(target.now_s(), envelope)
            target.process()

    def check_leaders(self) -> None:
        leases = 0
        for member in self.live():
            if member.node.role is Role.LEADER:
                known = self.leaders.setdefault(member.node.term, member.member_id)
                require(known == member.member_id, "one leader a term")
                leases += member.node.has_lease(member.now_s())
        require(leases <= 1, "at most one member holds a lease at any time")

    def check_applied(self, entry: LogEntry) -> None:
        known = self.applied.setdefault(entry.index, entry)
        require(known == entry, "all members apply the same entries")

    def check_result(self, member, entry, command, result) -> None:
        if isinstance(result, ClaimResult) and result.decision is ClaimDecision.GRANTED:
            key = f"{command.key.key}"
            grant = self.grants.setdefault(key, (entry.index, command.attempt))
            require(grant[1] == command.attempt, "a key is granted to one attempt")
        accepted = ConfigurationDecision.ACCEPTED
        if isinstance(result, ConfigurationResult) and result.decision is accepted:
            last = self.revisions.get(member.member_id, 0)
            require(result.revision > last, "revisions rise")
            self.revisions[member.member_id] = result.revision

    def crash(self, name: str) -> None:
        self.members[name].up = False

    def restart(self, name: str) -> None:
        member = self.members[name]
        if not member.up:
            self.revisions[name] = 0
            member.start()

    def heal(self) -> None:
        self.isolated.clear()
        self.cut_links.clear()
        self.loss = 0.0
        self.crash_at_sync = 0.0
        for name in self.members:
            self.restart(name)

    def wait_for_leader(self, limit_s: float = 30.0) -> SimulatedMember:
        end_s = self.now_s + limit_s
        while self.now_s < end_s:
            leader = self.leader()
            if leader is not None:
                return leader
            self.advance(0.1)
        raise AssertionError("no leader although a majority is connected")

    def present(self, leader: SimulatedMember) -> list[SimulatedMember]:
        """Return the members of the newest membership that still exist."""
        ids = leader.node.membership.ids
        return [self.members[name] for name in ids if name in self.members]

    def settle(self) -> None:
        """Heal, and wait until all members have applied the same entries."""
        self.heal()
        leader = self.wait_for_leader()
        for _ in range(400):
            applied = {member.applied for member in self.present(leader)}
            if len(applied) == 1 and leader.applied == leader.node.log.last_index:
                break
            self.advance(0.1)
            leader = self.wait_for_leader()
        digests = {member.machine.digest() for member in self.present(leader)}
        require(len(digests) == 1, "all members end in the same state")
