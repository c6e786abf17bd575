"""An emulated list of machines that shows changes with a delay."""

import asyncio

import msgspec
from aiohttp import web

from crowsill.backends.wire import PATH_MACHINES, MachineList
from crowsill.model.fleet import ReplicaDescription


class PlatformServer:
    """HTTP server of the list of machines as it was `lag_s` ago."""

    def __init__(self, machines: list[ReplicaDescription], lag_s: float) -> None:
        self._current = {machine.replica_id: machine for machine in machines}
        self._listed = dict(self._current)
        self._lag_s = lag_s
        self._tasks: set[asyncio.Task[None]] = set()

    def application(self) -> web.Application:
        """Return the aiohttp application."""
        application = web.Application()
        application.router.add_get(PATH_MACHINES, self.machines)
        application.router.add_post("/lab/leaving/{replica_id}", self.lab_drain)
        application.router.add_post("/lab/gone/{replica_id}", self.lab_remove)
        return application

    async def machines(self, _request: web.Request) -> web.Response:
        """`GET /v1/machines`: the list of machines."""
        body = msgspec.json.encode(MachineList(list(self._listed.values())))
        return web.json_response(body=body)

    def _list_later(self) -> None:
        task = asyncio.create_task(self._list_after_lag(dict(self._current)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _list_after_lag(self, current: dict[str, ReplicaDescription]) -> None:
        await asyncio.sleep(self._lag_s)
        self._listed = current

    async def lab_drain(self, request: web.Request) -> web.Response:
        """`POST /lab/leaving/{id}`: drain a machine."""
        replica_id = request.match_info["replica_id"]
        machine = self._current[replica_id]
        self._current[replica_id] = msgspec.structs.replace(machine, draining=True)
        self._list_later()
        return web.Response(status=204)

    async def lab_remove(self, request: web.Request) -> web.Response:
        """`POST /lab/gone/{id}`: remove a machine."""
        self._current.pop(request.match_info["replica_id"], None)
        self._list_later()
        return web.Response(status=204)
