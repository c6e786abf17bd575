"""An emulated plain service that counts executions by idempotency key."""

import asyncio
import random
import secrets
import time

import msgspec
from aiohttp import web

from crowsill.backends.interface import FailureReason
from crowsill.backends.wire import HEADER_NOT_RUN, PATH_REPORT
from crowsill.constants import HEADER_IDEMPOTENCY_KEY, HEADER_REQUEST_ID
from crowsill.model.fleet import ReplicaReport
from crowsill_lab.settings import ServiceShape


class ServiceServer:
    """HTTP server of one replica of an emulated service."""

    def __init__(self, shape: ServiceShape, report_lag_s: float) -> None:
        self._shape = shape
        self._report_lag_s = report_lag_s
        self._incarnation = secrets.token_hex(4)
        self._running = 0
        self._draining = False
        self._executions: dict[str, int] = {}
        self._last_new_work_s = 0.0
        self._fail_ratio = 0.0

    def application(self) -> web.Application:
        """Return the aiohttp application."""
        application = web.Application()
        application.router.add_get(PATH_REPORT, self.report)
        application.router.add_get("/lab/executions", self.lab_executions)
        application.router.add_get("/lab/counters", self.lab_counters)
        application.router.add_post("/lab/leave", self.lab_drain)
        application.router.add_post("/lab/failing/{ratio}", self.lab_fail_ratio)
        application.router.add_route("*", "/{path:.*}", self.call)
        return application

    async def report(self, _request: web.Request) -> web.Response:
        """`GET /v1/report`: the load report, delayed by `report_lag_s`."""
        running, draining = self._running, self._draining
        await asyncio.sleep(self._report_lag_s)
        report = ReplicaReport(self._incarnation, [], running, 0, draining)
        return web.json_response(body=msgspec.json.encode(report))

    async def call(self, request: web.Request) -> web.Response:
        """Run a call: count its execution, wait a random time, and echo the call."""
        request_id = request.headers.get(HEADER_REQUEST_ID, "")
        if self._draining:
            headers = {HEADER_NOT_RUN: FailureReason.DRAINING, HEADER_REQUEST_ID: request_id}
            return web.Response(status=503, headers=headers)
        self._last_new_work_s = time.time()
        body = await request.read()
        if random.random() < self._fail_ratio:
            return web.Response(status=500, headers={HEADER_REQUEST_ID: request_id})
        key = request.headers.get(HEADER_IDEMPOTENCY_KEY, "")
        if key:
            self._executions[key] = self._executions.get(key, 0) + 1
        self._running += 1
        try:
            await asyncio.sleep(random.expovariate(1000.0 / self._shape.mean_ms))
        finally:
            self._running -= 1
        response_body = {"request_id": request_id, "key": key, "echo": body.decode()}
        return web.json_response(response_body, headers={HEADER_REQUEST_ID: request_id})

    async def lab_executions(self, _request: web.Request) -> web.Response:
        """`GET /lab/executions`: number of executions by idempotency key."""
        return web.json_response(self._executions)

    async def lab_counters(self, _request: web.Request) -> web.Response:
        """`GET /lab/counters`: the counters that engines have as well."""
        return web.json_response({"last_new_work_s": self._last_new_work_s, "overcommits": 0})

    async def lab_drain(self, _request: web.Request) -> web.Response:
        """`POST /lab/leave`: drain; the service rejects new work from now on."""
        self._draining = True
        return web.json_response({"at_s": time.time()})

    async def lab_fail_ratio(self, request: web.Request) -> web.Response:
        """`POST /lab/failing/{ratio}`: fail this share of calls with status 500 without a run."""
        self._fail_ratio = float(request.match_info["ratio"])
        return web.Response(status=204)
