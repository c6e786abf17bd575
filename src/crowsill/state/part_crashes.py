"""The replicated record of crashes by the parts of the prompts that ran at them. Pure.

One part may crash every replica that begins to respond to a prompt with it, while the prompts that
contain it differ in everything else. Three facts identify the part: it was there at several
crashes, no prompt that contains it gets a response, and few of the prompts that ran at these
crashes contain it. Parts that many prompts share are there at every crash as well, but such prompts
get responses from other replicas all the time.
"""

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from crowsill.model.prompt_parts import InterruptedPrompt, PartsState
from crowsill.state.part_causes import (
    PART_CRASH_LIMIT,
    CrashedPrompts,
    contains_all,
    contains_any,
    find_cause,
    independent_crashes,
    runs_by_part,
)

# Gateways report which parts are sound from this many crashes on.
SUSPECT_CRASHES = 2
# Gateways have this time to report that a part is sound after the crash that would quarantine it.
MIN_CANDIDATE_S = 0.5
# Bounds of the record. A prompt with three parts takes about 60 bytes in a snapshot.
MAX_CRASHES = 48
MAX_CRASH_TIMES = 256
MAX_PROMPTS_PER_CRASH = 64
MAX_SOUND_PARTS = 4096
MAX_SUSPECT_PARTS = 256
MAX_QUARANTINED = 64
MAX_LISTED_CRASHES = 16
# A longer time between two commands is a jump of the wall clock, or a pause that means nothing.
MAX_CLOCK_STEP_S = 60.0


class QuarantinedParts(msgspec.Struct, frozen=True, array_like=True):
    """Parts that no gateway sends to a replica in one prompt.

    Attributes:
        parts: The parts; several if every prompt that ran at the crashes had all of them.
        crashed_instances: Ids of incarnations that crashed under them, at most
            `MAX_LISTED_CRASHES`.
        first_crash_at_s: Wall-clock time of the first crash.
        last_crash_at_s: Wall-clock time of the last crash.
        last_at_s: Time of the last crash, by the record's clock.
        prompts: Number of prompts with these parts that ran at the crashes.
        request_id: The caller's id of one of these prompts.
    """

    parts: list[bytes]
    crashed_instances: list[str]
    first_crash_at_s: float
    last_crash_at_s: float
    last_at_s: float
    prompts: int
    request_id: str


class PartCrashesSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The full record."""

    clock_s: float = 0.0
    wall_s: float = 0.0
    crashes: list[CrashedPrompts] = []
    sound_at_s: list[tuple[bytes, float]] = []
    suspects: list[bytes] = []
    candidate_since_s: dict[bytes, float] = {}
    quarantined: list[QuarantinedParts] = []
    crash_times_s: list[tuple[str, float]] = []


class PartCrashes:
    """Crashes, sound parts and quarantined parts.

    The record has a clock of its own, which advances with the commands, because the leader's wall
    clock may jump: a crash in the future could never be followed by a response.

    >>> record = PartCrashes()
    >>> for number in range(5):
    ...     prompt = InterruptedPrompt(f"r{number}", [b"system", b"bad"], 0.1)
    ...     _ = record.record(f"i{number}", [prompt], float(number), float(number))
    ...     _ = record.note_sound([b"system"], [number + 0.5], number + 0.5)
    >>> [item.parts for item in record.review(9.0)]
    [[b'bad']]
    """

    def __init__(self) -> None:
        self._clock_s = 0.0
        self._wall_s = 0.0
        self._crashes: OrderedDict[str, CrashedPrompts] = OrderedDict()
        # Times of all crashes that quarantined parts do not explain, by the record's clock.
        self._crash_times_s: OrderedDict[str, float] = OrderedDict()
        self._sound_at_s: OrderedDict[bytes, float] = OrderedDict()
        self._suspects: list[bytes] = []
        # By part: when it reached the number of crashes that quarantines it.
        self._candidate_since_s: dict[bytes, float] = {}
        self._quarantined: list[QuarantinedParts] = []
        # None after a change.
        self._cause: list[bytes] | None = None

    @property
    def quarantined(self) -> list[QuarantinedParts]:
        """The quarantined parts, in the order in which they were quarantined."""
        return list(self._quarantined)

    def state(self) -> PartsState:
        """Return what gateways need to know."""
        uncertain = [
            part for item in self._quarantined if len(item.parts) > 1 for part in item.parts
        ]
        suspects = sorted({*self._suspects, *uncertain})
        return PartsState(suspects, [item.parts for item in self._quarantined])

    def _advance(self, wall_s: float) -> float:
        """Advance the record's clock to the wall-clock time of a command."""
        elapsed_s = wall_s - self._wall_s
        if self._wall_s:
            self._clock_s += min(max(elapsed_s, 0.0), MAX_CLOCK_STEP_S)
        self._wall_s = wall_s
        return self._clock_s

    def record(
        self,
        instance_id: str,
        prompts: list[InterruptedPrompt],
        crashed_at_s: float,
        now_s: float,
    ) -> bool:
        """Record a crash; return whether gateways must know more than before.

        Args:
            instance_id: The incarnation that crashed.
            prompts: Prompts that were running on it, as one gateway reports them.
            crashed_at_s: Wall-clock time of the crash.
            now_s: Wall-clock time of the command.
        """
        clock_s = self._advance(now_s)
        at_s = clock_s - max(0.0, now_s - crashed_at_s)
        before = self.state()
        for prompt in prompts:
            if prompt.is_sound:
                self._note_sound(prompt.parts, at_s - prompt.wrote_s)
        if not self._is_explained(instance_id, prompts, crashed_at_s, at_s):
            self._add(instance_id, prompts, crashed_at_s, at_s)
        self._update_suspects(clock_s)
        return self.state() != before

    def _is_explained(
        self, instance_id: str, prompts: list[InterruptedPrompt], wall_at_s: float, at_s: float
    ) -> bool:
        """Whether quarantined parts caused a crash; count it for them."""
        for index, known in enumerate(self._quarantined):
            matching = [item for item in prompts if set(known.parts) <= set(item.parts)]
            if instance_id not in known.crashed_instances and not matching:
                continue
            instances = known.crashed_instances
            if instance_id not in instances and len(instances) < MAX_LISTED_CRASHES:
                instances = [*instances, instance_id]
            self._quarantined[index] = msgspec.structs.replace(
                known,
                crashed_instances=instances,
                last_crash_at_s=max(known.last_crash_at_s, wall_at_s),
                last_at_s=max(known.last_at_s, at_s),
                prompts=known.prompts + len(matching),
            )
            self._crashes.pop(instance_id, None)
            self._crash_times_s.pop(instance_id, None)
            return True
        return False

    def _add(
        self, instance_id: str, prompts: list[InterruptedPrompt], wall_at_s: float, at_s: float
    ) -> None:
        """Add a crash, or what another gateway reports of a known one."""
        known = self._crashes.get(instance_id)
        if known is not None:
            # A delay on the way of a report makes a crash look later than it was, never earlier.
            at_s = min(at_s, known.crashed_at_s)
            wall_at_s = min(wall_at_s, known.wall_at_s)
        self._crash_times_s.setdefault(instance_id, at_s)
        if len(self._crash_times_s) > MAX_CRASH_TIMES:
            self._crash_times_s.popitem(last=False)
        merged = {} if known is None else {item.request_id: item for item in known.prompts}
        for prompt in prompts:
            left = [part for part in prompt.parts if not self._is_sound_since(part, at_s)]
            if left and not prompt.is_sound and len(merged) < MAX_PROMPTS_PER_CRASH:
                merged[prompt.request_id] = msgspec.structs.replace(prompt, parts=left)
        if not merged:
            return
        self._crashes[instance_id] = CrashedPrompts(
            instance_id, at_s, wall_at_s, list(merged.values())
        )
        if len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)

    def _is_sound_since(self, part: bytes, at_s: float) -> bool:
        return self._sound_at_s.get(part, float("-inf")) > at_s

    def note_sound(self, parts: list[bytes], sound_at_s: list[float], now_s: float) -> bool:
        """Record that replicas responded to prompts with these parts and did not crash.

        Returns:
            Whether gateways must know more than before.

        Args:
            parts: The parts.
            sound_at_s: Wall-clock time at which a replica began the last response to each part.
            now_s: Wall-clock time of the command.
        """
        clock_s = self._advance(now_s)
        before = self.state()
        for part, at_s in zip(parts, sound_at_s, strict=False):
            self._note_sound([part], clock_s - max(0.0, now_s - at_s))
        self._update_suspects(clock_s)
        return self.state() != before

    def _note_sound(self, parts: Iterable[bytes], at_s: float) -> None:
        for part in parts:
            self._sound_at_s[part] = max(at_s, self._sound_at_s.get(part, at_s))
            self._sound_at_s.move_to_end(part)
            if len(self._sound_at_s) > MAX_SOUND_PARTS:
                self._sound_at_s.popitem(last=False)
            for crash in list(self._crashes.values()):
                if crash.crashed_at_s < at_s:
                    self._remove_part(crash, part)
            self._quarantined = [
                narrowed
                for item in self._quarantined
                if (narrowed := _without_sound(item, part, at_s)) is not None
            ]

    def _remove_part(self, crash: CrashedPrompts, part: bytes) -> None:
        """Remove a part that is no longer suspected of a crash."""
        prompts = [
            msgspec.structs.replace(item, parts=[other for other in item.parts if other != part])
            for item in crash.prompts
        ]
        left = [item for item in prompts if item.parts]
        if left:
            self._crashes[crash.instance_id] = msgspec.structs.replace(crash, prompts=left)
        else:
            del self._crashes[crash.instance_id]

    def may_clear(self, parts: list[bytes]) -> bool:
        """Whether any of these parts is suspected of a crash, as far as this member knows."""
        state = self.state()
        known = {*state.suspects, *(part for item in state.quarantined for part in item)}
        return not known.isdisjoint(parts)

    def _update_suspects(self, clock_s: float) -> None:
        """Update which parts are suspects, and since when, after any change."""
        self._cause = None
        all_runs = runs_by_part(self._crashes.values())
        crashes = {part: len(independent_crashes(runs)) for part, runs in all_runs.items()}
        repeated = sorted(
            (part for part, number in crashes.items() if number >= SUSPECT_CRASHES),
            key=lambda part: (-crashes[part], part),
        )
        self._suspects = repeated[:MAX_SUSPECT_PARTS]
        self._candidate_since_s = {
            part: self._candidate_since_s.get(part, clock_s)
            for part in self._suspects
            if crashes[part] >= PART_CRASH_LIMIT
        }

    def _find_cause(self) -> list[bytes]:
        if self._cause is None:
            self._cause = find_cause(self._crashes, self._suspects, self._crash_times_s.values())
        return self._cause

    def causes(self, instance_id: str) -> list[set[bytes]]:
        """Return the sets of quarantined parts that explain the crash of an incarnation."""
        return [
            set(item.parts) for item in self._quarantined if instance_id in item.crashed_instances
        ]

    def _narrower(self, item: QuarantinedParts) -> list[bytes]:
        """Return which of several quarantined parts crashed a replica without the others."""
        if len(item.parts) < 2:
            return []
        for crash in self._crashes.values():
            for prompt in crash.prompts:
                common = [part for part in item.parts if part in prompt.parts]
                if common and len(common) < len(item.parts):
                    return common
        return []

    def needs_review(self, now_s: float, lifetime_s: float) -> bool:
        """Whether `review` may change anything, now or soon.

        Args:
            now_s: Current wall-clock time.
            lifetime_s: Time in seconds after the last crash for which a quarantine lasts.
        """
        return (
            any(self._narrower(item) for item in self._quarantined)
            or any(now_s - item.last_crash_at_s > lifetime_s for item in self._quarantined)
            or any(now_s - crash.wall_at_s > lifetime_s for crash in self._crashes.values())
            or bool(self._find_cause())
        )

    def review(self, now_s: float, lifetime_s: float = float("inf")) -> list[QuarantinedParts]:
        """Quarantine the parts that explain enough crashes; return what was quarantined.

        Args:
            now_s: Wall-clock time of the command.
            lifetime_s: Crashes and quarantines end this time after the last crash, in seconds.
        """
        clock_s = self._advance(now_s)
        self._expire(now_s, lifetime_s)
        self._narrow(clock_s)
        self._update_suspects(clock_s)
        added: list[QuarantinedParts] = []
        while parts := self._find_cause():
            since_s = max(self._candidate_since_s[part] for part in parts)
            if clock_s - since_s < MIN_CANDIDATE_S:
                break
            added.append(self._quarantine(parts))
            self._update_suspects(clock_s)
        return added

    def _expire(self, now_s: float, lifetime_s: float) -> None:
        self._quarantined = [
            item for item in self._quarantined if now_s - item.last_crash_at_s <= lifetime_s
        ]
        for crash in list(self._crashes.values()):
            if now_s - crash.wall_at_s > lifetime_s:
                del self._crashes[crash.instance_id]

    def _narrow(self, clock_s: float) -> None:
        """Narrow sets of which a part crashed a replica without the others."""
        for index, item in enumerate(self._quarantined):
            parts = self._narrower(item)
            crashed_at_s = [
                crash.crashed_at_s
                for crash in self._crashes.values()
                if contains_any(crash, set(parts))
            ]
            if parts and clock_s - min(crashed_at_s) >= MIN_CANDIDATE_S:
                self._quarantined[index] = msgspec.structs.replace(item, parts=parts)

    def _quarantine(self, parts: list[bytes]) -> QuarantinedParts:
        """Quarantine parts, and remove the crashes that they explain."""
        explained = [crash for crash in self._crashes.values() if contains_all(crash, parts)]
        matching = [
            [item for item in crash.prompts if set(parts) <= set(item.parts)] for crash in explained
        ]
        quarantined = QuarantinedParts(
            parts,
            [crash.instance_id for crash in explained][-MAX_LISTED_CRASHES:],
            min(crash.wall_at_s for crash in explained),
            max(crash.wall_at_s for crash in explained),
            max(crash.crashed_at_s for crash in explained),
            sum(len(found) for found in matching),
            matching[-1][-1].request_id,
        )
        for crash in explained:
            del self._crashes[crash.instance_id]
            self._crash_times_s.pop(crash.instance_id, None)
        self._quarantined = [*self._quarantined, quarantined][-MAX_QUARANTINED:]
        return quarantined

    def lift(self, part: bytes, now_s: float) -> bool:
        """End the quarantine of a part; return whether it was quarantined."""
        clock_s = self._advance(now_s)
        left = [item for item in self._quarantined if part not in item.parts]
        is_known = len(left) < len(self._quarantined)
        self._quarantined = left
        for crash in list(self._crashes.values()):
            self._remove_part(crash, part)
        self._update_suspects(clock_s)
        return is_known

    def dump(self) -> PartCrashesSnapshot:
        """Return the state for a snapshot."""
        return PartCrashesSnapshot(
            self._clock_s,
            self._wall_s,
            list(self._crashes.values()),
            list(self._sound_at_s.items()),
            self._suspects,
            self._candidate_since_s,
            self._quarantined,
            list(self._crash_times_s.items()),
        )

    def load(self, snapshot: PartCrashesSnapshot) -> None:
        """Replace the state from a snapshot."""
        self._clock_s, self._wall_s = snapshot.clock_s, snapshot.wall_s
        self._crashes = OrderedDict((item.instance_id, item) for item in snapshot.crashes)
        self._sound_at_s = OrderedDict(snapshot.sound_at_s)
        self._suspects = list(snapshot.suspects)
        self._candidate_since_s = dict(snapshot.candidate_since_s)
        self._quarantined = list(snapshot.quarantined)
        self._cause = None
        self._crash_times_s = OrderedDict(snapshot.crash_times_s)


def _without_sound(item: QuarantinedParts, part: bytes, at_s: float) -> QuarantinedParts | None:
    """Return quarantined parts without one that is sound; None if no part is left."""
    if part not in item.parts or at_s <= item.last_at_s:
        return item
    left = [other for other in item.parts if other != part]
    return msgspec.structs.replace(item, parts=left) if left else None
