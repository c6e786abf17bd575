"""Many models share few engines; some are requested every few seconds, beside high demand.

Guards against models and adapters that are requested throughout and never served, because their
loads never gain as much as they cost, or because no engine that holds their model accepts orders.
"""

from random import Random

import pytest

from tests.patterns.placement_site import PlacementSite, Traffic

ENGINES = 6
POPULAR = [f"m{number}" for number in range(10)]
RARE = [f"m{number}" for number in range(10, 26)]
ADAPTERS = 9
SHIFT_S = 8.0
SECONDS = 48.0


def crowded_site(seed):
    """Return engines that hold the popular models; a third of the rare ones is on no disk."""
    models = {name: ADAPTERS if number % 2 == 0 else 0 for number, name in enumerate(POPULAR)}
    models |= dict.fromkeys(RARE, 0)
    held = [
        [POPULAR[number % 4], POPULAR[(number + 1) % 4], POPULAR[4 + number]]
        for number in range(ENGINES)
    ]
    on_disk = [RARE[2 * number : 2 * number + 2] for number in range(ENGINES)]
    return PlacementSite(models, held, on_disk, seed)


# How demand moves between the popular models: to the next ones, far away, and in no order.
MOVES = {
    "next": list(range(10)),
    "far": [7 * number % 10 for number in range(10)],
    "no order": Random(5).sample(range(10), 10),
}


def shifting_traffic(shift):
    """Return the traffic while four of the popular models have nearly all requests."""
    traffic = {}
    for place, share in enumerate((0.5, 0.2, 0.18, 0.12)):
        name = POPULAR[(shift + place) % len(POPULAR)]
        traffic[name] = Traffic(30.0 * share, True, 2.0)
        if POPULAR.index(name) % 2 == 0:
            for number in range(1, ADAPTERS + 1):
                traffic[f"{name}/a{number}"] = Traffic(10.0 * share / ADAPTERS, True, 2.0)
    traffic |= dict.fromkeys(RARE, Traffic(0.25, False, 10.0))
    return traffic


def run_shifting(site, seconds, moves="next"):
    for shift in MOVES[moves][: int(seconds / SHIFT_S)]:
        site.traffic = shifting_traffic(shift)
        site.run(SHIFT_S)


@pytest.mark.parametrize("moves", MOVES)
@pytest.mark.parametrize("seed", range(1, 6))
def test_every_model_and_adapter_that_is_requested_throughout_is_served(seed, moves):
    site = crowded_site(seed)
    run_shifting(site, SECONDS, moves)
    assert site.never_served() == []


@pytest.mark.parametrize("seed", range(1, 6))
def test_what_an_outage_of_placement_left_unserved_is_served_after_it(seed):
    site = crowded_site(seed)
    run_shifting(site, 16.0)
    site.lose(2)
    site.is_led = False
    site.run(5.0)
    site.is_led = True
    site.requests_at_s.clear()
    site.served.clear()
    run_shifting(site, 32.0)
    assert site.never_served() == []
