"""HTTP interface of an emulated engine."""

import asyncio
import secrets
import time
from collections.abc import Coroutine
from dataclasses import asdict

import aiohttp
import msgspec
from aiohttp import web

from crowsill.backends.interface import FailureReason
from crowsill.backends.wire import (
    CONTENT_TYPE_STREAM,
    HEADER_NOT_RUN,
    HEADER_PREFIX_HASH,
    HEADER_PRIORITY,
    PATH_CACHE_EVENTS,
    PATH_KV,
    PATH_ORDERS,
    PATH_REPORT,
    PATH_STREAMS,
    OrderBody,
)
from crowsill.constants import HEADER_REQUEST_ID
from crowsill.model.fleet import ReplicaReport
from crowsill.state.commands import OrderKind
from crowsill_lab.engine.core import EngineCore, Sequence
from crowsill_lab.settings import EngineShape

STORE_RETRY_S = 0.3


class _CompletionBody(msgspec.Struct):
    model: str
    prompt: str = ""
    messages: msgspec.Raw = msgspec.Raw(b"")
    stream: bool = False
    max_tokens: int = 16


class EngineFaults(msgspec.Struct):
    """Faults that the lab enables.

    Attributes:
        fail_ratio: Share of completions that fail with status 500.
        break_ratio: Share of streams whose connection is aborted once.
        delay_orders_s: Delay before an order is processed.
    """

    fail_ratio: float = 0.0
    break_ratio: float = 0.0
    delay_orders_s: float = 0.0


class EngineServer:
    """Serves one emulated engine."""

    def __init__(self, shape: EngineShape, store: str, report_lag_s: float) -> None:
        """Initialize the server.

        Args:
            shape: Properties of the engine.
            store: `IP:port` of the weight store.
            report_lag_s: Delay of load reports.
        """
        self.core = EngineCore(shape, secrets.token_hex(4))
        self.faults = EngineFaults()
        self._store = store
        self._report_lag_s = report_lag_s
        self._report = ReplicaReport(self.core.incarnation)
        self._tasks: set[asyncio.Task[None]] = set()
        self._session: aiohttp.ClientSession | None = None
        self._random = secrets.SystemRandom()

    def application(self) -> web.Application:
        """Return the aiohttp application."""
        application = web.Application()
        application.router.add_post("/v1/completions", self.complete)
        application.router.add_post("/v1/chat/completions", self.complete)
        application.router.add_get(PATH_STREAMS + "/{request_id}", self.resume)
        application.router.add_delete(PATH_STREAMS + "/{request_id}", self.cancel)
        application.router.add_get(PATH_REPORT, self.report)
        application.router.add_get(PATH_CACHE_EVENTS, self.cache_events)
        application.router.add_get(PATH_KV + "/{request_id}", self.export_kv)
        application.router.add_put(PATH_KV + "/{request_id}", self.import_kv)
        application.router.add_post(PATH_ORDERS, self.order)
        application.router.add_get("/lab/counters", self.lab_counters)
        application.router.add_post("/lab/faults", self.lab_faults)
        application.router.add_post("/lab/leave", self.lab_drain)
        application.on_startup.append(self._start)
        application.on_cleanup.append(self._stop)
        return application

    async def _start(self, _application: web.Application) -> None:
        self._session = aiohttp.ClientSession()
        self._spawn(self.core.run())
        self._spawn(self._refresh_report())

    async def _stop(self, _application: web.Application) -> None:
        for task in self._tasks:
            task.cancel()
        if self._session is not None:
            await self._session.close()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _refresh_report(self) -> None:
        while True:
            report = ReplicaReport(
                self.core.incarnation,
                sorted(self.core.resident),
                self.core.running,
                self.core.waiting,
                self.core.draining,
                sorted(self.core.loading),
            )
            await asyncio.sleep(self._report_lag_s)
            self._report = report

    async def report(self, _request: web.Request) -> web.Response:
        """`GET /v1/report`: the load report, delayed by `report_lag_s`."""
        return web.json_response(body=msgspec.json.encode(self._report))

    async def cache_events(self, request: web.Request) -> web.Response:
        """`GET /v1/cache-events?after=N`: cache events; slow readers miss the oldest ones."""
        events = self.core.events_after(int(request.query.get("after", "0")))
        return web.json_response(body=msgspec.json.encode(events))

    async def export_kv(self, request: web.Request) -> web.Response:
        """`GET /v1/kv/{id}`: the state of a request."""
        exported = self.core.export_kv(request.match_info["request_id"])
        return web.Response(status=404) if exported is None else web.Response(body=exported)

    async def import_kv(self, request: web.Request) -> web.Response:
        """`PUT /v1/kv/{id}`: continue a request of another engine."""
        self.core.import_kv(request.match_info["request_id"], await request.read())
        return web.Response(status=204)

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """`POST /v1/completions`: run a completion."""
        request_id = request.headers.get(HEADER_REQUEST_ID, secrets.token_hex(8))
        body = msgspec.json.decode(await request.read(), type=_CompletionBody)
        if self.core.draining:
            return _rejection(FailureReason.DRAINING, request_id)
        if body.model not in self.core.resident:
            return _rejection(FailureReason.NOT_LOADED, request_id)
        self.core.counters.last_new_work_s = time.time()
        if self._random.random() < self.faults.fail_ratio:
            return web.Response(status=500, headers={HEADER_REQUEST_ID: request_id})
        prompt = body.prompt.encode() or bytes(body.messages)
        priority = int(request.headers.get(HEADER_PRIORITY, "10"))
        prefix = int(request.headers.get(HEADER_PREFIX_HASH, "0"))
        sequence = Sequence(request_id, body.model, prompt, prefix, body.max_tokens, priority)
        self.core.submit(sequence)
        if body.stream:
            return await self._stream(request, sequence, 0)
        return await self._complete_response(sequence)

    async def _complete_response(self, sequence: Sequence) -> web.Response:
        while not sequence.is_done:
            sequence.changed.clear()
            await sequence.changed.wait()
        response_body = {"model": sequence.resource, "choices": [{"text": "".join(sequence.text)}]}
        headers = {HEADER_REQUEST_ID: sequence.request_id}
        return web.json_response(response_body, headers=headers)

    async def _stream(
        self, request: web.Request, sequence: Sequence, offset: int
    ) -> web.StreamResponse:
        headers = {HEADER_REQUEST_ID: sequence.request_id, "Content-Type": CONTENT_TYPE_STREAM}
        response = web.StreamResponse(headers=headers)
        while len(sequence.output) <= offset and not sequence.is_done and not sequence.is_cancelled:
            await sequence.changed.wait()
            sequence.changed.clear()
        await response.prepare(request)
        cuts_connection = offset == 0 and self._random.random() < self.faults.break_ratio
        while True:
            if len(sequence.output) > offset:
                chunk = bytes(sequence.output[offset:])
                offset += len(chunk)
                await response.write(chunk)
                if cuts_connection and request.transport is not None:
                    request.transport.abort()
                    return response
            if sequence.is_cancelled:
                if request.transport is not None:
                    request.transport.abort()
                return response
            if sequence.is_done and len(sequence.output) <= offset:
                await response.write_eof()
                return response
            sequence.changed.clear()
            if len(sequence.output) <= offset:
                await sequence.changed.wait()

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """`GET /v1/streams/{id}?offset=N`: resume a stream at a byte offset."""
        sequence = self.core.find(request.match_info["request_id"])
        if sequence is None or sequence.is_cancelled:
            return web.Response(status=404)
        return await self._stream(request, sequence, int(request.query.get("offset", "0")))

    async def cancel(self, request: web.Request) -> web.Response:
        """`DELETE /v1/streams/{id}`: stop generating."""
        self.core.cancel(request.match_info["request_id"])
        return web.Response(status=204)

    async def order(self, request: web.Request) -> web.Response:
        """`POST /v1/orders`: load or unload a model; a later report shows the effect."""
        if self.faults.delay_orders_s:
            await asyncio.sleep(self.faults.delay_orders_s)
        order = msgspec.json.decode(await request.read(), type=OrderBody)
        status = self.core.check_order(order)
        if status != 202:
            return web.Response(status=status)
        if order.kind == OrderKind.UNLOAD:
            self.core.unload(order)
            return web.Response(status=202)
        is_known = order.resource in self.core.resident or order.resource in self.core.loading
        if not self.core.reserve(order):
            return web.Response(status=507)
        if not is_known:
            self._spawn(self._load(order))
        return web.Response(status=202)

    async def _load(self, order: OrderBody) -> None:
        if self._session is None:
            return
        while True:
            url = f"http://{self._store}/v1/loads?mib={order.memory_mib}"
            try:
                async with self._session.post(url) as response:
                    if response.status == 200:
                        break
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(STORE_RETRY_S)
        self.core.finish_load(order.resource)

    async def lab_counters(self, _request: web.Request) -> web.Response:
        """`GET /lab/counters`: the engine's counters."""
        return web.json_response(asdict(self.core.counters))

    async def lab_faults(self, request: web.Request) -> web.Response:
        """`POST /lab/faults`: set the faults."""
        self.faults = msgspec.json.decode(await request.read(), type=EngineFaults)
        return web.Response(status=204)

    async def lab_drain(self, _request: web.Request) -> web.Response:
        """`POST /lab/leave`: drain; the engine rejects new work from now on."""
        self.core.draining = True
        return web.json_response({"at_s": time.time()})


def _rejection(reason: FailureReason, request_id: str) -> web.Response:
    headers = {HEADER_NOT_RUN: reason, HEADER_REQUEST_ID: request_id}
    return web.Response(status=503, headers=headers)
