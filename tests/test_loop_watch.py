"""Stalls of the event loop are measured, with the processor time that they took."""

import asyncio
import time

import pytest

from crowsill.loop_watch import MIN_STALL_S, LoopWatch

STALL_S = 0.6


def keep_busy(seconds):
    end_at_s = time.monotonic() + seconds
    while time.monotonic() < end_at_s:
        pass


@pytest.mark.parametrize(("stop", "is_busy"), [(time.sleep, False), (keep_busy, True)])
def test_a_stall_is_reported_with_its_processor_time(stop, is_busy):
    async def scenario():
        lags, stalls = [], []
        task = asyncio.create_task(LoopWatch(lags.append, stalls.append).run())
        await asyncio.sleep(0.05)
        stop(STALL_S)
        while not stalls:
            await asyncio.sleep(0.01)
        task.cancel()
        longest = max(stalls, key=lambda stall: stall.lag_s)
        assert longest.lag_s >= MIN_STALL_S and longest.lag_s in lags
        assert (longest.cpu_s > STALL_S / 4) is is_busy

    asyncio.run(asyncio.wait_for(scenario(), 10))
