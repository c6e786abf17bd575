"""Sends a request that crashes every replica that reads it, repeatedly through all gateways."""

import asyncio
import contextlib
import secrets
import time
from random import Random

import aiohttp

from crowsill.gateway.headers import HeaderNames
from crowsill.model.suspects import CRASH_LIMIT, SIMULTANEOUS_CRASH_WINDOW_S
from crowsill_lab.soak.ledger import CRASHING_BODY_PREFIX, Ledger
from crowsill_lab.soak.operator import HOST_NAME
from crowsill_lab.soak.site import Gateway
from crowsill_lab.soak.tenants import STEADY_KEY

NAMES = HeaderNames()
PATHS = ("/safe/c", "/once/c")
TIMEOUT_S = 5.0
MAX_PAUSE_S = 0.6
# During recovery, no gateway forwards the request from this time after its last crash on.
QUARANTINE_DELAY_S = 3.0


class CrashingRequest:
    """A request that crashes replicas, and its caller."""

    def __init__(self, gateways: list[Gateway], ledger: Ledger, random: Random) -> None:
        self._gateways = gateways
        self._ledger = ledger
        self._random = random
        self._body = CRASHING_BODY_PREFIX + secrets.token_hex(8).encode()

    async def run(self) -> None:
        """Send it to randomly chosen gateways until cancelled."""
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                gateway = self._random.choice(self._gateways)
                await self._send(session, gateway, self._random.choice(PATHS))
                await asyncio.sleep(self._random.random() * MAX_PAUSE_S)

    async def _send(self, session: aiohttp.ClientSession, gateway: Gateway, path: str) -> None:
        headers = {
            "Host": HOST_NAME,
            NAMES.request_id.decode(): secrets.token_hex(8),
            "Authorization": f"Bearer {STEADY_KEY.key}",
        }
        url = f"http://{gateway.host}:{gateway.caller_port}{path}"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.post(url, data=self._body, headers=headers) as response:
                await response.read()

    async def check(self, context: str) -> None:
        """Check during recovery that no gateway forwards it once it has crashed enough replicas.

        Each of its paths counts as a separate request.

        Args:
            context: When the check runs, for the text of a violation.
        """
        for path in PATHS:
            await self._check_path(path, context)

    async def _check_path(self, path: str, context: str) -> None:
        crashes = self._ledger.crashes.get((path, self._body), [])
        if not must_be_quarantined([crash.at_s for crash in crashes], time.monotonic()):
            return
        count_before = len(crashes)
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for gateway in self._gateways:
                await self._send(session, gateway, path)
        if len(crashes) > count_before:
            listed = "; ".join(crash.text() for crash in crashes)
            self._ledger.note_violation(
                f"{context}: {path} {self._body!r} crashed {len(crashes)} replicas: {listed}"
            )


def must_be_quarantined(crashes_at_s: list[float], now_s: float, limit: int = CRASH_LIMIT) -> bool:
    """Whether gateways must reject a request that crashed replicas at these times.

    Gateways may count simultaneous crashes once. More crashes than the limit are enough even if
    they are simultaneous.

    >>> must_be_quarantined([1.0, 2.0, 3.0], 9.0), must_be_quarantined([1.0, 2.0, 3.0], 5.0)
    (True, False)
    >>> must_be_quarantined([1.0, 1.1, 3.0], 9.0), must_be_quarantined([1.0, 1.1, 3.0, 4.0], 9.0)
    (False, True)
    """
    if not crashes_at_s or now_s - crashes_at_s[-1] <= QUARANTINE_DELAY_S:
        return False
    distinct, last_at_s = 0, float("-inf")
    for crash_at_s in crashes_at_s:
        if crash_at_s - last_at_s >= SIMULTANEOUS_CRASH_WINDOW_S:
            distinct, last_at_s = distinct + 1, crash_at_s
    return distinct >= limit or len(crashes_at_s) > limit
