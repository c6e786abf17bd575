"""The in-memory part of the replicated log: all entries after the last snapshot."""

from crowsill.consensus.invariants import require
from crowsill.consensus.messages import LogEntry


class RaftLog:
    """Entries after `snapshot_index`, without gaps.

    Attributes:
        snapshot_index: Last index that the snapshot covers; 0 without a snapshot.
        snapshot_term: Term of that entry.
    """

    def __init__(self, snapshot_index: int = 0, snapshot_term: int = 0) -> None:
        self.snapshot_index = snapshot_index
        self.snapshot_term = snapshot_term
        self._entries: list[LogEntry] = []

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot."""
        return self.snapshot_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot."""
        return self._entries[-1].term if self._entries else self.snapshot_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is compacted or does not exist yet."""
        if index == self.snapshot_index:
            return self.snapshot_term
        offset = index - self.snapshot_index - 1
        if 0 <= offset < len(self._entries):
            return self._entries[offset].term
        return None

    def append(self, entry: LogEntry) -> None:
        """Add the next entry."""
        require(entry.index == self.last_index + 1, "the log has no gaps")
        require(entry.term >= self.last_term, "terms in the log never decrease")
        self._entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Remove the entry at `index` and all after it."""
        require(index > self.snapshot_index, "a snapshot is never truncated")
        del self._entries[index - self.snapshot_index - 1 :]

    def slice(self, first: int, last: int, max_bytes: int | None = None) -> list[LogEntry]:
        """Return entries from `first` to `last`, both included.

        Args:
            first: First index; must be after the snapshot.
            last: Last index.
            max_bytes: Maximum total size of the data; at least one entry is returned.
        """
        start = first - self.snapshot_index - 1
        require(start >= 0, "compacted entries are not read")
        chosen = self._entries[start : last - self.snapshot_index]
        if max_bytes is None:
            return chosen
        size = 0
        for position, entry in enumerate(chosen):
            size += len(entry.data)
            if size > max_bytes and position > 0:
                return chosen[:position]
        return chosen

    def compact(self, index: int) -> None:
        """Drop entries up to `index`, which a snapshot covers."""
        term = self.term_at(index)
        if term is None or index <= self.snapshot_index:
            return
        del self._entries[: index - self.snapshot_index]
        self.snapshot_index = index
        self.snapshot_term = term

    def restart_at(self, index: int, term: int) -> None:
        """Drop all entries and continue after an installed snapshot."""
        self._entries.clear()
        self.snapshot_index = index
        self.snapshot_term = term

    def matches(self, index: int, term: int) -> bool:
        """Return whether the entry at `index` has `term`."""
        return self.term_at(index) == term

    def is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Return whether a log with this last entry is at least as up to date as this log."""
        return (last_term, last_index) >= (self.last_term, self.last_index)
