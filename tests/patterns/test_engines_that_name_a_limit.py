"""Engines in need that name the requests a second which they take from all gateways together.

Each of two hundred gateways sends one such engine a request in a minute, so that none of them can
keep the sum. Where choosing alone decides, 29 came
within 4 s to one that names 1 a second, 11 allowed.
"""

import pytest

from crowsill_lab.soak.limits import WINDOW_S, max_requests_in_window
from crowsill_lab.windows import max_events_in_window
from tests.patterns.engine_site import NamedLimits, popular_site

FROM_S, TO_S = 5.0, 20.0
# All gateways know of the limit by then.
SETTLED_S = FROM_S + 3.0


def play(seed, count, per_s):
    named = NamedLimits(count, per_s, FROM_S, TO_S)
    return popular_site(seed, rate=200.0, engines=60, named=named).run(25)


def sent_to_limited(outcome, count):
    """Return when requests were sent to each engine that names a limit, as all know of it."""
    sent_s = {number: [] for number in range(count)}
    for at_s, number, _ in outcome.sent_s:
        if number < count and SETTLED_S <= at_s < TO_S:
            sent_s[number].append(at_s)
    return sent_s


@pytest.mark.parametrize("seed", [1, 2])
def test_the_others_serve_what_engines_with_a_limit_do_not_take(seed):
    outcome = play(seed, 18, 1.0)
    sent_s = sent_to_limited(outcome, 18)
    assert max(
        max_events_in_window(times_s, WINDOW_S) for times_s in sent_s.values()
    ) <= max_requests_in_window(1.0)
    # A model may have no other holder.
    assert outcome.refused <= outcome.asked // 500 and outcome.in_time_share > 0.97


def test_what_the_limits_of_all_engines_leave_is_used():
    outcome = play(1, 60, 3.0)
    sent_s = sent_to_limited(outcome, 60)
    assert max(
        max_events_in_window(times_s, WINDOW_S) for times_s in sent_s.values()
    ) <= max_requests_in_window(3.0)
    used = sum(map(len, sent_s.values())) / (60 * 3.0 * (TO_S - SETTLED_S))
    assert used >= 0.9
