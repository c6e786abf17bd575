"""Engines of unequal pace: 45 engines, 76 gateways, requests in clumps.

Two thirds of the engines take 0.7 times as long as usual, one third 1.7 times. While gateways
don't use that, the busiest engine for its pace gets half as much again as the mean.
"""

import pytest

from tests.patterns.engine_site import EnginePaces, even_site

NOISE_SHARE = 0.15
SECONDS = 40
# Share of the requests at the slow third if all engines have as much to do for their pace.
SLOW_SHARE = (1 / 1.7) / (1 / 1.7 + 2 / 0.7)
MAX_SHARE_DEVIATION = 0.1


def slow_share(outcome):
    slow = sum(count for number, count in outcome.by_engine.items() if number % 3 == 2)
    return slow / sum(outcome.by_engine.values())


def busiest(outcome, factors):
    """Ratio of the requests of the busiest engine for its pace to the mean."""
    work = [count * factors[number % 3] for number, count in outcome.by_engine.items()]
    return max(work) * len(work) / sum(work)


def run(seed, rate, noise_share, is_used, absurd_share=0.0, **more):
    paces = EnginePaces(noise_share=noise_share, absurd_share=absurd_share, is_used=is_used)
    return even_site(seed, rate=rate, paces=paces, **more).run(SECONDS)


@pytest.mark.parametrize(("rate", "max_busiest"), [(120.0, 1.45), (200.0, 1.3)])
@pytest.mark.parametrize("seed", [1, 2])
def test_engines_get_work_in_proportion_to_their_speed(seed, rate, max_busiest):
    before, outcome = (run(seed, rate, 0.0, is_used) for is_used in (False, True))
    factors = EnginePaces().factors
    # At the lower rate, chance alone makes 1.3 of it where all engines have the same pace.
    assert busiest(outcome, factors) < min(max_busiest, busiest(before, factors))
    assert abs(slow_share(outcome) - SLOW_SHARE) < MAX_SHARE_DEVIATION
    assert outcome.in_time_share >= before.in_time_share
    assert outcome.late_first <= before.late_first / 2


# At the higher rate the engines are overloaded together, and more first events stay late.
@pytest.mark.parametrize(("rate", "max_late_ratio"), [(120.0, 0.5), (200.0, 0.6)])
@pytest.mark.parametrize("seed", [1, 2])
def test_fewer_streams_are_late_under_the_noise_of_neighbours(seed, rate, max_late_ratio):
    before, outcome = (run(seed, rate, NOISE_SHARE, is_used) for is_used in (False, True))
    assert outcome.late_first <= before.late_first * max_late_ratio
    assert outcome.paused <= before.paused / 2
    assert outcome.timed_out <= before.timed_out
    assert abs(slow_share(outcome) - SLOW_SHARE) < MAX_SHARE_DEVIATION


@pytest.mark.parametrize("seed", [1, 2])
def test_fewer_streams_are_late_while_no_member_is_reached(seed):
    before, outcome = (
        run(seed, 120.0, NOISE_SHARE, is_used, shares_use=False) for is_used in (False, True)
    )
    assert outcome.late_first + outcome.paused < (before.late_first + before.paused) * 0.7


@pytest.mark.parametrize("seed", [1, 2])
def test_fewer_streams_are_late_although_a_tenth_of_the_reports_are_absurd(seed):
    before = run(seed, 120.0, NOISE_SHARE, False)
    outcome = run(seed, 120.0, NOISE_SHARE, True, absurd_share=0.1)
    assert outcome.late_first <= before.late_first / 2
    assert outcome.paused <= before.paused / 2
