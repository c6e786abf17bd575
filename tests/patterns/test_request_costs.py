"""Requests that look alike and cost different amounts of work, against counts of requests.

One in ten takes ten times as long. With counts, short requests queue behind a few long ones while
other replicas have less left to do.
"""

import pytest

from tests.patterns.cost_site import BimodalCost, CostSite
from tests.patterns.engine_site import SlowEngines, popular_site

SEEDS = [1, 2]
SECONDS = 5


def both_waits(seed, **site):
    """Return the waits with counts, and with estimates of costs."""
    return [
        CostSite(seed, cost=BimodalCost(), uses_costs=uses_costs, **site).run(SECONDS)
        for uses_costs in (False, True)
    ]


@pytest.mark.parametrize("seed", SEEDS)
def test_short_requests_wait_half_as_long_and_long_ones_do_not_starve(seed):
    counts, costs = both_waits(seed, gateways=6, replicas=12, load=0.7)
    assert costs.short_quantile_s(0.99) <= 0.5 * counts.short_quantile_s(0.99)
    assert costs.long_quantile_s(0.99) <= counts.long_quantile_s(0.99)
    assert costs.completed >= counts.completed


def test_sixty_gateways_with_old_reports_do_no_worse_than_with_counts():
    # Reports are older than most requests, so that single runs differ by a fifth.
    runs = [both_waits(seed, gateways=60, replicas=24, load=0.85) for seed in SEEDS]
    for name in ("short_quantile_s", "long_quantile_s"):
        counts_s = sum(getattr(counts, name)(0.99) for counts, _ in runs)
        costs_s = sum(getattr(costs, name)(0.99) for _, costs in runs)
        assert costs_s <= counts_s
    assert all(costs.completed >= counts.completed for counts, costs in runs)


@pytest.mark.parametrize("seed", SEEDS)
def test_replicas_that_become_slow_get_less(seed):
    # Two of twelve take three times as long for half of the time.
    slow = SlowEngines(count=2, factor=3.0, starts_at_s=2.0, ends_at_s=5.0)
    counts, costs = both_waits(seed, gateways=6, replicas=12, load=0.6, slow=slow)
    assert costs.short_quantile_s(0.99) <= 0.6 * counts.short_quantile_s(0.99)
    assert costs.completed >= counts.completed
    slow_share = sum(costs.by_replica[number] for number in range(2)) / costs.completed
    assert slow_share < 2 / 12


@pytest.mark.parametrize("seed", SEEDS)
def test_without_reports_own_work_and_load_headers_suffice(seed):
    # As after the loss of a member: no gateway learns what the others do.
    waits = []
    for uses_costs in (False, True):
        site = CostSite(
            seed, cost=BimodalCost(), uses_costs=uses_costs, gateways=6, replicas=12, load=0.7
        )
        site.shares_use = False
        waits.append(site.run(SECONDS))
    counts, costs = waits
    assert costs.short_quantile_s(0.99) <= counts.short_quantile_s(0.99)
    assert costs.completed >= counts.completed


@pytest.mark.parametrize("seed", SEEDS)
def test_streams_of_a_tenant_with_long_outputs_are_served_in_time_as_before(seed):
    # One tenant's streams are seven times as long as the other's; a tenth of 60 engines is slow.
    slow = SlowEngines(count=6, factor=5.0, starts_at_s=4.0, ends_at_s=14.0)
    outcome = popular_site(seed, rate=200.0, gateways=70, slow=slow, uses_costs=True).run(12)
    assert outcome.in_time_share >= 0.95
    assert outcome.timed_out <= 0.02 * outcome.requested
