"""What a gateway knows of requests under which replicas ended. Pure.

The group's record, and this gateway's own observations until they are part of it.
"""

from collections import Counter, OrderedDict

from crowsill.model.suspects import CRASH_LIMIT, REPEAT_LIMIT, SuspectChange

# Own observations that the group has not confirmed yet; a bound for a gateway without contact.
MOST_OWN = 1000


class CrashGuard:
    """Decides what may be sent, by fingerprint.

    Attributes:
        version: Version of the group's record that was taken in last.

    >>> guard = CrashGuard()
    >>> guard.note_end(b"f", "a"), guard.note_end(b"f", "b"), guard.may_repeat(b"f")
    (None, None, False)
    >>> guard.is_quarantined(b"f"), guard.note_end(b"f", "c"), guard.is_quarantined(b"f")
    (False, None, True)
    >>> guard.note_success(b"f"), guard.is_quarantined(b"f")
    (False, False)
    """

    def __init__(self) -> None:
        self.version = 0
        self._recorded: dict[bytes, set[str]] = {}
        self._own: OrderedDict[bytes, set[str]] = OrderedDict()
        self._under_way: Counter[bytes] = Counter()

    @property
    def has_suspects(self) -> bool:
        """Whether there is any request to look out for; if not, no fingerprint is needed."""
        return bool(self._recorded or self._own)

    def _ends(self, fingerprint: bytes) -> int:
        recorded = self._recorded.get(fingerprint, set())
        return len(recorded | self._own.get(fingerprint, set()))

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Whether a replica has ended while it ran the request."""
        return self._ends(fingerprint) > 0

    def may_repeat(self, fingerprint: bytes) -> bool:
        """Whether a gateway may send the request again of its own accord."""
        return self._ends(fingerprint) < REPEAT_LIMIT

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Whether the request is to be sent to no replica."""
        return self._ends(fingerprint) >= CRASH_LIMIT

    def adopt(self, change: SuspectChange, whole: bool) -> None:
        """Take in a change of the group's record.

        Args:
            change: The change.
            whole: Whether it holds everything.
        """
        if change.version < self.version or (change.version == self.version and not whole):
            return
        self.version = change.version
        if whole:
            self._recorded.clear()
        for item in change.changed:
            self._take(item.fingerprint, set(item.ends))

    def _take(self, fingerprint: bytes, ends: set[str]) -> None:
        if not ends:
            self._recorded.pop(fingerprint, None)
            self._own.pop(fingerprint, None)
            return
        self._recorded[fingerprint] = ends
        left = self._own.get(fingerprint, set()) - ends
        if left:
            self._own[fingerprint] = left
        else:
            self._own.pop(fingerprint, None)

    def note_end(self, fingerprint: bytes, life: str) -> None:
        """A replica ended while it ran the request, by this gateway's own observation."""
        self._own.setdefault(fingerprint, set()).add(life)
        self._own.move_to_end(fingerprint)
        if len(self._own) > MOST_OWN:
            self._own.popitem(last=False)

    def note_success(self, fingerprint: bytes) -> bool:
        """The request ended whole; return whether the group's record has to be told."""
        self._own.pop(fingerprint, None)
        return self._recorded.pop(fingerprint, None) is not None

    # One suspect runs at one place at a time, as far as one gateway can tell.

    def is_under_way(self, fingerprint: bytes) -> bool:
        """Whether a sending of this suspect is under way here."""
        return self._under_way[fingerprint] > 0

    def begin(self, fingerprint: bytes) -> None:
        """A sending begins."""
        self._under_way[fingerprint] += 1

    def finish(self, fingerprint: bytes) -> None:
        """A sending has ended."""
        self._under_way[fingerprint] -= 1
        if self._under_way[fingerprint] <= 0:
            del self._under_way[fingerprint]
