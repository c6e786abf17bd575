"""Requests under which replicas ended, replicated so that every gateway counts alike.

A replica that ends makes suspects of all that ran there. What tells the culprit is that it was
there again at the end of another life, and that it never ends whole: a whole answer clears a
request.
"""

from collections import OrderedDict

import msgspec

from crowsill.model.suspects import Suspect, SuspectChange, SuspectEnds, SuspectRequest

# About 200 bytes each in a snapshot. An end makes up to 100 suspects, and nearly all of them are
# cleared within seconds.
MOST_SUSPECTS = 4096
# Lives kept for each request; more say nothing new.
MOST_ENDS = 8


class CrashRecordSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The whole record."""

    version: int = 0
    suspects: list[Suspect] = []


class CrashRecord:
    """Suspects by fingerprint, the one that changed last at the end.

    Attributes:
        version: Rises with every change.
        last_change: What the newest version changed, or None.

    >>> record, seen = CrashRecord(), SuspectRequest(b"f", "r1", "h/a", "s")
    >>> [record.record(life, [seen], 1.0) is not None for life in ("a", "b", "b")]
    [True, True, False]
    >>> record.clear([b"f"]).changed[0].ends, record.suspects
    ([], [])
    """

    def __init__(self) -> None:
        self.version = 0
        self.last_change: SuspectChange | None = None
        self._suspects: OrderedDict[bytes, Suspect] = OrderedDict()

    @property
    def suspects(self) -> list[Suspect]:
        """All suspects."""
        return list(self._suspects.values())

    def find(self, fingerprint: bytes) -> Suspect | None:
        """Return what is known of a request, or None."""
        return self._suspects.get(fingerprint)

    def record(
        self, life: str, requests: list[SuspectRequest], at_s: float
    ) -> SuspectChange | None:
        """Take in that a replica ended while it ran requests; return what changed, or None.

        Args:
            life: The replica's life that ended.
            requests: What was running there.
            at_s: Wall clock.
        """
        changed: dict[bytes, list[str]] = {}
        for request in requests:
            known = self._suspects.pop(request.fingerprint, None)
            ends = [] if known is None else known.ends
            first_s = at_s if known is None else known.first_s
            if life not in ends and len(ends) < MOST_ENDS:
                ends = [*ends, life]
                changed[request.fingerprint] = ends
            self._suspects[request.fingerprint] = Suspect(request, ends, first_s, at_s)
        while len(self._suspects) > MOST_SUSPECTS:
            changed[self._forget_one()] = []
        return self._changed(changed)

    def _forget_one(self) -> bytes:
        """Forget the oldest one of those under which the fewest replicas ended."""
        fingerprint = min(self._suspects, key=lambda item: len(self._suspects[item].ends))
        del self._suspects[fingerprint]
        return fingerprint

    def clear(self, fingerprints: list[bytes]) -> SuspectChange | None:
        """Forget requests; return what changed, or None."""
        known = [item for item in fingerprints if self._suspects.pop(item, None) is not None]
        return self._changed({item: [] for item in known})

    def older_than(self, horizon_s: float) -> list[bytes]:
        """Return those under which no replica has ended since a wall clock."""
        return [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if suspect.last_s < horizon_s
        ]

    def _changed(self, changed: dict[bytes, list[str]]) -> SuspectChange | None:
        if not changed:
            return None
        self.version += 1
        ends = [SuspectEnds(fingerprint, lives) for fingerprint, lives in changed.items()]
        self.last_change = SuspectChange(self.version, ends)
        return self.last_change

    def whole(self) -> SuspectChange:
        """Return everything as one change."""
        ends = [SuspectEnds(key, suspect.ends) for key, suspect in self._suspects.items()]
        return SuspectChange(self.version, ends)

    def dump(self) -> CrashRecordSnapshot:
        """Return the state for a snapshot."""
        return CrashRecordSnapshot(self.version, self.suspects)

    def load(self, snapshot: CrashRecordSnapshot) -> None:
        """Replace the state by that of a snapshot."""
        self.version = snapshot.version
        self._suspects = OrderedDict((item.request.fingerprint, item) for item in snapshot.suspects)
