"""Makes all replicas of a soak fail all requests, while all gateways are killed at once."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from random import Random
from typing import Protocol

MIN_FAILING_S = 2.0
MAX_FAILING_S = 6.0
MAX_PAUSE_S = 3.0
MAX_KILLS = 3


class FailingReplica(Protocol):
    """A replica that can fail the requests that it runs."""

    def fail_until(self, until_at_s: float) -> None:
        """Fail all requests until a monotonic time."""


class FailureInjector:
    """Makes all replicas fail again and again, during all other faults."""

    def __init__(
        self,
        replicas: Callable[[], list[FailingReplica]],
        kill_gateways: Callable[[], Awaitable[None]],
        random: Random,
        note: Callable[[str], None],
    ) -> None:
        """Initialize the injector.

        Args:
            replicas: Returns the current replicas.
            kill_gateways: Kills all gateways at once and starts them again.
            random: Decides when the replicas fail, and when gateways are killed meanwhile.
            note: Receives a line for each period of failures.
        """
        self._replicas = replicas
        self._kill_gateways = kill_gateways
        self._random = random
        self._note = note

    async def run(self) -> None:
        """Run until cancelled; the replicas then serve again."""
        try:
            while True:
                await asyncio.sleep(self._random.random() * MAX_PAUSE_S)
                await self._fail_once()
        finally:
            self._set_failing(time.monotonic())

    def _set_failing(self, until_at_s: float) -> None:
        for replica in self._replicas():
            replica.fail_until(until_at_s)

    async def _kill_and_start(self) -> None:
        """Kill the gateways; if cancelled meanwhile, wait until they are started again."""
        killing = asyncio.ensure_future(self._kill_gateways())
        try:
            await asyncio.shield(killing)
        finally:
            await asyncio.wait([killing])

    async def _fail_once(self) -> None:
        failing_s = MIN_FAILING_S + self._random.random() * (MAX_FAILING_S - MIN_FAILING_S)
        kills = self._random.randrange(MAX_KILLS + 1)
        until_at_s = time.monotonic() + failing_s
        self._note(f"fail all {failing_s:.1f} s, {kills} kills of all gateways")
        self._set_failing(until_at_s)
        for _ in range(kills):
            await asyncio.sleep(self._random.random() * failing_s / kills)
            await self._kill_and_start()
        await asyncio.sleep(max(0.0, until_at_s - time.monotonic()))
