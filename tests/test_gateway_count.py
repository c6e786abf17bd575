"""How many gateways share the limits that apply to all of them together.

A gateway that had just started divided by eight for ten seconds, whatever the site has: with three
gateways it took 3/8 of its part of the connections to a replica.
"""

from random import Random

import pytest

from crowsill.control.subscribers import ENTRY_EXPIRY_S, LiveEntries
from crowsill.gateway.gateway_count import INITIAL_GATEWAYS, WINDOW_S, GatewayCount
from crowsill.transport.messages import Freshness
from tests.gateway_world import respond_ok, run, world


@pytest.mark.parametrize("gateways", [1, 3, 9, 91])
def test_a_complete_count_is_in_force_at_once(gateways):
    count = GatewayCount()
    count.note(gateways, 0.0, is_complete=True)
    assert count.maximum() == gateways


def test_an_incomplete_count_lowers_nothing_before_all_have_reported():
    count = GatewayCount()
    for second in range(int(WINDOW_S)):
        count.note(1 + second // 4, float(second))
        assert count.maximum() >= INITIAL_GATEWAYS


@pytest.mark.parametrize("seed", range(20))
def test_shares_add_up_to_no_more_than_the_whole_under_new_leaders(seed):
    """Leaders change, gateways start; a new leader learns of one gateway after the other."""
    random = Random(seed)
    gateways = random.choice([3, 8, 30])
    counts = {number: GatewayCount() for number in range(gateways)}
    leader_since_s, now_s = 0.0, 0.0
    while now_s < 60.0:
        now_s += 0.5
        led_s = now_s - leader_since_s
        if led_s > WINDOW_S / 2.0 and random.random() < 0.05:
            leader_since_s, led_s = now_s, 0.0
        known = min(gateways, max(1, int(gateways * led_s)))
        if random.random() < 0.1:
            counts[random.randrange(gateways)] = GatewayCount()
        for count in counts.values():
            count.note(known, now_s, is_complete=led_s >= ENTRY_EXPIRY_S)
        shares = sum(1.0 / count.maximum() for count in counts.values())
        # Under a new leader, those that have just started assume the lowest number.
        assert shares <= 1.0 or led_s < ENTRY_EXPIRY_S
        if led_s >= ENTRY_EXPIRY_S:
            assert all(count.maximum() == gateways for count in counts.values())


def test_a_leader_has_counted_all_once_each_must_have_reported_in_its_term():
    entries = LiveEntries()
    assert not entries.has_all(2, 100.0)
    assert not entries.has_all(2, 100.0 + ENTRY_EXPIRY_S / 2.0)
    assert entries.has_all(2, 100.0 + ENTRY_EXPIRY_S)
    assert not entries.has_all(3, 100.0 + ENTRY_EXPIRY_S)


@pytest.mark.parametrize(("has_all", "expected"), [(True, 3), (False, INITIAL_GATEWAYS)])
def test_a_gateway_that_starts_takes_the_count_of_a_leader_that_has_counted_all(has_all, expected):
    async def scenario():
        async with world(respond_ok) as played:
            played.role._follower._pending_freshness = Freshness(0, 3, has_all_entries=has_all)
            played.role._follower._report_if_current()
            assert played.role.gateways == expected

    run(scenario())
