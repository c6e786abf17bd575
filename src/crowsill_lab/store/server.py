"""An emulated weight store with a limited rate and a limited number of concurrent loads."""

import asyncio
import time

from aiohttp import web

from crowsill_lab.settings import StoreShape


class StoreServer:
    """HTTP server of the store; it rejects and counts loads beyond its limits."""

    def __init__(self, shape: StoreShape) -> None:
        self._shape = shape
        self._active = 0
        self._tokens = shape.loads_per_s
        self._refilled_at_s = time.monotonic()
        self._rejected = 0
        self._served = 0

    def application(self) -> web.Application:
        """Return the aiohttp application."""
        application = web.Application()
        application.router.add_post("/v1/loads", self.load)
        application.router.add_get("/lab/counters", self.lab_counters)
        return application

    def _try_acquire(self) -> bool:
        now_s = time.monotonic()
        refilled = (now_s - self._refilled_at_s) * self._shape.loads_per_s
        self._tokens = min(max(1.0, self._shape.loads_per_s), self._tokens + refilled)
        self._refilled_at_s = now_s
        if self._tokens < 1.0 or self._active >= self._shape.concurrent:
            return False
        self._tokens -= 1.0
        return True

    async def load(self, request: web.Request) -> web.Response:
        """`POST /v1/loads?mib=N`: respond with 200 when the weights are loaded, or with 429."""
        if not self._try_acquire():
            self._rejected += 1
            return web.Response(status=429)
        self._active += 1
        try:
            await asyncio.sleep(int(request.query["mib"]) / self._shape.mib_per_s)
        finally:
            self._active -= 1
        self._served += 1
        return web.Response(status=200)

    async def lab_counters(self, _request: web.Request) -> web.Response:
        """`GET /lab/counters`: numbers of served and rejected loads."""
        return web.json_response({"served": self._served, "refused": self._rejected})
