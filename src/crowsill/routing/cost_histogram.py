"""Distributions of times, learnt from samples that lose their weight with age. Pure.

The buckets are spaced logarithmically, so that a distribution takes little memory and tells for
each age of a request how long it is still expected to take.
"""

import math
from array import array
from dataclasses import dataclass, field

MIN_TIME_MS = 0.5
BUCKETS_PER_OCTAVE = 3
BUCKETS = 60
# Edges of the buckets, in ms; shorter and longer times count in the first and the last one.
EDGES_MS = tuple(
    MIN_TIME_MS * math.exp2(place / BUCKETS_PER_OCTAVE) for place in range(BUCKETS + 1)
)
MAX_TIME_MS = EDGES_MS[-1]
# Each sample has this much more weight than the one before.
SAMPLE_GROWTH = 1.01
# Time after which a sample has half its weight.
HALF_LIFE_S = 600.0
# Weights are scaled down when the newest one exceeds this.
MAX_SCALE = 1e12
# A distribution is computed anew after this share of new samples.
REFRESH_SHARE = 1.0 / 16.0


def bucket_of(time_ms: float) -> int:
    """Return the bucket of a time.

    >>> [bucket_of(time_ms) for time_ms in (0.0, 0.6, 1.0, 1e12)]
    [0, 0, 3, 59]
    """
    if time_ms <= MIN_TIME_MS:
        return 0
    place = int(BUCKETS_PER_OCTAVE * math.log2(time_ms / MIN_TIME_MS) + 1e-9)
    return min(BUCKETS - 1, place)


@dataclass(frozen=True, slots=True)
class Distribution:
    """A distribution of times that does not change.

    Attributes:
        survival: Probability that a time reaches each edge of the buckets.
        tail_ms: Integral of the probability from each edge on, in ms.
    """

    survival: "array[float]"
    tail_ms: "array[float]"

    @property
    def mean_ms(self) -> float:
        """The mean."""
        return MIN_TIME_MS + self.tail_ms[0]

    def beyond(self, time_ms: float) -> tuple[float, float]:
        """Return the probability of a longer time, and its integral from this time on, in ms."""
        if time_ms <= MIN_TIME_MS:
            return 1.0, MIN_TIME_MS - time_ms + self.tail_ms[0]
        if time_ms >= MAX_TIME_MS:
            return 0.0, 0.0
        place = bucket_of(time_ms)
        start_ms, end_ms = EDGES_MS[place], EDGES_MS[place + 1]
        before, after = self.survival[place], self.survival[place + 1]
        survival = before + (time_ms - start_ms) / (end_ms - start_ms) * (after - before)
        width_ms = end_ms - time_ms
        return survival, self.tail_ms[place + 1] + width_ms * (survival + after) / 2.0

    def survival_at(self, time_ms: float) -> float:
        """Return the probability of a longer time."""
        return self.beyond(time_ms)[0]


def _distribution(weights: "array[float]") -> Distribution:
    total = sum(weights)
    survival = array("d", bytes(8 * (BUCKETS + 1)))
    tail_ms = array("d", bytes(8 * (BUCKETS + 1)))
    above = 0.0
    for place in range(BUCKETS - 1, -1, -1):
        before = above
        above += weights[place] / total
        survival[place] = above
        width_ms = EDGES_MS[place + 1] - EDGES_MS[place]
        tail_ms[place] = tail_ms[place + 1] + width_ms * (above + before) / 2.0
    return Distribution(survival, tail_ms)


def log_normal(median_ms: float, deviation: float) -> Distribution:
    """Return a distribution whose logarithms are normal with this standard deviation."""
    weights = array("d", bytes(8 * BUCKETS))
    for place in range(BUCKETS):
        middle_ms = math.sqrt(EDGES_MS[place] * EDGES_MS[place + 1])
        offset = math.log(middle_ms / median_ms) / deviation
        weights[place] = math.exp(-offset * offset / 2.0)
    return _distribution(weights)


@dataclass(slots=True)
class CostHistogram:
    """A histogram of times in which old samples lose their weight.

    Attributes:
        weights: Weights of the samples by bucket, multiplied by `scale`.
        total: Sum of the weights.
        scale: Weight of a sample now.
        updated_at_s: Monotonic time of the last sample.
    """

    weights: "array[float]" = field(default_factory=lambda: array("d", bytes(8 * BUCKETS)))
    total: float = 0.0
    scale: float = 1.0
    updated_at_s: float = 0.0
    _distribution: Distribution | None = None
    _refresh_at_total: float = 0.0

    def count(self, now_s: float) -> float:
        """Return the number of samples, weighted by their age."""
        age_s = max(0.0, now_s - self.updated_at_s)
        return self.total / self.scale * math.exp2(-age_s / HALF_LIFE_S)

    def observe(self, time_ms: float, now_s: float) -> None:
        """Add a sample."""
        age_s = max(0.0, now_s - self.updated_at_s) if self.total else 0.0
        self.scale *= SAMPLE_GROWTH * math.exp2(min(64.0, age_s / HALF_LIFE_S))
        self.updated_at_s = max(now_s, self.updated_at_s)
        if self.scale > MAX_SCALE:
            self._rescale()
        self.weights[bucket_of(time_ms)] += self.scale
        self.total += self.scale

    def _rescale(self) -> None:
        for place in range(BUCKETS):
            self.weights[place] /= self.scale
        self.total /= self.scale
        self._refresh_at_total /= self.scale
        self.scale = 1.0

    def distribution(self) -> Distribution:
        """Return the distribution; at least one sample is needed."""
        if self._distribution is None or self.total >= self._refresh_at_total:
            self._distribution = _distribution(self.weights)
            self._refresh_at_total = self.total + REFRESH_SHARE * self.total
        return self._distribution
