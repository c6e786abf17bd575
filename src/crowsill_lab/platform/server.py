"""An emulated list of machines that lags behind the truth."""

import asyncio

import msgspec
from aiohttp import web

from crowsill.backends.wire import PATH_MACHINES, MachineList
from crowsill.model.fleet import ReplicaDescription


class PlatformServer:
    """Serves the list as it was `lag_s` ago."""

    def __init__(self, machines: list[ReplicaDescription], lag_s: float) -> None:
        self._truth = {machine.replica_id: machine for machine in machines}
        self._shown = dict(self._truth)
        self._lag_s = lag_s
        self._tasks: set[asyncio.Task[None]] = set()

    def application(self) -> web.Application:
        """Return the aiohttp application."""
        application = web.Application()
        application.router.add_get(PATH_MACHINES, self.machines)
        application.router.add_post("/lab/leaving/{replica_id}", self.lab_leaving)
        application.router.add_post("/lab/gone/{replica_id}", self.lab_gone)
        return application

    async def machines(self, _request: web.Request) -> web.Response:
        """`GET /v1/machines`."""
        body = msgspec.json.encode(MachineList(list(self._shown.values())))
        return web.json_response(body=body)

    def _show_later(self) -> None:
        task = asyncio.create_task(self._show(dict(self._truth)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _show(self, truth: dict[str, ReplicaDescription]) -> None:
        await asyncio.sleep(self._lag_s)
        self._shown = truth

    async def lab_leaving(self, request: web.Request) -> web.Response:
        """`POST /lab/leaving/{id}`: the platform wants a machine gone."""
        replica_id = request.match_info["replica_id"]
        machine = self._truth[replica_id]
        self._truth[replica_id] = msgspec.structs.replace(machine, draining=True)
        self._show_later()
        return web.Response(status=204)

    async def lab_gone(self, request: web.Request) -> web.Response:
        """`POST /lab/gone/{id}`: a machine is gone."""
        self._truth.pop(request.match_info["replica_id"], None)
        self._show_later()
        return web.Response(status=204)
