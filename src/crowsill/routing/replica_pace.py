"""How long work takes at a replica, from what it reports. Pure.

What a replica reports is the product of two causes. The speed of its machine stays; it is learned
as the slow factor, from reports over several seconds. Noise of its neighbours lasts less than a
second; it counts only at the gateway that has just received a report, and less with its age.
"""

from collections import deque
from dataclasses import dataclass, field

USUAL_PERCENT = 100
# Bounds of what is learned, in percent: reports beyond them have a limited effect.
MIN_LEARNED_PERCENT = 25
MAX_LEARNED_PERCENT = 1000
# Reports within this time count as one sample: noise covers few samples.
SAMPLE_INTERVAL_S = 0.5
MAX_SAMPLES = 9
# Noise only slows replicas down, so a low quantile shows the speed of the machine. It is not the
# minimum, which a single wrong report would determine.
QUANTILE_DIVISOR = 3
# Samples after which a window is preferred to what another process learned.
MIN_CERTAIN_SAMPLES = 5
# Time without a report after which a pace is forgotten.
PACE_LIFETIME_S = 60.0
# Time after which the last report has no weight of its own.
NOISE_LIFETIME_S = 0.5
# A change by this ratio, or its inverse, is logged.
LOGGED_RATIO = 1.25


def bounded_percent(percent: float) -> int:
    """Return a reported pace in percent within the bounds of what is learned.

    >>> bounded_percent(5.0), bounded_percent(70.4), bounded_percent(9_000.0)
    (25, 70, 1000)
    """
    return round(min(MAX_LEARNED_PERCENT, max(MIN_LEARNED_PERCENT, percent)))


def is_notable_change(before_percent: int, after_percent: int) -> bool:
    """Whether a pace changed by a quarter or more.

    >>> is_notable_change(100, 120), is_notable_change(100, 125), is_notable_change(100, 70)
    (False, True, True)
    """
    ratio = after_percent / before_percent
    return ratio >= LOGGED_RATIO or ratio <= 1.0 / LOGGED_RATIO


@dataclass(slots=True)
class PaceWindow:
    """The last reports on one replica.

    >>> window = PaceWindow()
    >>> for number, percent in enumerate([170, 425, 170, 5, 170]):
    ...     window.note(percent, number * SAMPLE_INTERVAL_S)
    >>> window.percent(2.5), window.percent(99.0)
    (170, None)
    """

    _samples: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    _began_at_s: float = float("-inf")
    _noted_at_s: float = float("-inf")
    _percent: int = USUAL_PERCENT

    def note(self, percent: float, now_s: float) -> None:
        """Record a reported pace in percent; of several within one interval, the lowest counts."""
        newest = bounded_percent(percent)
        if now_s < self._began_at_s + SAMPLE_INTERVAL_S:
            self._samples[-1] = min(self._samples[-1], newest)
        else:
            self._samples.append(newest)
            self._began_at_s = now_s
        self._noted_at_s = max(self._noted_at_s, now_s)
        self._percent = sorted(self._samples)[len(self._samples) // QUANTILE_DIVISOR]

    def percent(self, now_s: float) -> int | None:
        """Return the learned pace in percent; None without a report within the lifetime."""
        return self._percent if now_s <= self._noted_at_s + PACE_LIFETIME_S else None

    def is_certain(self, now_s: float) -> bool:
        """Whether there are enough samples to prefer them to what another process learned."""
        return len(self._samples) >= MIN_CERTAIN_SAMPLES and self.percent(now_s) is not None


@dataclass(slots=True)
class ToldPace:
    """A pace that another process learned.

    Attributes:
        learned_percent: The pace in percent.
        told_at_s: Monotonic time in seconds when it was received.
    """

    learned_percent: int = USUAL_PERCENT
    told_at_s: float = float("-inf")

    def note(self, percent: int, now_s: float) -> None:
        """Record what another process learned; 0 if it knows none."""
        if percent > 0:
            self.learned_percent, self.told_at_s = bounded_percent(percent), now_s

    def percent(self, now_s: float) -> int | None:
        """Return the pace in percent; None if nothing was told within the lifetime."""
        return self.learned_percent if now_s <= self.told_at_s + PACE_LIFETIME_S else None


@dataclass(slots=True)
class ReplicaPace:
    """The pace of one replica, as one gateway knows it.

    Attributes:
        has_reports: Whether anything was ever reported or told; without, all factors are 1.
        window: Reports that this gateway received.
        told: What the control group learned.
        last_percent: The last report.
        last_at_s: Monotonic time of the last report, in seconds.
        unsent_percent: Lowest report since the last one to the group; 0 without one.
    """

    has_reports: bool = False
    window: PaceWindow = field(default_factory=PaceWindow)
    told: ToldPace = field(default_factory=ToldPace)
    last_percent: float = USUAL_PERCENT
    last_at_s: float = float("-inf")
    unsent_percent: int = 0

    def note(self, percent: float, now_s: float) -> None:
        """Record a pace in percent that the replica has just reported."""
        self.has_reports = True
        self.window.note(percent, now_s)
        self.last_percent, self.last_at_s = bounded_percent(percent), now_s
        unsent = self.unsent_percent or MAX_LEARNED_PERCENT
        self.unsent_percent = min(unsent, bounded_percent(percent))

    def note_told(self, percent: int, now_s: float) -> None:
        """Record the pace in percent that the control group learned; 0 if it knows none."""
        if percent > 0:
            self.has_reports = True
            self.told.note(percent, now_s)

    def take_unsent_percent(self) -> int:
        """Return the lowest report since the last call; 0 without one."""
        percent, self.unsent_percent = self.unsent_percent, 0
        return percent

    def learned_percent(self, now_s: float) -> int | None:
        """Return the pace of the machine in percent; None if it is not known."""
        if not self.has_reports:
            return None
        told = self.told.percent(now_s)
        return told if told is not None else self.window.percent(now_s)

    def slow_factor(self, now_s: float) -> float:
        """Return the time that work takes on the machine, relative to the usual; 1 if unknown."""
        if not self.has_reports:
            return 1.0
        return (self.learned_percent(now_s) or USUAL_PERCENT) / USUAL_PERCENT

    def factor(self, now_s: float) -> float:
        """Return the time that work takes now, relative to the usual; 1 if unknown.

        >>> pace = ReplicaPace()
        >>> pace.note_told(70, 0.0)
        >>> pace.note(175, 1.0)
        >>> pace.factor(1.0), round(pace.factor(1.25), 3), pace.factor(1.5)
        (1.75, 1.225, 0.7)
        """
        if not self.has_reports:
            return 1.0
        slow = self.slow_factor(now_s)
        weight = 1.0 - (now_s - self.last_at_s) / NOISE_LIFETIME_S
        if weight <= 0.0:
            return slow
        return slow + (self.last_percent / USUAL_PERCENT - slow) * min(1.0, weight)
