"""Engines that advertise a rate limit for the requests of all gateways together.

Each of two hundred gateways sends a given engine one request in a minute, so none of them can
enforce the sum. With selection alone, an engine with a limit of 1 request a second got 29 requests
within 4 s, where 11 are allowed.
"""

import pytest

from crowsill_lab.soak.limits import WINDOW_S, max_requests_in_window
from crowsill_lab.windows import max_events_in_window
from tests.patterns.engine_site import AdvertisedLimits, popular_site

STARTS_S, ENDS_S = 5.0, 20.0
# All gateways know the limit by then.
SETTLED_S = STARTS_S + 3.0


def simulate(seed, count, per_s):
    advertised_limits = AdvertisedLimits(count, per_s, STARTS_S, ENDS_S)
    return popular_site(seed, rate=200.0, engines=60, advertised_limits=advertised_limits).run(25)


def sent_to_limited(outcome, count):
    """Return when requests were sent to each limited engine after all gateways know the limit."""
    sent_s = {number: [] for number in range(count)}
    for at_s, number, _ in outcome.sent_at_s:
        if number < count and SETTLED_S <= at_s < ENDS_S:
            sent_s[number].append(at_s)
    return sent_s


@pytest.mark.parametrize("seed", [1, 2])
def test_other_engines_serve_what_limited_engines_do_not_accept(seed):
    outcome = simulate(seed, 18, 1.0)
    sent_s = sent_to_limited(outcome, 18)
    assert max(
        max_events_in_window(times_s, WINDOW_S) for times_s in sent_s.values()
    ) <= max_requests_in_window(1.0)
    # A model may be held by no other engine.
    assert outcome.rejected <= outcome.requested // 500 and outcome.in_time_share > 0.97


def test_capacity_under_the_limits_of_all_engines_is_used():
    outcome = simulate(1, 60, 3.0)
    sent_s = sent_to_limited(outcome, 60)
    assert max(
        max_events_in_window(times_s, WINDOW_S) for times_s in sent_s.values()
    ) <= max_requests_in_window(3.0)
    used = sum(map(len, sent_s.values())) / (60 * 3.0 * (ENDS_S - SETTLED_S))
    assert used >= 0.9
