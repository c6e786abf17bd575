"""The durable consensus state: term and vote, log entries, and the last snapshot.

The state is stored in two files. `journal` is append-only, with one frame for each sync. `snapshot`
is replaced atomically; then the journal is rewritten without the entries that the snapshot covers.
After a crash between these two steps the journal still contains covered entries, which recovery
skips.
"""

import os
from dataclasses import dataclass
from pathlib import Path

import msgspec

from crowsill.consensus.invariants import require
from crowsill.consensus.log import RaftLog
from crowsill.consensus.membership import Membership
from crowsill.consensus.messages import LogEntry
from crowsill.consensus.types import HardState, Ready, Snapshot
from crowsill.storage.folder import replace_file, sync_folder
from crowsill.storage.frames import encode_frame, scan_frames

_JOURNAL_FILE = "journal"
_SNAPSHOT_FILE = "snapshot"


class JournalRecord(msgspec.Struct, frozen=True, array_like=True):
    """The changes that one sync makes durable.

    Attributes:
        hard_state: New term and vote; None if unchanged.
        truncate_from: Index from which on entries are removed first; None if none are removed.
        entries: Entries that are appended after the removal.
    """

    hard_state: HardState | None
    truncate_from: int | None
    entries: list[LogEntry]


class SnapshotRecord(msgspec.Struct, frozen=True, array_like=True):
    """The content of the snapshot file."""

    index: int
    term: int
    membership: Membership
    data: bytes


@dataclass(slots=True)
class RecoveredState:
    """The state that a member finds on disk when it starts.

    Attributes:
        hard_state: Term and vote.
        log: Entries after the snapshot.
        snapshot: The last snapshot; None if there is none.
        truncated_bytes: Length of the torn tail that was truncated, in bytes.
    """

    hard_state: HardState
    log: RaftLog
    snapshot: Snapshot | None
    truncated_bytes: int

    @property
    def is_empty(self) -> bool:
        """Whether the member has never stored anything."""
        is_initial = self.hard_state == HardState() and self.snapshot is None
        return is_initial and self.log.last_index == 0


class Journal:
    """The open journal of one member.

    Its methods block and must be called outside the event loop.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._path = folder / _JOURNAL_FILE
        self._snapshot_path = folder / _SNAPSHOT_FILE
        self._hard_state = HardState()
        self._descriptor = -1
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """Length of the journal file in bytes."""
        return self._size_bytes

    def recover(self) -> RecoveredState:
        """Read the stored state, truncate a torn tail and open the journal for appending.

        Raises:
            DamagedFileError: The journal or snapshot is damaged in a part that had been synced.
        """
        snapshot = self._read_snapshot()
        log = RaftLog() if snapshot is None else RaftLog(snapshot.index, snapshot.term)
        exists = self._path.exists()
        content = self._path.read_bytes() if exists else b""
        scanned = scan_frames(content)
        hard_state = HardState()
        for payload in scanned.payloads:
            record = msgspec.msgpack.decode(payload, type=JournalRecord)
            hard_state = record.hard_state or hard_state
            _replay(record, log)
        self._hard_state = hard_state
        self._open(scanned.valid_bytes)
        truncated_bytes = len(content) - scanned.valid_bytes
        return RecoveredState(hard_state, log, snapshot, truncated_bytes)

    def _read_snapshot(self) -> Snapshot | None:
        if not self._snapshot_path.exists():
            return None
        payloads = scan_frames(self._snapshot_path.read_bytes()).payloads
        require(len(payloads) == 1, f"{self._snapshot_path} contains one valid snapshot")
        record = msgspec.msgpack.decode(payloads[0], type=SnapshotRecord)
        return Snapshot(record.index, record.term, record.membership, record.data)

    def _open(self, valid_bytes: int) -> None:
        self._descriptor = os.open(self._path, os.O_RDWR | os.O_CREAT, 0o600)
        os.ftruncate(self._descriptor, valid_bytes)
        os.lseek(self._descriptor, valid_bytes, os.SEEK_SET)
        os.fsync(self._descriptor)
        sync_folder(self._folder)
        self._size_bytes = valid_bytes

    def save(self, ready: Ready) -> None:
        """Store the state changes of one `Ready` durably, with one sync of the journal."""
        if ready.snapshot is not None:
            if ready.hard_state is not None:
                self._hard_state = ready.hard_state
            self.save_snapshot(ready.snapshot, ready.entries)
            return
        if ready.hard_state is not None:
            self._hard_state = ready.hard_state
        record = JournalRecord(ready.hard_state, ready.truncate_from, ready.entries)
        self._append(encode_frame(msgspec.msgpack.encode(record)))

    def _append(self, frame: bytes) -> None:
        # Writes at a fixed offset, so that a repetition after a partial write overwrites it.
        written = 0
        while written < len(frame):
            written += os.pwrite(self._descriptor, frame[written:], self._size_bytes + written)
        os.fdatasync(self._descriptor)
        self._size_bytes += len(frame)

    def save_snapshot(self, snapshot: Snapshot, remaining: list[LogEntry]) -> None:
        """Replace the snapshot and rewrite the journal.

        Args:
            snapshot: The new snapshot.
            remaining: Durable entries after the snapshot.
        """
        record = SnapshotRecord(snapshot.index, snapshot.term, snapshot.membership, snapshot.data)
        replace_file(self._snapshot_path, encode_frame(msgspec.msgpack.encode(record)))
        journal_record = JournalRecord(self._hard_state, None, remaining)
        content = encode_frame(msgspec.msgpack.encode(journal_record))
        replace_file(self._path, content)
        os.close(self._descriptor)
        self._descriptor = os.open(self._path, os.O_RDWR)
        os.lseek(self._descriptor, 0, os.SEEK_END)
        self._size_bytes = len(content)

    def close(self) -> None:
        """Close the journal file."""
        os.close(self._descriptor)


def _replay(record: JournalRecord, log: RaftLog) -> None:
    if record.truncate_from is not None:
        first = max(record.truncate_from, log.snapshot_index + 1)
        if first <= log.last_index:
            log.truncate_from(first)
    for entry in record.entries:
        if entry.index > log.snapshot_index:
            log.append(entry)
