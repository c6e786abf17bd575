"""Watches which version of the routes each gateway has in force, by routes that come and go."""

import asyncio

import aiohttp

from crowsill_lab.soak.caller import ask
from crowsill_lab.soak.ledger import Ledger
from crowsill_lab.soak.site import Gateway

POLL_S = 0.1
REQUEST_TIMEOUT_S = 2.0


class VersionWatcher:
    """Asks one gateway for the routes of single versions.

    Attributes:
        seen: Newest version whose route the gateway has had in force in its present life.
    """

    def __init__(self, gateway: Gateway, ledger: Ledger) -> None:
        self._gateway = gateway
        self._ledger = ledger
        self._life = 0
        self._former = 0
        self.seen = 0

    async def run(self) -> None:
        """Watch until cancelled."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._look(session)
                await asyncio.sleep(POLL_S)

    async def _look(self, session: aiohttp.ClientSession) -> None:
        gateway = self._gateway
        if gateway.lives != self._life:
            self._life, self.seen, self._former = gateway.lives, 0, 0
        life, newest, former = self._life, self._ledger.acknowledged, self._former
        if former:
            older = await ask(session, gateway, f"/v{former}/x", self._ledger)
            if older.status not in (0, 404, 503) and gateway.lives == life:
                self._ledger.broken(f"{gateway.name}: back at version {former} after {self.seen}")
        if newest <= self.seen:
            return
        answer = await ask(session, gateway, f"/v{newest}/x", self._ledger)
        if answer.status not in (0, 404, 503) and gateway.lives == life:
            self._former, self.seen = self.seen, newest

    async def is_in_force(self, session: aiohttp.ClientSession, version: int) -> bool:
        """Return whether the gateway serves the route of a version."""
        answer = await ask(session, self._gateway, f"/v{version}/x", self._ledger)
        return answer.status == 200
