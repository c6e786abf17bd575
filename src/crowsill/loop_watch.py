"""Measures how long the event loop keeps timers waiting, and reports long stalls."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

CHECK_INTERVAL_S = 0.1
# Heartbeats and leases tolerate shorter stalls; callers notice longer ones.
MIN_STALL_S = 0.25


@dataclass(frozen=True, slots=True)
class LoopStall:
    """A time during which the event loop ran no timer.

    Attributes:
        lag_s: How late a timer ran, in seconds.
        cpu_s: Processor time that the process used meanwhile, in seconds. It is far below `lag_s`
            if the process was paused or waited for a processor.
    """

    lag_s: float
    cpu_s: float


class LoopWatch:
    """Checks the event loop at regular intervals."""

    def __init__(
        self, on_lag: Callable[[float], None], on_stall: Callable[[LoopStall], None]
    ) -> None:
        """Create a watch.

        Args:
            on_lag: Receives the lag of each check, in seconds.
            on_stall: Receives each stall of at least `MIN_STALL_S`.
        """
        self._on_lag = on_lag
        self._on_stall = on_stall

    async def run(self) -> None:
        """Check until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_at_s = loop.time() + CHECK_INTERVAL_S
            cpu_s = time.process_time()
            await asyncio.sleep(CHECK_INTERVAL_S)
            lag_s = max(0.0, loop.time() - due_at_s)
            self._on_lag(lag_s)
            if lag_s >= MIN_STALL_S:
                self._on_stall(LoopStall(lag_s, time.process_time() - cpu_s))
