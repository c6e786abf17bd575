"""Tracks requests that were running when replicas crashed, for one gateway. Pure.

It combines the control group's crash record with this gateway's own observations, which count until
the group has recorded them.
"""

import math
from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from crowsill.gateway.part_guard import PartGuard
from crowsill.model.suspects import (
    COMPLETION_VALIDITY_S,
    CRASH_LIMIT,
    RETRY_CRASH_LIMIT,
    SuspectChange,
    is_independent_crash,
)

# Bound of own observations that the group has not confirmed yet; reached only without a connection
# to the group.
MAX_OWN_SUSPECTS = 1000
MAX_REMEMBERED_SUCCESSES = 2000
# Within this time, the group learns from all gateways which requests ran at a crash.
REPORTS_SETTLING_S = 0.3
# A part of prompts is quarantined after more crashes than a request.
PARTS_SETTLING_S = 2.0


@dataclass(slots=True)
class _OwnCrashes:
    """Crashes that this gateway observed for one request and the group has not counted yet.

    Attributes:
        instance_ids: Instances that crashed.
        last_crash_at_s: Monotonic time of the last crash that was counted.
    """

    instance_ids: set[str] = field(default_factory=set)
    last_crash_at_s: float = float("-inf")


class CrashGuard:
    """Decides by fingerprint which requests may be sent.

    Attributes:
        version: Version of the group's crash record that was adopted last.
        parts: The same for parts of prompts.

    >>> guard = CrashGuard()
    >>> for instance_id, sent_at_s in (("a", 1), ("b", 2), ("c", 3)):
    ...     guard.note_crash(b"f", instance_id, sent_at_s, sent_at_s + 0.1)
    ...     print(guard.may_repeat(b"f"), guard.is_quarantined(b"f"))
    True False
    False False
    False True
    >>> guard.note_success(b"f", now_s=4.0), guard.is_quarantined(b"f")
    (False, False)
    >>> guard.is_settled(b"f", now_s=3.2)
    True
    >>> guard.succeeded_recently(b"f", now_s=5.0), guard.succeeded_recently(b"f", now_s=99.0)
    (True, False)
    """

    def __init__(self) -> None:
        self.version = 0
        self.parts = PartGuard()
        self._recorded: dict[bytes, set[str]] = {}
        self._own: OrderedDict[bytes, _OwnCrashes] = OrderedDict()
        self._succeeded_at_s: OrderedDict[bytes, float] = OrderedDict()
        # Of the recorded suspects, those with several crashes.
        self._repeated: dict[bytes, set[str]] = {}
        # By quarantined request: since when, in monotonic time.
        self._quarantined_at_s: dict[bytes, float] = {}
        self._running_attempts: Counter[bytes] = Counter()

    @property
    def has_suspects(self) -> bool:
        """Whether any request is a suspect; if not, no fingerprint has to be computed."""
        return bool(self._recorded or self._own)

    def crash_count(self, fingerprint: bytes) -> int:
        """Return how many replicas are known to have crashed while they ran a request."""
        recorded = self._recorded.get(fingerprint, set())
        own = self._own.get(fingerprint)
        return len(recorded if own is None else recorded | own.instance_ids)

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Whether a replica has crashed while it ran the request."""
        return self.crash_count(fingerprint) > 0

    def has_crashed(self, instance_id: str) -> bool:
        """Whether the group has recorded a crash of an instance for any request."""
        return any(instance_id in instance_ids for instance_ids in self._recorded.values())

    def may_repeat(self, fingerprint: bytes) -> bool:
        """Whether a gateway may retry the request without the caller sending it again."""
        return self.crash_count(fingerprint) < RETRY_CRASH_LIMIT

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Whether the request may be sent to no replica.

        Either the group's count or this gateway's own count, for times without a connection to the
        group, must reach the limit. Their union is not used, because it may contain two
        simultaneous crashes, which count only once.
        """
        own = self._own.get(fingerprint)
        highest_count = max(
            len(self._recorded.get(fingerprint, ())), 0 if own is None else len(own.instance_ids)
        )
        return highest_count >= CRASH_LIMIT

    def is_settled(self, fingerprint: bytes, now_s: float) -> bool:
        """Whether a quarantined request is known to have caused the crashes.

        Right after the last crash, the group does not know all requests and parts that ran at it.
        Once it does, it releases requests whose crashes another one explains.

        Args:
            fingerprint: The request.
            now_s: Monotonic time.
        """
        age_s = now_s - self._quarantined_at_s.get(fingerprint, -math.inf)
        if age_s < REPORTS_SETTLING_S and self._has_rival(fingerprint):
            return False
        return age_s >= PARTS_SETTLING_S or not self.parts.has_suspects

    def _has_rival(self, fingerprint: bytes) -> bool:
        """Whether another request ran at several of the same crashes."""
        instance_ids = self._recorded.get(fingerprint, set())
        return any(
            len(instance_ids & repeated_ids) >= RETRY_CRASH_LIMIT
            for other, repeated_ids in self._repeated.items()
            if other != fingerprint
        )

    def adopt(self, change: SuspectChange, is_full: bool, now_s: float = -math.inf) -> None:
        """Apply a change of the group's crash record.

        Args:
            change: The change.
            is_full: Whether the change contains the complete record.
            now_s: Monotonic time; minus infinity if nothing in it is new.
        """
        if change.version < self.version or (change.version == self.version and not is_full):
            return
        self.version = change.version
        if is_full:
            self._recorded.clear()
            self._repeated.clear()
            listed = {item.fingerprint for item in change.changed}
            for fingerprint in self._quarantined_at_s.keys() - listed:
                self._update_quarantined(fingerprint, now_s)
        for item in change.changed:
            self._set_recorded(item.fingerprint, set(item.crashed_instances))
            self._update_quarantined(item.fingerprint, now_s)

    def _update_quarantined(self, fingerprint: bytes, now_s: float) -> None:
        """Record since when a request is quarantined, after a change of its crashes."""
        if not self.is_quarantined(fingerprint):
            self._quarantined_at_s.pop(fingerprint, None)
        elif fingerprint not in self._quarantined_at_s:
            self._quarantined_at_s[fingerprint] = now_s

    def _set_recorded(self, fingerprint: bytes, instance_ids: set[str]) -> None:
        if not instance_ids:
            self.clear_suspect(fingerprint)
            return
        self._recorded[fingerprint] = instance_ids
        if len(instance_ids) >= RETRY_CRASH_LIMIT:
            self._repeated[fingerprint] = instance_ids
        else:
            self._repeated.pop(fingerprint, None)

    def note_crash(
        self, fingerprint: bytes, instance_id: str, sent_at_s: float, crashed_at_s: float
    ) -> None:
        """Record that this gateway observed a replica crash while it ran the request.

        Args:
            fingerprint: The request.
            instance_id: The instance that crashed.
            sent_at_s: Monotonic time at which the request was sent to it.
            crashed_at_s: Monotonic time of the crash.
        """
        own = self._own.setdefault(fingerprint, _OwnCrashes())
        self._own.move_to_end(fingerprint)
        if is_independent_crash(own.last_crash_at_s, sent_at_s, crashed_at_s):
            own.instance_ids.add(instance_id)
            own.last_crash_at_s = crashed_at_s
            self._update_quarantined(fingerprint, crashed_at_s)
        if len(self._own) > MAX_OWN_SUSPECTS:
            self._own.popitem(last=False)

    def drop_own_crash(self, fingerprint: bytes, instance_id: str) -> None:
        """Drop an own observation, because the group has decided whether it counts."""
        own = self._own.get(fingerprint)
        if own is None:
            return
        own.instance_ids.discard(instance_id)
        if not own.instance_ids:
            del self._own[fingerprint]
        if not self.is_quarantined(fingerprint):
            self._quarantined_at_s.pop(fingerprint, None)

    def succeeded_recently(self, fingerprint: bytes, now_s: float) -> bool:
        """Whether the request got a complete response at this gateway recently."""
        return self.seconds_since_success(fingerprint, now_s) < COMPLETION_VALIDITY_S

    def seconds_since_success(self, fingerprint: bytes, now_s: float) -> float:
        """Return the seconds since the request last succeeded here; infinite if it never did."""
        return now_s - self._succeeded_at_s.get(fingerprint, float("-inf"))

    def note_success(self, fingerprint: bytes, now_s: float) -> bool:
        """Record a success; return whether it must be reported to clear the group's record."""
        self._succeeded_at_s[fingerprint] = now_s
        self._succeeded_at_s.move_to_end(fingerprint)
        if len(self._succeeded_at_s) > MAX_REMEMBERED_SUCCESSES:
            self._succeeded_at_s.popitem(last=False)
        was_recorded = fingerprint in self._recorded
        self.clear_suspect(fingerprint)
        return was_recorded

    def clear_suspect(self, fingerprint: bytes) -> None:
        """Treat the request as no suspect, whatever the group has recorded."""
        self._own.pop(fingerprint, None)
        self._recorded.pop(fingerprint, None)
        self._repeated.pop(fingerprint, None)
        self._quarantined_at_s.pop(fingerprint, None)

    # A gateway runs at most one attempt of the same suspect at a time.

    def has_running_attempt(self, fingerprint: bytes) -> bool:
        """Whether an attempt of this suspect is running at this gateway."""
        return self._running_attempts[fingerprint] > 0

    def begin_attempt(self, fingerprint: bytes) -> None:
        """Count an attempt that begins."""
        self._running_attempts[fingerprint] += 1

    def finish_attempt(self, fingerprint: bytes) -> None:
        """Stop counting an attempt that has ended."""
        self._running_attempts[fingerprint] -= 1
        if self._running_attempts[fingerprint] <= 0:
            del self._running_attempts[fingerprint]
