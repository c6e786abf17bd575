"""Retries of a service over all gateways, while gateways and members restart.

Guards against gateways that renewed their part of the retry budget with each start: after a power
cut a service got more retries in 10 s than its budget.
"""

import asyncio
import contextlib

import pytest

from tests.retry_site import SETTLED_S, RetrySite

# Part of the budget that any window may use.
MAX_SHARE = 0.9
RATE_PER_S = 24.0


def machines(site):
    return site.site.machines


def gateways(site):
    return site.site.fronts


def members(site):
    return site.site.core


async def play(folder, restarts, rate_per_s):
    """Restart machines, each after a pause, while all replicas fail; return the worst window."""
    site = RetrySite(folder)
    try:
        await site.start()
        await site.send(rate_per_s, SETTLED_S)
        site.fail_everything()
        sent_s = sum(pause_s for pause_s, _ in restarts) + 12.0
        sending = asyncio.create_task(site.send(rate_per_s, sent_s))
        for pause_s, restarted in restarts:
            await asyncio.sleep(pause_s)
            await asyncio.to_thread(site.restart, restarted(site))
        await sending
    finally:
        with contextlib.suppress(Exception):
            await site.stop()
    return site.worst_window()


@pytest.mark.parametrize(
    "restarts",
    [
        pytest.param([(4.0, machines)], id="power_cut"),
        pytest.param([(4.0, machines)] * 2, id="two_power_cuts"),
        pytest.param([(4.0, gateways), *[(2.8, gateways)] * 2], id="all_gateways_three_times"),
        pytest.param(
            [(1.0, members), (1.5, gateways), (2.0, members), (0.5, machines), (3.0, gateways)],
            id="members_and_gateways",
        ),
    ],
)
def test_retries_stay_within_their_budget_while_processes_restart(tmp_path, restarts):
    retries, allowed = asyncio.run(play(tmp_path, restarts, RATE_PER_S))
    print(f"worst window: {retries} retries of {allowed:.0f}")
    assert retries <= MAX_SHARE * allowed


def test_retries_are_sent_while_nothing_restarts(tmp_path):
    retries, allowed = asyncio.run(play(tmp_path, [], RATE_PER_S))
    print(f"worst window: {retries} retries of {allowed:.0f}")
    assert 0.6 * allowed <= retries <= MAX_SHARE * allowed
