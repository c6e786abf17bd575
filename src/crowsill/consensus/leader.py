"""The leader role: replication, commit, lease, membership changes and leadership transfer."""

from collections.abc import Callable

from crowsill.consensus.core import RaftCore, encode_membership
from crowsill.consensus.invariants import require
from crowsill.consensus.membership import Membership
from crowsill.consensus.messages import (
    AppendRequest,
    AppendResponse,
    EntryKind,
    LogEntry,
    SnapshotChunk,
    SnapshotChunkResponse,
    TimeoutNow,
)
from crowsill.consensus.progress import Progress, ReplicationMode
from crowsill.consensus.types import Snapshot

SnapshotProvider = Callable[[], Snapshot]


class Leader:
    """The state of a leader in one term; each term has a new object.

    Attributes:
        started_at_s: Time when the leadership began.
        first_index: First entry of this term. All entries that earlier leaders acknowledged are
            before it.
        transfer_target: Member that leadership is being transferred to, or None.
    """

    def __init__(self, core: RaftCore, now_s: float, snapshot_provider: SnapshotProvider) -> None:
        self._core = core
        self.started_at_s = now_s
        self._snapshot_provider = snapshot_provider
        self._progress: dict[str, Progress] = {}
        self.first_index = core.log.last_index + 1
        self.transfer_target: str | None = None
        self._transfer_deadline_at_s = 0.0
        self._update_followers()
        self.propose(now_s, EntryKind.NO_OP, b"")

    @property
    def progress(self) -> dict[str, Progress]:
        """Replication state by follower id."""
        return self._progress

    @property
    def is_established(self) -> bool:
        """Whether an entry of this term is committed, so that all older commits are known."""
        return self._core.commit_index >= self.first_index

    def propose(self, now_s: float, kind: EntryKind, data: bytes) -> int:
        """Append an entry of this term and start its replication; return its index."""
        core = self._core
        entry = LogEntry(core.log.last_index + 1, core.term, kind, data)
        core.append_entry(entry)
        if kind is EntryKind.MEMBERSHIP:
            self._update_followers()
        for target in self._progress:
            self._send_entries(now_s, target)
        return entry.index

    def propose_membership(self, now_s: float, membership: Membership) -> int | None:
        """Propose a membership; None while another is uncommitted or no entry of the term is."""
        core = self._core
        pending = core.membership_index > core.commit_index
        if pending or not self.is_established:
            return None
        require(
            core.membership.differs_by_one_voter(membership), "membership changes one at a time"
        )
        return self.propose(now_s, EntryKind.MEMBERSHIP, encode_membership(membership))

    def _update_followers(self) -> None:
        ids = self._core.membership.ids
        for member_id in ids:
            if member_id != self._core.member_id and member_id not in self._progress:
                self._progress[member_id] = Progress(self._core.log.last_index + 1)
        for member_id in list(self._progress):
            if member_id not in ids:
                del self._progress[member_id]

    def tick(self, now_s: float) -> None:
        """Send heartbeats and resend lost requests."""
        config = self._core.config
        for target, progress in self._progress.items():
            since_response_s = now_s - max(progress.last_response_at_s, self.started_at_s)
            if since_response_s > config.election_timeout_s and progress.in_flight:
                progress.return_to_probing()
            last_sent_at_s = progress.last_sent_at_s
            if last_sent_at_s is None or now_s - last_sent_at_s >= config.heartbeat_s:
                self._send(now_s, target, heartbeat=True)

    def announce_commit(self, now_s: float) -> None:
        """Send the commit index to all members at once instead of with the next heartbeat."""
        for target in self._progress:
            self._send(now_s, target, heartbeat=True)

    def transfer_failed(self, now_s: float) -> bool:
        """Return whether a transfer passed its deadline, so that this member must step down.

        A late `TimeoutNow` may still override this leader's lease. So a leader that has sent one
        does not rely on its lease again in this term.
        """
        return self.transfer_target is not None and now_s > self._transfer_deadline_at_s

    def lease_expires_at_s(self) -> float:
        """Return the time until which no other member can be elected."""
        core = self._core
        acknowledged_sent_at_s: list[float] = []
        for voter in core.membership.voters:
            if voter == core.member_id:
                acknowledged_sent_at_s.append(float("inf"))
            else:
                acknowledged_sent_at_s.append(self._progress[voter].acknowledged_sent_at_s)
        acknowledged_sent_at_s.sort(reverse=True)
        confirmed_at_s = acknowledged_sent_at_s[core.membership.quorum - 1]
        return confirmed_at_s + core.config.lease_s

    def has_lease(self, now_s: float) -> bool:
        """Return whether this member is provably the only leader."""
        return self.transfer_target is None and now_s < self.lease_expires_at_s()

    def has_quorum_contact(self, now_s: float) -> bool:
        """Return whether a majority responded within an election timeout (check-quorum)."""
        core = self._core
        window_start_at_s = now_s - core.config.election_timeout_s
        if self.started_at_s > window_start_at_s:
            return True
        responsive = 0
        for voter in core.membership.voters:
            if (
                voter == core.member_id
                or self._progress[voter].last_response_at_s > window_start_at_s
            ):
                responsive += 1
        return responsive >= core.membership.quorum

    def _send_entries(self, now_s: float, target: str) -> None:
        """Send entries while the window of unacknowledged requests allows it."""
        progress = self._progress[target]
        log = self._core.log
        limit = self._core.config.max_in_flight
        if progress.mode is ReplicationMode.PROBE:
            limit = 1
        while progress.next_index <= log.last_index and progress.in_flight < limit:
            if progress.mode is ReplicationMode.SNAPSHOT:
                return
            self._send(now_s, target, heartbeat=False)

    def _send(self, now_s: float, target: str, heartbeat: bool) -> None:
        core, log, progress = self._core, self._core.log, self._progress[target]
        if progress.mode is ReplicationMode.SNAPSHOT:
            self._send_snapshot_chunk(now_s, target, progress)
            return
        previous = progress.next_index - 1
        previous_term = log.term_at(previous)
        if previous_term is None:
            self._start_snapshot(now_s, target, progress)
            return
        entries: list[LogEntry] = []
        window_open = progress.in_flight < core.config.max_in_flight
        probing = progress.mode is ReplicationMode.PROBE
        if progress.next_index <= log.last_index and window_open:
            limit = core.config.max_append_bytes
            entries = log.slice(progress.next_index, log.last_index, limit)
        request = AppendRequest(
            core.term, previous, previous_term, entries, core.commit_index, now_s
        )
        core.send(target, request)
        progress.last_sent_at_s = now_s
        if entries or not heartbeat:
            progress.in_flight += 1
        if entries and not probing:
            progress.next_index += len(entries)

    def _start_snapshot(self, now_s: float, target: str, progress: Progress) -> None:
        progress.snapshot = self._snapshot_provider()
        progress.snapshot_offset = 0
        progress.mode = ReplicationMode.SNAPSHOT
        progress.in_flight = 0
        self._send_snapshot_chunk(now_s, target, progress)

    def _send_snapshot_chunk(self, now_s: float, target: str, progress: Progress) -> None:
        snapshot = progress.snapshot
        if snapshot is None:
            raise AssertionError("snapshot mode without a snapshot")
        offset = progress.snapshot_offset
        end = offset + self._core.config.snapshot_chunk_bytes
        data = snapshot.data[offset:end]
        chunk = SnapshotChunk(
            term=self._core.term,
            index=snapshot.index,
            snapshot_term=snapshot.term,
            membership=encode_membership(snapshot.membership),
            offset=offset,
            data=data,
            last=end >= len(snapshot.data),
            sent_at_s=now_s,
        )
        self._core.send(target, chunk)
        progress.last_sent_at_s = now_s

    def _note_response(self, now_s: float, source: str, sent_at_s: float) -> Progress | None:
        progress = self._progress.get(source)
        if progress is None:
            return None
        progress.last_response_at_s = now_s
        progress.acknowledged_sent_at_s = max(progress.acknowledged_sent_at_s, sent_at_s)
        return progress

    def on_append_response(self, now_s: float, source: str, response: AppendResponse) -> None:
        """Advance or correct a follower's progress."""
        progress = self._note_response(now_s, source, response.sent_at_s)
        if progress is None:
            return
        if not response.accepted:
            if response.match_index < progress.match_index:
                return  # An older rejection that arrives out of order.
            progress.reject(response.match_index)
            self._send_entries(now_s, source)
            return
        if progress.mode is ReplicationMode.SNAPSHOT:
            self._finish_snapshot(progress, response.match_index)
        advanced = progress.accept(response.match_index)
        if advanced:
            self.advance_commit()
            self._continue_transfer(source)
        self._send_entries(now_s, source)

    def _finish_snapshot(self, progress: Progress, match_index: int) -> None:
        snapshot = progress.snapshot
        if snapshot is not None and match_index < snapshot.index:
            return
        progress.snapshot = None
        progress.mode = ReplicationMode.PROBE
        progress.next_index = match_index + 1

    def on_snapshot_response(
        self, now_s: float, source: str, response: SnapshotChunkResponse
    ) -> None:
        """Send the next chunk of a snapshot."""
        progress = self._note_response(now_s, source, response.sent_at_s)
        if progress is None or progress.snapshot is None:
            return
        if response.index != progress.snapshot.index:
            return
        if response.next_offset != progress.snapshot_offset:
            progress.snapshot_offset = response.next_offset
            self._send_snapshot_chunk(now_s, source, progress)

    def advance_commit(self) -> None:
        """Commit entries that are durable on a majority, if they are of this term (Raft 5.4.2)."""
        core = self._core
        matches: list[int] = []
        for voter in core.membership.voters:
            if voter == core.member_id:
                matches.append(core.synced_index)
            else:
                matches.append(self._progress[voter].match_index)
        matches.sort(reverse=True)
        index = matches[core.membership.quorum - 1]
        if index > core.commit_index and core.log.term_at(index) == core.term:
            core.commit_to(index)

    def transfer(self, now_s: float, target: str) -> bool:
        """Start a leadership transfer to a voter; return whether it started."""
        core = self._core
        if target == core.member_id or target not in core.membership.voters:
            return False
        self.transfer_target = target
        self._transfer_deadline_at_s = now_s + core.config.election_timeout_s
        self._continue_transfer(target)
        return True

    def _continue_transfer(self, source: str) -> None:
        core = self._core
        if source != self.transfer_target:
            return
        if self._progress[source].match_index == core.log.last_index:
            core.send(source, TimeoutNow(core.term))

    def best_successor(self) -> str | None:
        """Return the other voter with the highest `match_index`, for a planned stop."""
        voters = self._core.membership.voters
        others = [voter for voter in voters if voter != self._core.member_id]
        if not others:
            return None
        return max(others, key=lambda voter: self._progress[voter].match_index)
