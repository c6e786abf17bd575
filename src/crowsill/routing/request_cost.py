"""Estimates what requests cost a replica, from what similar ones cost. Pure.

Kinds of requests form a hierarchy: service, model or route, size, tenant. The estimate of a request
is a mixture of the distributions of its kinds. A kind with few samples has little weight, and what
remains is left to the more general one and at last to a prior.

A caller's hint of the length counts as much as earlier hints for the model explained.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from crowsill.routing.cost_histogram import (
    MAX_TIME_MS,
    CostHistogram,
    Distribution,
    log_normal,
)

# Samples with which a kind has half of the weight that more specific ones leave.
HALF_WEIGHT_SAMPLES = 10.0
HALF_WEIGHT_SERVICE_SAMPLES = 1.0
HALF_WEIGHT_HINTS = 20.0
MAX_KINDS = 1500
MAX_HINT_MODELS = 300
# Weight of a sample of hints relative to the next one.
HINT_DECAY = 0.99
# Variance of the logarithms of hints below which they tell nothing from one another.
MIN_HINT_VARIANCE = 0.01
MAX_HINT = 1e7
# Deviation of the logarithm of the cost of an unknown kind: a factor of three.
PRIOR_DEVIATION = math.log(3.0)
# The prior and the residuals of hints are distributions around this time, scaled.
REFERENCE_MS = 500.0
# A request that has run longer than all that was seen is expected to run half as long again.
OUTRUN_SHARE = 0.5
# Below this probability a distribution says nothing about the remaining time.
MIN_SURVIVAL = 1e-3
# Less than this weight is not left to more general kinds.
MIN_PART_WEIGHT = 0.01
MIN_QUANTILE_MS = 0.1
# Ratio of the bounds between which a quantile is known.
QUANTILE_PRECISION = 1.04

_PRIOR = log_normal(REFERENCE_MS, PRIOR_DEVIATION)
_PRIOR_MEAN = _PRIOR.mean_ms / REFERENCE_MS

KindKey = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RequestKind:
    """What is known of a request when it arrives.

    Attributes:
        service: Its service.
        work: Its model; for a plain service route and method.
        shape: Adapter and size.
        tenant: Its tenant; empty without one.
        prior_ms: Expected cost before any similar request was seen.
        hint: The caller's hint of the length; None without one.
    """

    service: str
    work: str
    shape: str
    tenant: str
    prior_ms: float
    hint: float | None = None

    def levels(self) -> tuple[KindKey, ...]:
        """Return the keys of its kinds, the most specific one first."""
        return (
            (self.service, self.work, self.shape, self.tenant),
            (self.service, self.work, self.shape),
            (self.service, self.work),
            (self.service,),
        )


@dataclass(frozen=True, slots=True)
class MixturePart:
    """A distribution in a mixture.

    Attributes:
        weight: Its weight.
        distribution: The distribution.
        scale: Factor on its times.
    """

    weight: float
    distribution: Distribution
    scale: float = 1.0


@dataclass(frozen=True, slots=True)
class CostEstimate:
    """The expected cost of a request at a replica of usual pace.

    Attributes:
        kind: The kind of the request.
        parts: The mixture of distributions; the weights add up to 1.
        mean_ms: The mean.
    """

    kind: RequestKind
    parts: tuple[MixturePart, ...]
    mean_ms: float

    def survival_at(self, time_ms: float) -> float:
        """Return the probability that it costs more than this time."""
        return sum(
            part.weight * part.distribution.survival_at(time_ms / part.scale) for part in self.parts
        )

    def quantile_ms(self, share: float) -> float:
        """Return the cost that this share of such requests stays below."""
        low_ms, high_ms = 0.0, MAX_TIME_MS
        while high_ms > max(low_ms, MIN_QUANTILE_MS) * QUANTILE_PRECISION:
            # On a logarithmic scale, since costs span several orders of magnitude.
            middle_ms = math.sqrt(max(low_ms, MIN_QUANTILE_MS) * high_ms)
            if self.survival_at(middle_ms) > 1.0 - share:
                low_ms = middle_ms
            else:
                high_ms = middle_ms
        return math.sqrt(max(low_ms, MIN_QUANTILE_MS) * high_ms)

    def remaining_ms(self, age_ms: float) -> float:
        """Return the expected cost that is left of a request that has run for this time."""
        if age_ms <= 0.0:
            return self.mean_ms
        survival = tail_ms = 0.0
        for part in self.parts:
            part_survival, part_tail_ms = part.distribution.beyond(age_ms / part.scale)
            survival += part.weight * part_survival
            tail_ms += part.weight * part.scale * part_tail_ms
        if survival < MIN_SURVIVAL:
            return min(MAX_TIME_MS, age_ms * OUTRUN_SHARE)
        return min(MAX_TIME_MS, tail_ms / survival)


@dataclass(slots=True)
class HintModel:
    """A regression of the logarithm of the cost on that of the hint, for one model.

    Attributes:
        count: Number of samples, weighted by their age.
        mean_hint: Mean of the logarithms of the hints.
        mean_cost: Mean of the logarithms of the costs.
        hint_variance: Variance of the logarithms of the hints.
        cost_variance: Variance of the logarithms of the costs.
        covariance: Covariance of both.
        residuals: Costs relative to their prediction, times `REFERENCE_MS`.
    """

    count: float = 0.0
    mean_hint: float = 0.0
    mean_cost: float = 0.0
    hint_variance: float = 0.0
    cost_variance: float = 0.0
    covariance: float = 0.0
    residuals: CostHistogram = field(default_factory=CostHistogram)

    def predicted_ms(self, hint: float) -> float:
        """Return the typical cost of a request with this hint."""
        slope = self.covariance / max(MIN_HINT_VARIANCE, self.hint_variance)
        offset = slope * (math.log(min(hint, MAX_HINT)) - self.mean_hint)
        predicted_log = min(math.log(MAX_TIME_MS), self.mean_cost + offset)
        return math.exp(max(math.log(MIN_QUANTILE_MS), predicted_log))

    def weight(self) -> float:
        """Return the weight of a hint: the share of the variance that hints explain."""
        if self.hint_variance < MIN_HINT_VARIANCE or self.cost_variance <= 0.0:
            return 0.0
        explained = self.covariance**2 / (self.hint_variance * self.cost_variance)
        return min(1.0, explained) * self.count / (self.count + HALF_WEIGHT_HINTS)

    def observe(self, hint: float, cost_ms: float, now_s: float) -> None:
        """Add a sample."""
        cost_ms = max(0.001, cost_ms)
        if self.count:
            ratio = cost_ms / self.predicted_ms(hint)
            self.residuals.observe(ratio * REFERENCE_MS, now_s)
        hint_log, cost_log = math.log(min(hint, MAX_HINT)), math.log(cost_ms)
        self.count = self.count * HINT_DECAY + 1.0
        share = 1.0 / self.count
        hint_change, cost_change = hint_log - self.mean_hint, cost_log - self.mean_cost
        self.mean_hint += share * hint_change
        self.mean_cost += share * cost_change
        kept = 1.0 - share
        self.hint_variance = kept * (self.hint_variance + share * hint_change**2)
        self.cost_variance = kept * (self.cost_variance + share * cost_change**2)
        self.covariance = kept * (self.covariance + share * hint_change * cost_change)


class CostModel:
    """Costs of the kinds of requests that one gateway has seen."""

    def __init__(self) -> None:
        self._kinds: OrderedDict[KindKey, CostHistogram] = OrderedDict()
        self._hints: OrderedDict[KindKey, HintModel] = OrderedDict()

    @property
    def kinds(self) -> int:
        """Number of kinds that are known."""
        return len(self._kinds)

    @property
    def hint_models(self) -> int:
        """Number of models for which hints are known."""
        return len(self._hints)

    def estimate(self, kind: RequestKind, now_s: float) -> CostEstimate:
        """Estimate the cost of a request; changes nothing."""
        parts: list[MixturePart] = []
        left = self._add_hint(parts, kind)
        for key in kind.levels():
            histogram = self._kinds.get(key)
            if histogram is None:
                continue
            if left <= 0.0:
                break
            count = histogram.count(now_s)
            weight = left * count / (count + HALF_WEIGHT_SAMPLES)
            left -= weight
            if left < MIN_PART_WEIGHT:
                weight += left
                left = 0.0
            parts.append(MixturePart(weight, histogram.distribution()))
        if left > 0.0:
            # The prior's mean, not its median, is the expected cost.
            scale = max(0.01, kind.prior_ms) / _PRIOR_MEAN / REFERENCE_MS
            parts.append(MixturePart(left, _PRIOR, scale))
        mean_ms = sum(part.weight * part.scale * part.distribution.mean_ms for part in parts)
        return CostEstimate(kind, tuple(parts), min(MAX_TIME_MS, mean_ms))

    def service_mean_ms(self, kind: RequestKind, now_s: float) -> float:
        """Return the mean cost of the requests of a service."""
        histogram = self._kinds.get((kind.service,))
        if histogram is None:
            return kind.prior_ms
        count = histogram.count(now_s)
        weight = count / (count + HALF_WEIGHT_SERVICE_SAMPLES)
        return weight * histogram.distribution().mean_ms + (1.0 - weight) * kind.prior_ms

    def _add_hint(self, parts: list[MixturePart], kind: RequestKind) -> float:
        """Add the estimate from the hint, if it tells anything; return the weight that is left."""
        hint, model = kind.hint, self._hints.get((kind.service, kind.work))
        if not is_usable_hint(hint) or hint is None or model is None or not model.residuals.total:
            return 1.0
        weight = model.weight()
        if weight <= 0.0:
            return 1.0
        scale = model.predicted_ms(hint) / REFERENCE_MS
        parts.append(MixturePart(weight, model.residuals.distribution(), scale))
        return 1.0 - weight

    def observe(self, kind: RequestKind, cost_ms: float, now_s: float) -> None:
        """Add the cost of a request that has ended; figures that are no times are ignored."""
        if not 0.0 <= cost_ms < math.inf:
            return
        cost_ms = min(cost_ms, MAX_TIME_MS)
        for key in kind.levels():
            histogram = self._kinds.setdefault(key, CostHistogram())
            histogram.observe(cost_ms, now_s)
            self._kinds.move_to_end(key)
        while len(self._kinds) > MAX_KINDS:
            self._kinds.popitem(last=False)
        if kind.hint is not None and is_usable_hint(kind.hint):
            key = (kind.service, kind.work)
            self._hints.setdefault(key, HintModel()).observe(kind.hint, cost_ms, now_s)
            self._hints.move_to_end(key)
            if len(self._hints) > MAX_HINT_MODELS:
                self._hints.popitem(last=False)

    def observe_cancelled(self, estimate: CostEstimate, age_ms: float, now_s: float) -> None:
        """Add a request that was cancelled at an age: it would have cost more than that."""
        if 0.0 < age_ms < math.inf:
            self.observe(estimate.kind, age_ms + estimate.remaining_ms(age_ms), now_s)


def is_usable_hint(hint: float | None) -> bool:
    """Whether a hint is a positive number."""
    return hint is not None and 0.0 < hint < math.inf
