"""A request that ends every replica that reads it, sent again and again through all gateways."""

import asyncio
import contextlib
import secrets
import time
from random import Random

import aiohttp

from crowsill.gateway.headers import HeaderNames
from crowsill.model.suspects import CRASH_LIMIT, SIMULTANEOUS_CRASH_WINDOW_S
from crowsill_lab.soak.ledger import CRASHING, Ledger
from crowsill_lab.soak.operator import HOST_NAME
from crowsill_lab.soak.site import Gateway
from crowsill_lab.soak.tenants import STEADY_KEY

NAMES = HeaderNames()
PATHS = ("/safe/c", "/once/c")
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
                gateway = self._random.choice(self._gateways)
                await self._send(session, gateway, self._random.choice(PATHS))
                await asyncio.sleep(self._random.random() * LONGEST_PAUSE_S)

    async def _send(self, session: aiohttp.ClientSession, gateway: Gateway, path: str) -> None:
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
        """In a calm: once it has ended enough replicas, no gateway sends it to another one.

        Each of its paths is a request of its own.
        """
        for path in PATHS:
            await self._check_path(path, when)

    async def _check_path(self, path: str, when: str) -> None:
        ends_s = self._ledger.crashes_s.get((path, self._body), [])
        if not is_known(ends_s, time.monotonic()):
            return
        before = len(ends_s)
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for gateway in self._gateways:
                await self._send(session, gateway, path)
        if len(ends_s) > before:
            self._ledger.broken(f"{when}: {path} {self._body!r} ended {len(ends_s)} replicas")


def is_known(ends_s: list[float], now_s: float) -> bool:
    """Whether a request that ended replicas at these clocks is to be held back by now.

    Ends of one moment may count once; more than the limit are enough wherever they lie.

    >>> is_known([1.0, 2.0, 3.0], 9.0), is_known([1.0, 2.0, 3.0], 5.0)
    (True, False)
    >>> is_known([1.0, 1.1, 3.0], 9.0), is_known([1.0, 1.1, 3.0, 4.0], 9.0)
    (False, True)
    """
    if not ends_s or now_s - ends_s[-1] <= KNOWN_AFTER_S:
        return False
    apart, last_s = 0, float("-inf")
    for end_s in ends_s:
        if end_s - last_s >= SIMULTANEOUS_CRASH_WINDOW_S:
            apart, last_s = apart + 1, end_s
    return apart >= CRASH_LIMIT or len(ends_s) > CRASH_LIMIT
