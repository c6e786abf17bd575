"""The follower role: append requests and snapshots from the leader."""

from crowsill.consensus.core import RaftCore, decode_membership
from crowsill.consensus.invariants import require
from crowsill.consensus.messages import (
    AppendRequest,
    AppendResponse,
    SnapshotChunk,
    SnapshotChunkResponse,
)
from crowsill.consensus.types import Role, Snapshot


class Follower:
    """Handles messages from the leader."""

    def __init__(self, core: RaftCore) -> None:
        self._core = core
        self._snapshot_data = bytearray()
        self._snapshot_index = 0
        self._snapshot_source = ""

    def on_append(self, now_s: float, source: str, request: AppendRequest) -> None:
        """Append the leader's entries and respond."""
        core = self._core
        if request.term < core.term:
            core.send(source, AppendResponse(core.term, False, 0, request.sent_at_s))
            return
        self._accept_leader(now_s, source, request.term)
        previous = request.previous_index
        if previous < core.log.snapshot_index:
            # Entries up to the commit index are known to match the leader's log.
            self._respond(source, True, core.commit_index, request.sent_at_s)
            return
        if not core.log.matches(previous, request.previous_term):
            self._respond(source, False, self._hint(previous), request.sent_at_s)
            return
        for entry in request.entries:
            if core.log.matches(entry.index, entry.term):
                continue
            if entry.index <= core.log.last_index:
                core.truncate_from(entry.index)
            core.append_entry(entry)
        last_new = previous + len(request.entries)
        core.commit_to(min(request.commit_index, last_new))
        self._respond(source, True, last_new, request.sent_at_s)

    def _accept_leader(self, now_s: float, source: str, term: int) -> None:
        core = self._core
        require(core.role is not Role.LEADER or term > core.term, "one leader a term")
        core.become_follower(term, source, now_s)
        core.last_leader_contact_at_s = now_s
        core.no_leader_since_start = False

    def _hint(self, previous: int) -> int:
        """Return the last index before `previous` that may match, skipping the conflicting term."""
        log = self._core.log
        index = min(previous - 1, log.last_index)
        term = log.term_at(previous)
        while index > self._core.commit_index and log.term_at(index) == term:
            index -= 1
        return index

    def _respond(self, source: str, accepted: bool, index: int, sent_at_s: float) -> None:
        response = AppendResponse(self._core.term, accepted, index, sent_at_s)
        self._core.send(source, response, after_sync=True)

    def on_snapshot_chunk(self, now_s: float, source: str, chunk: SnapshotChunk) -> None:
        """Collect the chunks of a snapshot and install it when it is complete."""
        core = self._core
        if chunk.term < core.term:
            core.send(source, AppendResponse(core.term, False, 0, chunk.sent_at_s))
            return
        self._accept_leader(now_s, source, chunk.term)
        if chunk.index <= core.commit_index:
            self._respond(source, True, core.commit_index, chunk.sent_at_s)
            return
        if (source, chunk.index) != (self._snapshot_source, self._snapshot_index):
            self._snapshot_source = source
            self._snapshot_index = chunk.index
            self._snapshot_data = bytearray()
        if chunk.offset == len(self._snapshot_data):
            self._snapshot_data += chunk.data
            if chunk.last:
                self._install(chunk)
                self._respond(source, True, chunk.index, chunk.sent_at_s)
                return
        received = len(self._snapshot_data)
        response = SnapshotChunkResponse(core.term, chunk.index, received, chunk.sent_at_s)
        core.send(source, response)

    def _install(self, chunk: SnapshotChunk) -> None:
        membership = decode_membership(chunk.membership)
        data = bytes(self._snapshot_data)
        self._core.install_snapshot(Snapshot(chunk.index, chunk.snapshot_term, membership, data))
        self._snapshot_data = bytearray()
        self._snapshot_index = 0
