"""Engines that join beside full ones, and hold what is asked for most.

Replicas that were added stayed idle while requests queued at the others, as users saw it. Here,
where gateways know only what they have there themselves, the engine that got least had 0.26 and
0.07 of the mean of its zone (two seeds): a new connection costs more than what they see of queues.
"""

from collections import Counter

import pytest

from tests.patterns.engine_site import ZONES, popular_site

JOINED_S = 8.0
JOINED = 12
# The aim: within two seconds a joined engine has its share, and is not swamped.
SETTLED_S = 2.0
LEAST_SHARE, MOST_SHARE = 0.5, 1.8


@pytest.mark.parametrize("seed", [1, 2])
def test_engines_that_join_get_their_share_within_two_seconds(seed):
    site = popular_site(seed, rate=300.0, engines=48)
    site.join(JOINED_S, [["m0", "m1"]] * JOINED)
    outcome = site.run(40)
    counts = Counter(
        number
        for sent_s, number, model in outcome.sent_s
        if sent_s >= JOINED_S + SETTLED_S and model in ("m0", "m1")
    )
    for number in range(48, 48 + JOINED):
        # Gateways prefer the engines of their own zone while these have room.
        in_zone = [counts[other] for other in counts if other % ZONES == number % ZONES]
        mean = sum(in_zone) / len(in_zone)
        assert LEAST_SHARE * mean <= counts[number] <= MOST_SHARE * mean


@pytest.mark.parametrize("seed", [1, 2])
def test_engines_that_join_are_not_swamped_at_once(seed):
    site = popular_site(seed, rate=300.0, engines=48)
    site.join(JOINED_S, [["m0", "m1"]] * JOINED)
    outcome = site.run(20)
    first = Counter(
        number
        for sent_s, number, model in outcome.sent_s
        if JOINED_S <= sent_s < JOINED_S + SETTLED_S and model in ("m0", "m1")
    )
    mean = sum(first.values()) / len(first)
    assert max(first[number] for number in range(48, 48 + JOINED)) <= 2 * MOST_SHARE * mean
