"""Requests under which replicas ended, replicated so that every gateway counts alike.

A replica that ends makes suspects of all that ran there. What tells the culprit is that it was
there again at the end of another life, and that it never ends whole: a whole answer clears a
request.
"""

import math
from collections import OrderedDict

import msgspec

from crowsill.model.suspects import (
    COMPLETION_VALIDITY_S,
    CRASH_LIMIT,
    Suspect,
    SuspectChange,
    SuspectCrashes,
    SuspectRequest,
    is_independent_crash,
)

# About 200 bytes each in a snapshot. An end makes up to 100 suspects, and nearly all of them are
# cleared within seconds.
MAX_SUSPECTS = 4096
# Requests that ended whole before they ran where a replica ended, which counts for
# `COMPLETION_VALIDITY_S`; about 200 bytes each. An end tells of up to 100.
MAX_COMPLETIONS = 4096
# Of two requests at one end, the one that had run so many times as long did not bring it about: a
# request that ends replicas takes the same time for it at each, and those beside it any time.
UNRELATED_RUN_TIME_RATIO = 4.0
# Lives kept for each request; more say nothing new.
MAX_RECORDED_CRASHES = 8


class CrashRecordSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The whole record."""

    version: int = 0
    suspects: list[Suspect] = []
    completed_at_s: list[tuple[bytes, float]] = []


class CrashRecord:
    """Suspects by fingerprint, the one that changed last at the end.

    Attributes:
        version: Rises with every change.
        last_change: What the newest version changed, or None.

    >>> record, seen = CrashRecord(), SuspectRequest(b"f", "r1", "h/a", "s", ran_s=0.1)
    >>> [record.record(life, [seen], at_s) is not None for life, at_s in (("a", 1), ("b", 2))]
    [True, True]
    >>> record.record("b", [seen], 3), record.record("c", [seen], 2.05)
    (None, None)
    >>> record.clear([b"f"]).changed[0].crashed_instances, record.suspects
    ([], [])
    """

    def __init__(self) -> None:
        self.version = 0
        self.last_change: SuspectChange | None = None
        self._suspects: OrderedDict[bytes, Suspect] = OrderedDict()
        # Wall clock when each request ended whole last, as far as gateways spoke for it.
        self._completed_at_s: OrderedDict[bytes, float] = OrderedDict()

    @property
    def suspects(self) -> list[Suspect]:
        """All suspects."""
        return list(self._suspects.values())

    def find(self, fingerprint: bytes) -> Suspect | None:
        """Return what is known of a request, or None."""
        return self._suspects.get(fingerprint)

    def record(
        self, life: str, requests: list[SuspectRequest], ended_s: float
    ) -> SuspectChange | None:
        """Take in that a replica ended while it ran requests; return what changed, or None.

        Args:
            life: The replica's life that ended.
            requests: What was running there.
            ended_s: Wall clock when it ended.
        """
        changed: dict[bytes, list[str]] = {}
        for request in requests:
            counted = self._count(life, request, ended_s)
            if counted is None:
                continue
            self._suspects[request.fingerprint] = counted
            self._suspects.move_to_end(request.fingerprint)
            changed[request.fingerprint] = counted.counted_crashes
        if any(len(crashed_instances) == CRASH_LIMIT for crashed_instances in changed.values()):
            changed.update(self._clear_explained())
            changed.update(self._excuse_long_running())
        while len(self._suspects) > MAX_SUSPECTS:
            changed[self._forget_one()] = []
        return self._changed(changed)

    def _count(self, life: str, request: SuspectRequest, ended_s: float) -> Suspect | None:
        """Count an end against a request; None where it says nothing new."""
        # A clock that jumped leaves no request unseen for longer.
        if (
            abs(ended_s - self._completed_at_s.get(request.fingerprint, -math.inf))
            < COMPLETION_VALIDITY_S
        ):
            return None
        known = self._suspects.get(request.fingerprint)
        if known is None:
            return Suspect(request, [life], ended_s, ended_s, [request.ran_s])
        if life in known.crashed_instances or len(known.crashed_instances) >= MAX_RECORDED_CRASHES:
            return None
        # What knew of all ends counted so far was sent after them, however late these were told:
        # beside load, reports overtake each other by more than a repeat takes.
        knew_all = request.known_crashes >= len(known.counted_crashes)
        if not knew_all and not is_independent_crash(
            known.last_crash_at_s, ended_s - request.ran_s, ended_s
        ):
            return None
        return msgspec.structs.replace(
            known,
            request=request,
            crashed_instances=[*known.crashed_instances, life],
            last_crash_at_s=ended_s,
            ran_s=[*known.ran_s, request.ran_s],
        )

    def _clear_explained(self) -> dict[bytes, list[str]]:
        """Forget what is held back for ends that are all explained by others that are.

        Others explain an end if they have ended a replica besides. So a crowd that had never ended
        whole before is free once its culprits are known (a soak of 7 s held one back for good).
        """
        held = {
            key: set(item.crashed_instances)
            for key, item in self._suspects.items()
            if item.is_quarantined
        }
        cleared = [
            key
            for key, crashed_instances in held.items()
            if crashed_instances
            <= set().union(*(other for other in held.values() if other - crashed_instances))
        ]
        for key in cleared:
            del self._suspects[key]
        return {key: [] for key in cleared}

    def _excuse_long_running(self) -> dict[bytes, list[str]]:
        """Spare each request one end at which it had run far longer than one that is held back.

        What ends replicas does so as soon as it runs; what ran beside it was sent at any time
        before. A crowd that has never ended whole yet could not do so any more, and 132 of it were
        refused (a soak of 9 s). With one end less a whole answer can clear it. One more end holds
        it back, so that a chance that went to the wrong one costs no more than that.

        Returns:
            The ends that are held against each request for which they are others now.
        """
        shortest_s: dict[str, float] = {}
        changed: dict[bytes, list[str]] = {}
        many = [item for item in self._suspects.items() if item[1].is_quarantined]
        for key, suspect in sorted(many, key=lambda item: max(item[1].ran_s, default=0.0)):
            ran_s = dict(zip(suspect.crashed_instances, suspect.ran_s, strict=False))
            longer = [
                life
                for life, taken_s in ran_s.items()
                if taken_s > UNRELATED_RUN_TIME_RATIO * shortest_s.get(life, math.inf)
            ]
            if longer and not suspect.excused_instance:
                self._suspects[key] = msgspec.structs.replace(suspect, excused_instance=longer[0])
                changed[key] = self._suspects[key].counted_crashes
                continue
            for life, taken_s in ran_s.items():
                shortest_s[life] = min(taken_s, shortest_s.get(life, math.inf))
        return changed

    def _forget_one(self) -> bytes:
        """Forget the oldest one of those under which the fewest replicas ended."""
        fingerprint = min(
            self._suspects, key=lambda item: len(self._suspects[item].crashed_instances)
        )
        del self._suspects[fingerprint]
        return fingerprint

    def note_completion(self, fingerprint: bytes, completed_at_s: float) -> None:
        """Take in when a request ended whole, so that ends soon after do not count against it.

        The gateway that saw it may be gone when replicas end at the others. In soaks that kill
        gateways often, a crowd was held back in 2 of 72 runs without it, in none of 40 with it.

        Args:
            fingerprint: The request.
            completed_at_s: Wall clock; minus infinite where that is not known.

        >>> record, seen = CrashRecord(), SuspectRequest(b"f", "r1", "h/a", "s", ran_s=0.1)
        >>> record.note_completion(b"f", 10.0)
        >>> record.record("a", [seen], 69.0), record.record("a", [seen], 70.0).version
        (None, 1)
        """
        self._completed_at_s[fingerprint] = max(
            completed_at_s, self._completed_at_s.get(fingerprint, completed_at_s)
        )
        self._completed_at_s.move_to_end(fingerprint)
        if len(self._completed_at_s) > MAX_COMPLETIONS:
            self._completed_at_s.popitem(last=False)

    def clear(self, fingerprints: list[bytes]) -> SuspectChange | None:
        """Forget requests; return what changed, or None."""
        known = [item for item in fingerprints if self._suspects.pop(item, None) is not None]
        return self._changed({item: [] for item in known})

    def inactive_since(self, horizon_s: float) -> list[bytes]:
        """Return those under which no replica has ended since a wall clock."""
        return [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if suspect.last_crash_at_s < horizon_s
        ]

    def _changed(self, changed: dict[bytes, list[str]]) -> SuspectChange | None:
        if not changed:
            return None
        self.version += 1
        crashed_instances = [
            SuspectCrashes(fingerprint, lives) for fingerprint, lives in changed.items()
        ]
        self.last_change = SuspectChange(self.version, crashed_instances)
        return self.last_change

    def full_change(self) -> SuspectChange:
        """Return everything as one change."""
        crashed_instances = [
            SuspectCrashes(key, item.counted_crashes) for key, item in self._suspects.items()
        ]
        return SuspectChange(self.version, crashed_instances)

    def dump(self) -> CrashRecordSnapshot:
        """Return the state for a snapshot."""
        return CrashRecordSnapshot(self.version, self.suspects, list(self._completed_at_s.items()))

    def load(self, snapshot: CrashRecordSnapshot) -> None:
        """Replace the state by that of a snapshot."""
        self.version = snapshot.version
        self._suspects = OrderedDict((item.request.fingerprint, item) for item in snapshot.suspects)
        self._completed_at_s = OrderedDict(snapshot.completed_at_s)
