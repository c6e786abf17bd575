"""Watches which version of the routes each gateway uses, by requests to routes of one version."""

import asyncio

import aiohttp

from crowsill_lab.soak.caller import send_request
from crowsill_lab.soak.ledger import Ledger
from crowsill_lab.soak.site import Gateway

POLL_S = 0.1
REQUEST_TIMEOUT_S = 2.0


class VersionWatcher:
    """Polls one gateway for the routes that only one version has.

    Attributes:
        newest_seen: Newest version whose route the gateway has served since its last start.
    """

    def __init__(self, gateway: Gateway, ledger: Ledger) -> None:
        self._gateway = gateway
        self._ledger = ledger
        self._starts = 0
        self._previous_seen = 0
        self.newest_seen = 0

    async def run(self) -> None:
        """Poll until cancelled."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._poll(session)
                await asyncio.sleep(POLL_S)

    async def _poll(self, session: aiohttp.ClientSession) -> None:
        gateway = self._gateway
        if gateway.starts != self._starts:
            self._starts, self.newest_seen, self._previous_seen = gateway.starts, 0, 0
        starts, newest, previous = self._starts, self._ledger.acknowledged, self._previous_seen
        if previous:
            previous_response = await send_request(
                session, gateway, f"/v{previous}/x", self._ledger
            )
            if previous_response.status not in (0, 404, 503) and gateway.starts == starts:
                self._ledger.note_violation(
                    f"{gateway.name}: went back to version {previous} after {self.newest_seen}"
                )
        if newest <= self.newest_seen:
            return
        response = await send_request(session, gateway, f"/v{newest}/x", self._ledger)
        if response.status not in (0, 404, 503) and gateway.starts == starts:
            self._previous_seen, self.newest_seen = self.newest_seen, newest

    async def is_in_force(self, session: aiohttp.ClientSession, version: int) -> bool:
        """Return whether the gateway serves the route of a version."""
        response = await send_request(session, self._gateway, f"/v{version}/x", self._ledger)
        return response.status == 200
