"""Sends requests whose prompts share a part that crashes every replica; no two are alike."""

import asyncio
import contextlib
import secrets
import time
from random import Random

import aiohttp

from crowsill.gateway.headers import HeaderNames
from crowsill.state.part_causes import PART_CRASH_LIMIT
from crowsill_lab.soak.crashing_request import must_be_quarantined
from crowsill_lab.soak.ledger import CRASHING_PART_PREFIX, Ledger
from crowsill_lab.soak.operator import HOST_NAME
from crowsill_lab.soak.site import Gateway
from crowsill_lab.soak.tenants import STEADY_KEY

NAMES = HeaderNames()
PATHS = ("/safe/p", "/once/p")
TIMEOUT_S = 5.0
MAX_PAUSE_S = 0.6
SUBJECTS = 8


def draw_parts(random: Random, request_id: str, crashing_part: str = "") -> str:
    """Return the parts of a prompt as sent: a common one, a subject, and one of its own.

    Args:
        random: Draws the subject and the place of the crashing part.
        request_id: The part of its own.
        crashing_part: A part that crashes replicas; empty for a sound prompt.
    """
    parts = ["5a5a:80", f"{random.randrange(SUBJECTS):04x}:40"]
    if crashing_part:
        parts.insert(random.randint(0, len(parts)), f"{crashing_part}:20")
    return ",".join([*parts, f"{request_id}:10"])


class CrashingPart:
    """A part that crashes replicas, and the callers whose prompts contain it."""

    def __init__(self, gateways: list[Gateway], ledger: Ledger, random: Random) -> None:
        self._gateways = gateways
        self._ledger = ledger
        self._random = random
        self._part = CRASHING_PART_PREFIX + secrets.token_hex(4)

    async def run(self) -> None:
        """Send such requests to randomly chosen gateways until cancelled."""
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._send(session, self._random.choice(self._gateways))
                await asyncio.sleep(self._random.random() * MAX_PAUSE_S)

    async def _send(self, session: aiohttp.ClientSession, gateway: Gateway) -> None:
        request_id = secrets.token_hex(8)
        headers = {
            "Host": HOST_NAME,
            NAMES.request_id.decode(): request_id,
            NAMES.prompt_parts.decode(): draw_parts(self._random, request_id, self._part),
            "Authorization": f"Bearer {STEADY_KEY.key}",
        }
        path = self._random.choice(PATHS)
        url = f"http://{gateway.host}:{gateway.caller_port}{path}"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.post(url, data=request_id.encode(), headers=headers) as response:
                await response.read()

    async def check(self, context: str) -> None:
        """Check during recovery that no gateway forwards the part once it has crashed enough.

        Args:
            context: When the check runs, for the text of a violation.
        """
        crashes = self._ledger.crashes.get(("part", self._part.encode()), [])
        crashes_at_s = [crash.at_s for crash in crashes]
        if not must_be_quarantined(crashes_at_s, time.monotonic(), PART_CRASH_LIMIT):
            return
        count_before = len(crashes)
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for gateway in self._gateways:
                await self._send(session, gateway)
        if len(crashes) > count_before:
            listed = "; ".join(crash.text() for crash in crashes)
            self._ledger.note_violation(
                f"{context}: part {self._part} crashed {len(crashes)} replicas: {listed}"
            )
