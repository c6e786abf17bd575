"""The replicated record of suspect requests, so that all gateways count the same crashes.

When a replica crashes, all requests that were running on it become suspects. Two facts identify the
request that causes crashes: it was also running at the crash of another incarnation, and it never
completes. A complete response clears a request.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Iterable

import msgspec

from crowsill.model.prompt_parts import InterruptedPrompt
from crowsill.model.suspects import (
    COMPLETION_VALIDITY_S,
    CRASH_LIMIT,
    RETRY_CRASH_LIMIT,
    Suspect,
    SuspectChange,
    SuspectCrashes,
    SuspectRequest,
    is_independent_crash,
)
from crowsill.state.part_crashes import PartCrashes, PartCrashesSnapshot

# A suspect takes about 200 bytes in a snapshot. One crash produces up to 100 suspects, nearly all
# of which are cleared within seconds.
MAX_SUSPECTS = 4096
# Recorded completions of requests, each valid for `COMPLETION_VALIDITY_S`; about 200 bytes each.
# One crash leads to reports of up to 100 of them.
MAX_COMPLETIONS = 4096
# Of two requests at one crash, the one that had run this many times longer did not cause it: a
# request that crashes replicas does so after about the same time on each, whereas the requests that
# run beside it have run for any time.
UNRELATED_RUN_TIME_RATIO = 4.0
# Incarnations stored for each request; more provide no further evidence.
MAX_RECORDED_CRASHES = 8
# One command changes the record a few times at most.
MAX_REMEMBERED_CHANGES = 64


class CrashRecordSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The full record."""

    version: int = 0
    suspects: list[Suspect] = []
    completed_at_s: list[tuple[bytes, float]] = []
    parts: PartCrashesSnapshot = PartCrashesSnapshot()


class CrashRecord:
    """Suspects by fingerprint, ordered by their last change.

    Attributes:
        version: Increases with every change.
        changes: The changes of the latest versions, oldest first.
        parts: The same crashes by the parts of the prompts that ran at them.

    >>> record, request = CrashRecord(), SuspectRequest(b"f", "r1", "h/a", "s", ran_s=0.1)
    >>> [record.record(item, [request], at_s) is not None for item, at_s in (("a", 1), ("b", 2))]
    [True, True]
    >>> record.record("b", [request], 3), record.record("c", [request], 2.05)
    (None, None)
    >>> record.clear([b"f"]).changed[0].crashed_instances, record.suspects
    ([], [])
    """

    def __init__(self) -> None:
        self.version = 0
        self.changes: deque[SuspectChange] = deque(maxlen=MAX_REMEMBERED_CHANGES)
        self.parts = PartCrashes()
        self._suspects: OrderedDict[bytes, Suspect] = OrderedDict()
        # Wall-clock time of the last completion of each request, as far as gateways reported it.
        self._completed_at_s: OrderedDict[bytes, float] = OrderedDict()

    @property
    def last_change(self) -> SuspectChange | None:
        """The change of the latest version; None before the first one."""
        return self.changes[-1] if self.changes else None

    @property
    def suspects(self) -> list[Suspect]:
        """All suspects."""
        return list(self._suspects.values())

    def find(self, fingerprint: bytes) -> Suspect | None:
        """Return the crash history of a request, or None."""
        return self._suspects.get(fingerprint)

    def record(
        self,
        instance_id: str,
        requests: list[SuspectRequest],
        crashed_at_s: float,
        prompts: Iterable[InterruptedPrompt] = (),
    ) -> SuspectChange | None:
        """Record that a replica crashed while it ran requests; return the change, or None.

        Args:
            instance_id: The incarnation that crashed.
            requests: Requests that were running on it.
            crashed_at_s: Wall-clock time of the crash.
            prompts: Prompts of these requests.
        """
        prompt_of = {prompt.request_id: prompt for prompt in prompts}
        causes = self.parts.causes(instance_id)
        changed: dict[bytes, list[str]] = {}
        for reported in requests:
            request = msgspec.structs.replace(reported, prompt=prompt_of.get(reported.request_id))
            if _is_explained(request, causes):
                continue
            self._correct_time(instance_id, request.fingerprint, crashed_at_s)
            counted = self._count(instance_id, request, crashed_at_s)
            if counted is None:
                continue
            self._suspects[request.fingerprint] = counted
            self._suspects.move_to_end(request.fingerprint)
            changed[request.fingerprint] = counted.counted_crashes
        if any(len(crashed_instances) == CRASH_LIMIT for crashed_instances in changed.values()):
            changed.update(self._clear_explained())
            changed.update(self._excuse_long_running())
            changed.update(self._excuse_explained_by_parts())
        while len(self._suspects) > MAX_SUSPECTS:
            changed[self._forget_one()] = []
        return self._changed(changed)

    def _correct_time(self, instance_id: str, fingerprint: bytes, crashed_at_s: float) -> None:
        """Record an earlier time of the last crash counted against a request.

        A delay on the way of a report makes a crash look later than it was, never earlier.
        """
        known = self._suspects.get(fingerprint)
        if (
            known is not None
            and known.crashed_instances[-1] == instance_id
            and crashed_at_s < known.last_crash_at_s
        ):
            self._suspects[fingerprint] = msgspec.structs.replace(
                known, last_crash_at_s=crashed_at_s
            )

    def _count(
        self, instance_id: str, request: SuspectRequest, crashed_at_s: float
    ) -> Suspect | None:
        """Count a crash against a request; return None if it does not count."""
        # The absolute difference bounds the exemption also if the wall clock jumps back.
        if (
            abs(crashed_at_s - self._completed_at_s.get(request.fingerprint, -math.inf))
            < COMPLETION_VALIDITY_S
        ):
            return None
        known = self._suspects.get(request.fingerprint)
        if known is None:
            return Suspect(request, [instance_id], crashed_at_s, crashed_at_s, [request.ran_s])
        if (
            instance_id in known.crashed_instances
            or len(known.crashed_instances) >= MAX_RECORDED_CRASHES
        ):
            return None
        # A request whose gateway knew of all crashes counted so far was sent after them, no matter
        # how late they are reported. Under load, reports can overtake each other by more than the
        # duration of a retry.
        knew_all = request.known_crashes >= len(known.counted_crashes)
        if not knew_all and not is_independent_crash(
            known.last_crash_at_s, crashed_at_s - request.ran_s, crashed_at_s
        ):
            return None
        return msgspec.structs.replace(
            known,
            request=request,
            crashed_instances=[*known.crashed_instances, instance_id],
            last_crash_at_s=crashed_at_s,
            ran_s=[*known.ran_s, request.ran_s],
        )

    def _clear_explained(self) -> dict[bytes, list[str]]:
        """Clear quarantined requests whose crashes are all explained by others, or by parts.

        Another quarantined request explains a crash if it also crashed a replica that this one did
        not run on; a quarantined part explains it if this one lacks the part.
        Without this rule, identical requests of many callers that never completed before stay
        quarantined after the requests that cause the crashes are known, as in a soak test of 7 s.
        """
        crashes_of = {
            key: self._not_explained_by_parts(item)
            for key, item in self._suspects.items()
            if item.is_quarantined
        }
        cleared = [
            key
            for key, crashes in crashes_of.items()
            if crashes <= set().union(*(other for other in crashes_of.values() if other - crashes))
        ]
        for key in cleared:
            del self._suspects[key]
        return {key: [] for key in cleared}

    def _excuse_long_running(self) -> dict[bytes, list[str]]:
        """Excuse each quarantined request from one crash that a shorter-running request caused.

        The other one is quarantined as well, or ran for a short time at several crashes.

        A request that crashes replicas does so soon after it starts, whereas requests that run
        beside it were sent at any time before. Without this rule, identical requests of many
        callers that have not completed yet are quarantined and can no longer complete: a soak test
        of 9 s rejected 132 of them. With one crash less, a complete response can clear them. One
        further crash quarantines the request again, so that a wrong excuse costs at most one more
        crash.

        Returns:
            The counted crashes of each request for which they changed.
        """
        shortest_run_s = self._repeated_run_times_s()
        changed: dict[bytes, list[str]] = {}
        quarantined = [item for item in self._suspects.items() if item[1].is_quarantined]
        for key, suspect in sorted(quarantined, key=lambda item: max(item[1].ran_s, default=0.0)):
            ran_s = dict(zip(suspect.crashed_instances, suspect.ran_s, strict=False))
            longer = [
                instance_id
                for instance_id, taken_s in ran_s.items()
                if taken_s > UNRELATED_RUN_TIME_RATIO * shortest_run_s.get(instance_id, math.inf)
            ]
            if longer and not suspect.excused_instance:
                self._suspects[key] = msgspec.structs.replace(suspect, excused_instance=longer[0])
                changed[key] = self._suspects[key].counted_crashes
                continue
            for instance_id, taken_s in ran_s.items():
                shortest_run_s[instance_id] = min(
                    taken_s, shortest_run_s.get(instance_id, math.inf)
                )
        return changed

    def _repeated_run_times_s(self) -> dict[str, float]:
        """Return how long the likely causes of each crash run at most.

        A request that ran at the crashes of several replicas, and for a short time at each, is the
        likely cause of all of them before it is quarantined.
        """
        times_s: dict[str, float] = {}
        for suspect in self._suspects.values():
            if len(suspect.counted_crashes) < RETRY_CRASH_LIMIT or not suspect.ran_s:
                continue
            longest_s = max(suspect.ran_s)
            for instance_id in suspect.counted_crashes:
                times_s[instance_id] = min(longest_s, times_s.get(instance_id, math.inf))
        return times_s

    def _forget_one(self) -> bytes:
        """Remove the oldest of the suspects with the fewest crashes; return its fingerprint."""
        fingerprint = min(
            self._suspects, key=lambda item: len(self._suspects[item].crashed_instances)
        )
        del self._suspects[fingerprint]
        return fingerprint

    def note_completion(self, fingerprint: bytes, completed_at_s: float) -> None:
        """Record when a request completed, so that crashes soon after do not count against it.

        The record is replicated because the gateway that saw the completion may be gone when
        replicas crash at other gateways. In soak tests that kill gateways often, identical requests
        of many callers were quarantined in 2 of 72 runs without the record and in none of 40 with
        it.

        Args:
            fingerprint: Fingerprint of the request.
            completed_at_s: Wall-clock time; minus infinity if unknown.

        >>> record, request = CrashRecord(), SuspectRequest(b"f", "r1", "h/a", "s", ran_s=0.1)
        >>> record.note_completion(b"f", 10.0)
        >>> record.record("a", [request], 69.0), record.record("a", [request], 70.0).version
        (None, 1)
        """
        self._completed_at_s[fingerprint] = max(
            completed_at_s, self._completed_at_s.get(fingerprint, completed_at_s)
        )
        self._completed_at_s.move_to_end(fingerprint)
        if len(self._completed_at_s) > MAX_COMPLETIONS:
            self._completed_at_s.popitem(last=False)

    def clear(self, fingerprints: list[bytes]) -> SuspectChange | None:
        """Remove requests from the suspects; return the change, or None."""
        known = [item for item in fingerprints if self._suspects.pop(item, None) is not None]
        return self._changed({item: [] for item in known})

    def record_prompts(
        self,
        instance_id: str,
        prompts: list[InterruptedPrompt],
        crashed_at_s: float,
        now_s: float,
    ) -> SuspectChange | None:
        """Record the prompts that ran on a replica when it crashed; see `PartCrashes.record`."""
        has_changed = bool(prompts) and self.parts.record(instance_id, prompts, crashed_at_s, now_s)
        return self._changed({}, has_changed)

    def note_sound_parts(
        self, parts: list[bytes], sound_at_s: list[float], now_s: float
    ) -> SuspectChange | None:
        """Record that replicas responded to prompts with parts; see `PartCrashes.note_sound`."""
        return self._changed({}, self.parts.note_sound(parts, sound_at_s, now_s))

    def review_parts(self, now_s: float, lifetime_s: float) -> SuspectChange | None:
        """Quarantine parts; see `PartCrashes.review`."""
        before = self.parts.state()
        added = self.parts.review(now_s, lifetime_s)
        changed: dict[bytes, list[str]] = {}
        if added:
            changed.update(self._clear_explained())
            changed.update(self._excuse_explained_by_parts())
        return self._changed(changed, self.parts.state() != before)

    def _excuse_explained_by_parts(self) -> dict[bytes, list[str]]:
        """Remove crashes of quarantined requests that parts explain; return what is left of each.

        Identical requests of many callers that have not completed yet are at the crashes that a
        part causes, and have no part in common with it. A request with several other crashes stays
        quarantined: it crashes replicas as well, and ran beside the part by chance.
        """
        changed: dict[bytes, list[str]] = {}
        for key, suspect in list(self._suspects.items()):
            if not suspect.is_quarantined:
                continue
            left = self._not_explained_by_parts(suspect)
            if len(left) == len(suspect.crashed_instances) or len(left) >= RETRY_CRASH_LIMIT:
                continue
            changed[key] = self._keep_crashes(suspect, left)
        return changed

    def _not_explained_by_parts(self, suspect: Suspect) -> set[str]:
        """Return the crashed instances of a suspect that no quarantined part explains."""
        return {
            instance_id
            for instance_id in suspect.crashed_instances
            if not _is_explained(suspect.request, self.parts.causes(instance_id))
        }

    def _keep_crashes(self, suspect: Suspect, kept: set[str]) -> list[str]:
        """Keep some crashes of a suspect; return those that count against it."""
        key = suspect.request.fingerprint
        if not kept:
            del self._suspects[key]
            return []
        runs = zip(suspect.crashed_instances, suspect.ran_s, strict=False)
        self._suspects[key] = msgspec.structs.replace(
            suspect,
            crashed_instances=[item for item in suspect.crashed_instances if item in kept],
            ran_s=[ran_s for instance_id, ran_s in runs if instance_id in kept],
        )
        return self._suspects[key].counted_crashes

    def lift_part(self, part: bytes, now_s: float) -> bool:
        """End the quarantine of a part; return whether it was quarantined."""
        before = self.parts.state()
        is_known = self.parts.lift(part, now_s)
        self._changed({}, self.parts.state() != before)
        return is_known

    def inactive_since(self, since_at_s: float) -> list[bytes]:
        """Return the suspects without a counted crash since a wall-clock time."""
        return [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if suspect.last_crash_at_s < since_at_s
        ]

    def _changed(
        self, changed: dict[bytes, list[str]], have_parts_changed: bool = False
    ) -> SuspectChange | None:
        if not changed and not have_parts_changed:
            return None
        self.version += 1
        crashes = [
            SuspectCrashes(fingerprint, instance_ids)
            for fingerprint, instance_ids in changed.items()
        ]
        parts = self.parts.state() if have_parts_changed else None
        change = SuspectChange(self.version, crashes, parts)
        self.changes.append(change)
        return change

    def full_change(self) -> SuspectChange:
        """Return the full record as one change."""
        crashes = [
            SuspectCrashes(key, item.counted_crashes) for key, item in self._suspects.items()
        ]
        return SuspectChange(self.version, crashes, self.parts.state())

    def dump(self) -> CrashRecordSnapshot:
        """Return the state for a snapshot."""
        return CrashRecordSnapshot(
            self.version, self.suspects, list(self._completed_at_s.items()), self.parts.dump()
        )

    def load(self, snapshot: CrashRecordSnapshot) -> None:
        """Replace the state from a snapshot."""
        self.version = snapshot.version
        self._suspects = OrderedDict((item.request.fingerprint, item) for item in snapshot.suspects)
        self._completed_at_s = OrderedDict(snapshot.completed_at_s)
        self.parts.load(snapshot.parts)


def _is_explained(request: SuspectRequest, causes: list[set[bytes]]) -> bool:
    """Whether parts that a request lacks caused a crash."""
    given = set() if request.prompt is None else set(request.prompt.parts)
    return any(not given.issuperset(cause) for cause in causes)
