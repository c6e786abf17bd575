"""A request that ends every replica that reads it, sent again and again through all gateways."""

import asyncio
import contextlib
import secrets
import time
from random import Random

import aiohttp

from crowsill.gateway.dialect import HeaderNames
from crowsill.model.suspects import CRASH_LIMIT
from crowsill_lab.soak.ledger import CRASHING, Ledger
from crowsill_lab.soak.operator import HOST_NAME
from crowsill_lab.soak.site import Gateway
from crowsill_lab.soak.tenants import STEADY_KEY

NAMES = HeaderNames()
TIMEOUT_S = 5.0
LONGEST_PAUSE_S = 0.6
# So long after the end that makes it known, in a calm, nobody sends it to a replica any more.
KNOWN_AFTER_S = 3.0


class Culprit:
    """One such request and its caller."""

    def __init__(self, gateways: list[Gateway], ledger: Ledger, random: Random) -> None:
        self._gateways = gateways
        self._ledger = ledger
        self._random = random
        self._body = CRASHING + secrets.token_hex(8).encode()

    async def run(self) -> None:
        """Send it to one gateway after the other until cancelled."""
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._send(session, self._random.choice(self._gateways))
                await asyncio.sleep(self._random.random() * LONGEST_PAUSE_S)

    async def _send(self, session: aiohttp.ClientSession, gateway: Gateway) -> None:
        path = self._random.choice(["/safe/c", "/once/c"])
        headers = {
            "Host": HOST_NAME,
            NAMES.request_id.decode(): secrets.token_hex(8),
            "Authorization": f"Bearer {STEADY_KEY.key}",
        }
        url = f"http://{gateway.host}:{gateway.callers}{path}"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.post(url, data=self._body, headers=headers) as response:
                await response.read()

    async def check(self, when: str) -> None:
        """In a calm: once it has ended enough replicas, no gateway sends it to another one."""
        ends_s = self._ledger.crashes_s.get(self._body, [])
        # Each of its two paths is a request of its own.
        known = len(ends_s) >= 2 * CRASH_LIMIT and time.monotonic() - ends_s[-1] > KNOWN_AFTER_S
        if not known:
            return
        before = len(ends_s)
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for gateway in self._gateways:
                await self._send(session, gateway)
        if len(ends_s) > before:
            self._ledger.broken(f"{when}: {self._body!r} ended {len(ends_s)} replicas")
