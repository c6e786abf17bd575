"""Measures how late the event loop of a test ran: all that happens in it is late by as much."""

import asyncio
import gc
import time

INTERVAL_S = 0.02


class LoopLag:
    """The longest lag of the event loop within an `async with` block.

    Attributes:
        longest_s: That lag in seconds.
        collecting_s: Time that the garbage collector took within the block, in seconds.
    """

    def __init__(self):
        self.longest_s = 0.0
        self.collecting_s = 0.0
        self._began_at_s = 0.0
        self._measuring = None

    async def __aenter__(self):
        self._measuring = asyncio.create_task(self._measure())
        gc.callbacks.append(self._note_collection)
        return self

    def _note_collection(self, phase, _info):
        now_s = time.monotonic()
        if phase == "start":
            self._began_at_s = now_s
        else:
            self.collecting_s += now_s - self._began_at_s

    async def _measure(self):
        while True:
            due_at_s = time.monotonic() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            self.longest_s = max(self.longest_s, time.monotonic() - due_at_s)

    async def __aexit__(self, *_):
        self._measuring.cancel()
        gc.callbacks.remove(self._note_collection)
