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


async def play(folder, restarted, pauses_s, rate_per_s):
    """Restart machines after each pause while all replicas fail; return the worst window."""
    site = RetrySite(folder)
    try:
        await site.start()
        await site.send(rate_per_s, SETTLED_S)
        site.fail_everything()
        sending = asyncio.create_task(site.send(rate_per_s, sum(pauses_s) + 12.0))
        for pause_s in pauses_s:
            await asyncio.sleep(pause_s)
            await asyncio.to_thread(site.restart, restarted(site))
        await sending
    finally:
        with contextlib.suppress(Exception):
            await site.stop()
    return site.worst_window()


@pytest.mark.parametrize(
    ("restarted", "pauses_s"),
    [
        pytest.param(machines, (4.0,), id="power_cut"),
        pytest.param(machines, (4.0, 4.0), id="two_power_cuts"),
        pytest.param(gateways, (4.0, 2.8, 2.8), id="all_gateways_three_times"),
    ],
)
def test_retries_stay_within_their_budget_while_processes_restart(tmp_path, restarted, pauses_s):
    retries, allowed = asyncio.run(play(tmp_path, restarted, pauses_s, RATE_PER_S))
    print(f"worst window: {retries} retries of {allowed:.0f}")
    assert retries <= MAX_SHARE * allowed


def test_retries_are_sent_while_nothing_restarts(tmp_path):
    retries, allowed = asyncio.run(play(tmp_path, gateways, (), RATE_PER_S))
    print(f"worst window: {retries} retries of {allowed:.0f}")
    assert 0.6 * allowed <= retries <= MAX_SHARE * allowed
