"""What a gateway knows of requests under which replicas ended. Pure.

The group's record, and this gateway's own observations until they are part of it.
"""

from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from crowsill.model.suspects import (
    COMPLETION_VALIDITY_S,
    CRASH_LIMIT,
    RETRY_CRASH_LIMIT,
    SuspectChange,
    is_independent_crash,
)

# Own observations that the group has not confirmed yet; a bound for a gateway without contact.
MOST_OWN = 1000
MOST_GOOD = 2000


@dataclass(slots=True)
class _OwnEnds:
    """Ends that this gateway saw under one request, until the group has counted them."""

    lives: set[str] = field(default_factory=set)
    last_s: float = float("-inf")


class CrashGuard:
    """Decides what may be sent, by fingerprint.

    Attributes:
        version: Version of the group's record that was taken in last.

    >>> guard = CrashGuard()
    >>> for life, sent_s in (("a", 1), ("b", 2), ("c", 3)):
    ...     guard.note_end(b"f", life, sent_s, sent_s + 0.1)
    ...     print(guard.may_repeat(b"f"), guard.is_quarantined(b"f"))
    True False
    False False
    False True
    >>> guard.note_success(b"f", now_s=4.0), guard.is_quarantined(b"f")
    (False, False)
    >>> guard.is_known_good(b"f", now_s=5.0), guard.is_known_good(b"f", now_s=99.0)
    (True, False)
    """

    def __init__(self) -> None:
        self.version = 0
        self._recorded: dict[bytes, set[str]] = {}
        self._own: OrderedDict[bytes, _OwnEnds] = OrderedDict()
        self._good_s: OrderedDict[bytes, float] = OrderedDict()
        self._under_way: Counter[bytes] = Counter()

    @property
    def has_suspects(self) -> bool:
        """Whether there is any request to look out for; if not, no fingerprint is needed."""
        return bool(self._recorded or self._own)

    def ends(self, fingerprint: bytes) -> int:
        """Return how many replicas have ended under a request, as far as is known here."""
        recorded = self._recorded.get(fingerprint, set())
        own = self._own.get(fingerprint)
        return len(recorded if own is None else recorded | own.lives)

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Whether a replica has ended while it ran the request."""
        return self.ends(fingerprint) > 0

    def may_repeat(self, fingerprint: bytes) -> bool:
        """Whether a gateway may send the request again of its own accord."""
        return self.ends(fingerprint) < RETRY_CRASH_LIMIT

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Whether the request is to be sent to no replica.

        By the group's count, or by what this gateway saw alone while it is out of touch: the sum of
        both may hold two ends of one moment, which are not to be counted twice.
        """
        own = self._own.get(fingerprint)
        most = max(len(self._recorded.get(fingerprint, ())), 0 if own is None else len(own.lives))
        return most >= CRASH_LIMIT

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
            self._take(item.fingerprint, set(item.crashed_instances))

    def _take(self, fingerprint: bytes, ends: set[str]) -> None:
        if not ends:
            self._recorded.pop(fingerprint, None)
            self._own.pop(fingerprint, None)
            return
        self._recorded[fingerprint] = ends

    def note_end(self, fingerprint: bytes, life: str, sent_s: float, ended_s: float) -> None:
        """A replica ended while it ran the request, by this gateway's own observation.

        Args:
            fingerprint: The request.
            life: The replica's life that ended.
            sent_s: Clock when the request was sent there.
            ended_s: Clock when the replica ended.
        """
        own = self._own.setdefault(fingerprint, _OwnEnds())
        self._own.move_to_end(fingerprint)
        if is_independent_crash(own.last_s, sent_s, ended_s):
            own.lives.add(life)
            own.last_s = ended_s
        if len(self._own) > MOST_OWN:
            self._own.popitem(last=False)

    def forget_own(self, fingerprint: bytes, life: str) -> None:
        """The group has decided whether it counts an end that this gateway saw."""
        own = self._own.get(fingerprint)
        if own is None:
            return
        own.lives.discard(life)
        if not own.lives:
            del self._own[fingerprint]

    def is_known_good(self, fingerprint: bytes, now_s: float) -> bool:
        """Whether the request ended whole lately, at this gateway."""
        return self.good_ago_s(fingerprint, now_s) < COMPLETION_VALIDITY_S

    def good_ago_s(self, fingerprint: bytes, now_s: float) -> float:
        """Return how long ago the request ended whole at this gateway; infinite if not known."""
        return now_s - self._good_s.get(fingerprint, float("-inf"))

    def note_success(self, fingerprint: bytes, now_s: float) -> bool:
        """The request ended whole; return whether the group's record has to be told."""
        self._good_s[fingerprint] = now_s
        self._good_s.move_to_end(fingerprint)
        if len(self._good_s) > MOST_GOOD:
            self._good_s.popitem(last=False)
        self._own.pop(fingerprint, None)
        return self._recorded.pop(fingerprint, None) is not None

    def forget(self, fingerprint: bytes) -> None:
        """The request is no suspect here, whatever the group has recorded."""
        self._own.pop(fingerprint, None)
        self._recorded.pop(fingerprint, None)

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
