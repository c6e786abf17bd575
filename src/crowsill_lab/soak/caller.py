"""Callers of a soak: they keep using an open connection until its process is gone."""

import asyncio
import secrets
import time
from dataclasses import dataclass
from random import Random

import aiohttp

from crowsill.gateway.headers import HeaderNames
from crowsill_lab.soak.ledger import Ledger, SentRequest
from crowsill_lab.soak.operator import HOST_NAME
from crowsill_lab.soak.replica import answer_of
from crowsill_lab.soak.site import Gateway
from crowsill_lab.soak.tenants import STEADY_KEY, TURNING, CallerKey, draw_key

NAMES = HeaderNames()
REQUEST_TIMEOUT_S = 5.0
LONGEST_PAUSE_S = 0.05
SAFE_SHARE = 0.4
# Ordinary requests of one body: what some of them run beside says nothing against the others.
SAME_BODY_SHARE = 0.2
# A closed connection that is not a fault's doing is looked into so long after.
LOOK_AFTER_S = 0.3


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller got; status 0 where the connection ended without an answer."""

    request_id: str
    status: int


async def ask(
    session: aiohttp.ClientSession,
    gateway: Gateway,
    path: str,
    ledger: Ledger,
    key: CallerKey = STEADY_KEY,
) -> Answer:
    """Send one request and take its answer in; it also claims to be of another tenant."""
    request_id = secrets.token_hex(8)
    if not path.startswith("/safe/"):
        ledger.at_most_once.add(request_id)
    same = secrets.randbelow(100) < SAME_BODY_SHARE * 100
    body = b"same" if same else secrets.token_bytes(16).hex().encode()
    headers = {
        "Host": HOST_NAME,
        NAMES.request_id.decode(): request_id,
        NAMES.tenant.decode(): "claimed",
        "Authorization": f"Bearer {key.key}",
    }
    life = gateway.life()
    ledger.sent[request_id] = SentRequest(key, time.monotonic(), life)
    url = f"http://{gateway.host}:{gateway.callers}{path}"
    try:
        async with session.post(url, data=body, headers=headers) as response:
            replica = response.headers.get(NAMES.stamp.decode(), "")
            if response.headers.get(NAMES.leaving[0].decode()) and gateway.life() == life:
                ledger.words.passed_on(replica, life, time.monotonic())
            if response.headers.get(NAMES.limit[0].decode()) and gateway.life() == life:
                ledger.limits.passed_on(replica, life, time.monotonic())
            content = await response.read()
    except (aiohttp.ClientError, TimeoutError):
        ledger.statuses[0] += 1
        return Answer(request_id, 0)
    ledger.answered(request_id, response.status, content, answer_of(request_id, body))
    return Answer(request_id, response.status)


class SoakCaller:
    """One caller with one connection to one gateway."""

    def __init__(self, gateway: Gateway, ledger: Ledger, random: Random) -> None:
        self._gateway = gateway
        self._ledger = ledger
        self._random = random

    async def run(self) -> None:
        """Ask until cancelled."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
            while True:
                await self._ask_once(session)
                await asyncio.sleep(self._random.random() * LONGEST_PAUSE_S)

    async def _ask_once(self, session: aiohttp.ClientSession) -> None:
        path = "/safe/x" if self._random.random() < SAFE_SHARE else "/once/x"
        cuts = self._gateway.cuts
        key = draw_key(self._random, self._ledger.acknowledged)
        answer = await ask(session, self._gateway, path, self._ledger, key)
        if answer.status == 401 and key.tenant != TURNING:
            self._ledger.broken(f"{answer.request_id}: a key that every version has: 401")
        if answer.status == 404:
            self._ledger.broken(f"{answer.request_id}: a route that every version has: 404")
        if answer.status != 0:
            return
        await asyncio.sleep(LOOK_AFTER_S)
        has_run = self._ledger.runs[answer.request_id] > 0
        if has_run and cuts == self._gateway.cuts:
            self._ledger.broken(f"{answer.request_id}: ran, and ended without an answer")
