"""Tracks which parts of prompts are suspects, quarantined or sound, for one gateway. Pure."""

from collections import OrderedDict

from crowsill.model.prompt_parts import PartsState

MAX_SOUND_PARTS = 4096
# How often the same suspect part is reported as sound. A report covers only the crashes before the
# response that it is about.
REPORT_INTERVAL_S = 0.2
# An older response proves nothing about a crash that is reported now.
MAX_SOUND_AGE_S = 10.0


class PartGuard:
    """Decides by the shared parts of a prompt whether it may be sent.

    >>> guard = PartGuard()
    >>> guard.note_sound([b"system"], 1.0, 1.5)
    []
    >>> guard.adopt(PartsState([b"system", b"rare"], [[b"bad", b"worse"]]), 2.0)
    [b'system']
    >>> guard.find_quarantined([b"system", b"bad"]), guard.find_quarantined([b"worse", b"bad"])
    ([], [b'bad', b'worse'])
    >>> guard.note_sound([b"system"], 1.9, 2.1), guard.note_sound([b"system"], 1.9, 2.3)
    ([], [b'system'])
    """

    def __init__(self) -> None:
        self._state = PartsState()
        self._suspects: set[bytes] = set()
        self._sound_at_s: OrderedDict[bytes, float] = OrderedDict()
        self._reported_at_s: dict[bytes, float] = {}

    @property
    def has_suspects(self) -> bool:
        """Whether any part may still prove to be the cause of crashes."""
        return bool(self._suspects)

    @property
    def has_quarantined(self) -> bool:
        """Whether any part is quarantined."""
        return bool(self._state.quarantined)

    def find_quarantined(self, parts: list[bytes]) -> list[bytes]:
        """Return the quarantined parts for which a prompt may not be sent; empty if it may.

        Args:
            parts: Digests of the shared parts of the prompt.
        """
        given = set(parts)
        return next((item for item in self._state.quarantined if given.issuperset(item)), [])

    def adopt(self, state: PartsState, now_s: float) -> list[bytes]:
        """Apply what the group knows; return the suspects that are sound as far as known here.

        Args:
            state: What the group knows.
            now_s: Monotonic time.
        """
        self._state = state
        self._suspects = set(state.suspects)
        self._reported_at_s.clear()
        sound = [
            part
            for part in state.suspects
            if now_s - self._sound_at_s.get(part, float("-inf")) < MAX_SOUND_AGE_S
        ]
        return self._select_due(sound, now_s)

    def note_sound(self, parts: list[bytes], began_at_s: float, now_s: float) -> list[bytes]:
        """Record that a replica responded to a prompt; return the parts to be reported.

        Args:
            parts: Digests of the shared parts of the prompt.
            began_at_s: Monotonic time at which the replica began its response.
            now_s: Monotonic time.
        """
        for part in parts:
            self._sound_at_s[part] = max(began_at_s, self._sound_at_s.get(part, began_at_s))
            self._sound_at_s.move_to_end(part)
        while len(self._sound_at_s) > MAX_SOUND_PARTS:
            self._sound_at_s.popitem(last=False)
        if not self._suspects:
            return []
        return self._select_due([part for part in parts if part in self._suspects], now_s)

    def sound_for_s(self, part: bytes, now_s: float) -> float:
        """Return the seconds since the last response to a part began; infinite without one."""
        return now_s - self._sound_at_s.get(part, float("-inf"))

    def _select_due(self, parts: list[bytes], now_s: float) -> list[bytes]:
        due = [
            part
            for part in parts
            if now_s - self._reported_at_s.get(part, float("-inf")) >= REPORT_INTERVAL_S
        ]
        self._reported_at_s.update(dict.fromkeys(due, now_s))
        return due
