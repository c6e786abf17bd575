"""Estimates of what requests cost, from what similar ones cost."""

import math
import tracemalloc
from random import Random

import pytest

from crowsill.routing.cost_histogram import EDGES_MS, MAX_TIME_MS, CostHistogram
from crowsill.routing.request_cost import MAX_HINT_MODELS, MAX_KINDS, CostModel, RequestKind

SEEDS = [1, 2]
# A request is sent well if half of the estimates are this near, and nine in ten within a factor.
MEDIAN_BOUNDS = (0.8, 1.25)
MAX_RATIO = 3.0
MAX_BYTES = 5_000_000


def kind(tenant="t", model="m", *, hint=None, prior_ms=100.0, shape="4"):
    return RequestKind("s", model, shape, tenant, prior_ms, hint)


def log_normal(random, median_ms, deviation=0.5):
    return median_ms * math.exp(random.gauss(0.0, deviation))


def ratios_of(model, random, draw, first, last):
    """Return estimate over actual cost of the requests from the first to the last number."""
    ratios = []
    for number in range(last):
        requested, cost_ms = draw(random, number)
        estimate = model.estimate(requested, number * 0.1)
        if number >= first:
            ratios.append(estimate.quantile_ms(0.5) / cost_ms)
        model.observe(requested, cost_ms, number * 0.1)
    return sorted(ratios)


def assert_near(ratios):
    assert MEDIAN_BOUNDS[0] <= ratios[len(ratios) // 2] <= MEDIAN_BOUNDS[1]
    assert ratios[int(0.9 * len(ratios))] <= MAX_RATIO


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("median_ms", [3.0, 90.0, 4000.0])
def test_estimates_are_near_after_200_requests(seed, median_ms):
    def draw(random, _number):
        return kind(), log_normal(random, median_ms)

    assert_near(ratios_of(CostModel(), Random(seed), draw, 200, 600))


@pytest.mark.parametrize("seed", SEEDS)
def test_estimates_follow_a_model_whose_cost_drifts(seed):
    # It doubles with every 400 requests.
    def draw(random, number):
        return kind(), log_normal(random, 50.0 * 2.0 ** (number / 400.0))

    assert_near(ratios_of(CostModel(), Random(seed), draw, 200, 1200))


@pytest.mark.parametrize("seed", SEEDS)
def test_a_tenant_with_long_outputs_is_told_from_the_others(seed):
    def draw(random, number):
        is_long = number % 4 == 0
        return kind("long" if is_long else "short"), log_normal(random, 3000 if is_long else 200)

    model = CostModel()
    assert_near(ratios_of(model, Random(seed), draw, 200, 800))
    expected_ms = [model.estimate(kind(name), 80.0).mean_ms for name in ("short", "new", "long")]
    assert expected_ms[0] < expected_ms[1] < expected_ms[2]


def test_a_tenant_with_few_requests_is_estimated_by_its_model():
    model, random = CostModel(), Random(1)
    for number in range(200):
        model.observe(kind(f"t{number % 20}"), log_normal(random, 400.0), number * 0.1)
    model.observe(kind("rare"), 4000.0, 20.0)
    assert 300.0 < model.estimate(kind("rare"), 20.0).mean_ms < 1100.0
    assert 300.0 < model.estimate(kind("unknown"), 20.0).mean_ms < 800.0


def error_with_hints(seed, hint_of, with_hints):
    """Return the mean error of the logarithms, of estimates with or without hints."""

    def draw(random, _number):
        cost_ms = log_normal(random, 800.0, 0.9)
        hint = hint_of(random, cost_ms / 10.0)
        return kind(hint=hint if with_hints else None), cost_ms

    ratios = ratios_of(CostModel(), Random(seed), draw, 200, 1200)
    return sum(abs(math.log(ratio)) for ratio in ratios) / len(ratios), ratios


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    ("hint_of", "max_share"),
    [
        (lambda random, length: length * math.exp(random.gauss(0.0, 0.2)), 0.45),
        (lambda random, length: length * random.choice((0.25, 1.0, 1.0, 4.0)), 0.95),
        (lambda random, _length: 10.0 ** random.uniform(0.0, 4.0), 1.02),
        (lambda _random, _length: 64.0, 1.02),
    ],
    ids=["right", "off by four", "useless", "constant"],
)
def test_a_hint_counts_as_much_as_hints_were_right(seed, hint_of, max_share):
    with_hints, ratios = error_with_hints(seed, hint_of, True)
    without, _ = error_with_hints(seed, hint_of, False)
    assert with_hints <= max_share * without
    assert MEDIAN_BOUNDS[0] <= ratios[len(ratios) // 2] <= MEDIAN_BOUNDS[1]


def test_a_request_that_outruns_the_short_ones_is_expected_to_be_long():
    model = CostModel()
    for number in range(300):
        model.observe(kind(), 200.0 if number % 10 == 0 else 20.0, number * 0.1)
    estimate = model.estimate(kind(), 30.0)
    assert 30.0 < estimate.mean_ms < 50.0
    assert estimate.remaining_ms(10.0) < estimate.remaining_ms(40.0)
    assert 120.0 < estimate.remaining_ms(40.0) < 220.0
    assert 20.0 < estimate.remaining_ms(160.0) < 80.0


@pytest.mark.parametrize("age_ms", [1e3, 1e5, 1e7])
def test_a_request_that_outruns_all_that_was_seen_keeps_counting(age_ms):
    model = CostModel()
    for number in range(300):
        model.observe(kind(), 20.0, number * 0.1)
    remaining_ms = model.estimate(kind(), 30.0).remaining_ms(age_ms)
    assert min(age_ms / 3.0, MAX_TIME_MS) <= remaining_ms <= MAX_TIME_MS


def test_requests_that_are_cancelled_early_do_not_look_short():
    model, random = CostModel(), Random(1)
    for number in range(400):
        now_s, cost_ms = number * 0.1, log_normal(random, 1000.0, 0.3)
        estimate = model.estimate(kind(), now_s)
        left_at_ms = random.uniform(0.0, 1500.0)
        if left_at_ms < cost_ms:
            model.observe_cancelled(estimate, left_at_ms, now_s)
        else:
            model.observe(kind(), cost_ms, now_s)
    assert 750.0 < model.estimate(kind(), 40.0).mean_ms < 1500.0


def test_what_was_seen_long_ago_gives_way_to_the_prior():
    model = CostModel()
    for number in range(300):
        model.observe(kind(), 5000.0, number * 0.1)
    assert model.estimate(kind(), 30.0).mean_ms > 4000.0
    assert model.estimate(kind(), 30.0 + 6 * 3600.0).mean_ms < 150.0


def test_without_samples_the_prior_is_the_estimate():
    estimate = CostModel().estimate(kind(prior_ms=70.0, hint=900.0), 0.0)
    assert estimate.mean_ms == pytest.approx(70.0, rel=0.01)
    assert estimate.quantile_ms(0.1) < 35.0
    assert estimate.quantile_ms(0.9) > 120.0


def test_memory_is_bounded_with_thousands_of_labels():
    tracemalloc.start()
    try:
        model = CostModel()
        for number in range(12_000):
            name = f"tenant {number % 6000}"
            requested = kind(name, f"m{number % 700}", hint=float(number % 50 + 1))
            model.estimate(requested, number * 0.01)
            model.observe(requested, 100.0, number * 0.01)
            model.estimate(requested, number * 0.01)
        used_bytes = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert model.kinds == MAX_KINDS and model.hint_models == MAX_HINT_MODELS
    assert used_bytes < MAX_BYTES
    # The general kind outlives those of single tenants.
    assert 80.0 < model.estimate(kind("never seen", "m-new"), 120.0).mean_ms < 125.0


@pytest.mark.parametrize("cost_ms", [math.nan, math.inf, -math.inf, -5.0])
def test_times_that_are_none_are_ignored(cost_ms):
    model = CostModel()
    model.observe(kind(), cost_ms, 0.0)
    assert model.kinds == 0


@pytest.mark.parametrize("hint", [math.nan, math.inf, -3.0, 0.0, 1e300, 1e-300])
def test_absurd_hints_do_no_harm(hint):
    model = CostModel()
    for number in range(100):
        model.observe(kind(hint=hint if number % 2 else 10.0), 100.0, number * 0.1)
    for asked in (hint, 10.0):
        estimate = model.estimate(kind(hint=asked), 10.0)
        assert 60.0 < estimate.mean_ms < 160.0 and math.isfinite(estimate.remaining_ms(1e9))


def test_extreme_times_count_in_the_outermost_buckets():
    histogram = CostHistogram()
    for time_ms in (0.0, 1e300):
        histogram.observe(time_ms, 0.0)
    distribution = histogram.distribution()
    assert distribution.survival_at(0.0) == 1.0 and distribution.survival_at(1e300) == 0.0
    assert distribution.mean_ms < EDGES_MS[-1]


def test_a_clock_that_does_not_advance_or_jumps_far_keeps_weights_finite():
    histogram = CostHistogram()
    for number in range(20_000):
        histogram.observe(50.0, 0.0 if number % 3 else number * 1000.0)
    assert 1.0 <= histogram.count(histogram.updated_at_s) <= 101.0
    assert 40.0 < histogram.distribution().mean_ms < 60.0
