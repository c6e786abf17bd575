"""Gateways and a control group in one process; each gateway reaches replicas on links of its own.

The links of a gateway can fail while its callers, the control group and other gateways are reached.
"""

import asyncio
import contextlib
import socket
import sys
import time
from dataclasses import dataclass

import msgspec

from crowsill.gateway.role import GatewayRole
from crowsill.gateway.routing_table import GatewayRoutingTable
from crowsill.model.instances import LoadedModel
from crowsill.model.route_codec import JsonRouteCodec
from crowsill.state.directory import DirectoryChange
from crowsill_lab.demo.processes import free_ports
from tests.control_group import KEY, ControlGroup, until
from tests.gateway_world import (
    ID,
    LOCAL,
    NAMES,
    Caller,
    Replica,
    encode_response,
    instance,
    routes,
)
from tests.platform_site import ROOT

sys.path.insert(0, str(ROOT / "platform"))
from crowsill_platform.settings import PlatformBounds, PlatformListen, PlatformSettings, translate

WORK_S = 0.02
CHUNK_BYTES = 65536
CLOSE = "Connection: close"
PROBE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class FailingLink:
    """The path from one gateway to one replica.

    Failures: "reset" resets connections and refuses new ones, "silent" carries nothing and opens no
    new ones, "no_new" refuses new ones and carries what is open, "accepted" resets connections also
    after it has accepted them, "mute" accepts new ones and carries nothing, "on_use" refuses new
    ones and resets an open one as soon as anything is sent on it.
    """

    def __init__(self, target_port):
        self._target_port = target_port
        # Keeps the port while nothing listens: another process could take it, and would be sent
        # what is meant for this replica.
        self._reserved = socket.socket()
        self._reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reserved.bind((LOCAL, 0))
        self.port = self._reserved.getsockname()[1]
        self._listener = None
        self._accepting = None
        self._queued = []
        self._writers = set()
        self._tasks = set()
        self._carries = asyncio.Event()
        self._resets = False
        self._resets_on_use = False
        self.restore()

    def _listen(self, backlog):
        self._stop_listening()
        self._listener = socket.create_server((LOCAL, self.port), backlog=backlog)
        self._listener.setblocking(False)

    def _stop_listening(self):
        if self._accepting is not None:
            self._accepting.cancel()
            self._accepting = None
        if self._listener is not None:
            # The cancelled accept removes it only later, when another socket may have its number.
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None
        for queued in self._queued:
            queued.close()
        self._queued = []

    def restore(self):
        """Carry everything and accept connections."""
        self._resets = False
        self._resets_on_use = False
        self._listen(128)
        self._carries.set()
        self._accepting = asyncio.create_task(self._accept())

    def fail(self, how):
        """Fail in one of the ways listed above."""
        if how == "silent":
            self._carries.clear()
            # A full backlog drops the opening packets, so that new connections hang.
            self._listen(0)
            for _ in range(2):
                queued = socket.socket()
                queued.setblocking(False)
                queued.connect_ex((LOCAL, self.port))
                self._queued.append(queued)
            return
        if how == "mute":
            self._carries.clear()
            return
        self._resets = how == "accepted"
        self._resets_on_use = how == "on_use"
        if not self._resets:
            self._stop_listening()
        if how in ("reset", "accepted"):
            for writer in self._writers:
                writer.transport.abort()

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self._listener)
            task = asyncio.create_task(self._carry(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _carry(self, accepted):
        reader, writer = await asyncio.open_connection(sock=accepted)
        if self._resets:
            writer.transport.abort()
            return
        data = b""
        if not self._carries.is_set():
            # The replica gets nothing meanwhile, so it needs no connection either.
            data = await reader.read(CHUNK_BYTES)
            if not data:
                writer.close()
                return
            await self._carries.wait()
        try:
            target = await asyncio.open_connection(LOCAL, self._target_port)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, target[1]}
        self._writers |= pair
        target[1].write(data)
        await asyncio.gather(
            self._pump(reader, target[1], pair), self._pump(target[0], writer, pair)
        )
        self._writers -= pair

    async def _pump(self, reader, writer, pair):
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self._resets_on_use:
                    for ended in pair:
                        ended.transport.abort()
                    return
                await self._carries.wait()
                writer.write(data)
                await writer.drain()
        writer.close()

    def stop(self):
        self._stop_listening()
        self._reserved.close()
        for task in self._tasks:
            task.cancel()


@dataclass(frozen=True)
class FirstTry:
    """One request: its id, its gateway, when it was sent after the cut, status and time taken."""

    request_id: str
    gateway: int
    sent_s: float
    status: int
    taken_s: float
    body: bytes = b""


@dataclass(frozen=True)
class Placement:
    """What one replica serves: models, and also the plain service or not."""

    models: tuple[str, ...] = ("m",)
    plain: bool = True


class PartitionedSite:
    """Three members, some gateways, replicas, and a link for each pair of gateway and replica."""

    def __init__(
        self,
        folder,
        gateways=4,
        replicas=3,
        configuration=None,
        script=None,
        zones=None,
        placement=None,
    ):
        self.group = ControlGroup(folder)
        self._placement = placement or [Placement()] * replicas
        self.runs = {}
        self.probes = 0
        self.work_s = WORK_S
        self.probe_s = 0.0
        self.replicas = [Replica(script or self._run) for _ in range(replicas)]
        self.gateways = []
        self.links = []
        self._count = gateways
        self._zones = zones or ["z1"] * gateways
        self.configuration = configuration or routes()

    async def _run(self, headers, writer, _number):
        if ID not in headers:
            self.probes += 1
            await asyncio.sleep(self.probe_s)
            writer.write(PROBE_RESPONSE)
            return True
        self.note_run(headers)
        await asyncio.sleep(self.work_s)
        writer.write(encode_response(headers[ID]))
        return True

    def note_run(self, headers):
        self.runs[headers[ID]] = self.runs.get(headers[ID], 0) + 1

    async def __aenter__(self):
        await self.group.start()
        for replica in self.replicas:
            await replica.start()
        for number in range(self._count):
            self.links.append([FailingLink(replica.port) for replica in self.replicas])
            self.gateways.append(await self.start_gateway(number))
        await until(lambda: all(role.is_ready() for role in self.gateways))
        return self

    async def start_gateway(self, number):
        """Start a gateway with the settings that the platform would give it."""
        front, ready, inner, second_inner = free_ports(4)
        platform_settings = PlatformSettings(
            node=f"g{number}",
            ip=LOCAL,
            zone=self._zones[number],
            inner_ports=[inner, second_inner],
            seeds=[f"{LOCAL}:1"],
            listen=PlatformListen(front=f"{LOCAL}:{front}", ready=f"{LOCAL}:{ready}"),
            serves=["front"],
            bounds=PlatformBounds(budget_slack=100.0),
        )
        settings = translate(platform_settings)
        gateway = msgspec.structs.replace(settings.gateway, control_seeds=self.group.addresses)
        role = GatewayRole(settings, gateway, KEY, NAMES, JsonRouteCodec())
        await role.start()
        role._table = GatewayRoutingTable(self.configuration)
        self.list_replicas(role, number)
        return role

    def list_replicas(self, role, number):
        """Tell a gateway the replicas, each at the address of its own link."""
        plain = [
            msgspec.structs.replace(
                instance(replica, index), address=f"{LOCAL}:{link.port}", models=[]
            )
            for index, (replica, link) in enumerate(
                zip(self.replicas, self.links[number], strict=True), start=1
            )
        ]
        engines = [
            msgspec.structs.replace(
                item,
                instance_id=f"{item.instance_id}e",
                service="engines",
                models=[LoadedModel(name) for name in placed.models],
            )
            for item, placed in zip(plain, self._placement, strict=True)
        ]
        plain = [item for item, placed in zip(plain, self._placement, strict=True) if placed.plain]
        change = DirectoryChange(role.registry.version + 1, [*plain, *engines], [])
        role._on_directory(role.registry.adopt(change, True, time.monotonic()))

    def cut(self, numbers, how, replicas=None):
        """Let the links of some gateways to all replicas fail, or to those with given numbers."""
        for number in numbers:
            for index in range(len(self.replicas)) if replicas is None else replicas:
                self.links[number][index].fail(how)

    def restore(self, numbers):
        for number in numbers:
            for link in self.links[number]:
                link.restore()

    async def __aexit__(self, *_):
        for role in self.gateways:
            await role.stop()
        for link in [link for links in self.links for link in links]:
            link.stop()
        for replica in self.replicas:
            await replica.stop()
        await self.group.stop()

    async def try_once(self, number, route, request_id, started_at_s=0.0, headers=()):
        """Send a request on a connection of its own; return what came of its first try."""
        sent_at_s = time.monotonic()
        status, body = 0, b""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            connection = await asyncio.open_connection(LOCAL, self.gateways[number].port())
            caller = Caller(*connection)
            try:
                caller.send(route, request_id, request_id.encode(), headers=[CLOSE, *headers])
                found, response_headers = await caller.head()
                body = await caller.body(response_headers)
                status = found
            finally:
                caller.writer.close()
        taken_s = time.monotonic() - sent_at_s
        return FirstTry(request_id, number, sent_at_s - started_at_s, status, taken_s, body)

    async def send(self, route, for_s, interval_s=0.025, headers=(), prefix="r"):
        """Send requests to all gateways in turn; return their first tries."""
        started_at_s = time.monotonic()
        tasks = []
        while time.monotonic() < started_at_s + for_s:
            number = len(tasks) % len(self.gateways)
            request_id = f"{prefix}{len(tasks)}"
            sending = self.try_once(number, route, request_id, started_at_s, headers)
            tasks.append(asyncio.create_task(sending))
            await asyncio.sleep(interval_s)
        return await asyncio.gather(*tasks)


def served_share(tries):
    """Return the share of first tries that were answered 200."""
    return sum(item.status == 200 for item in tries) / max(1, len(tries))


def describe_unserved(tries):
    """Return a line for each first try that was not answered 200."""
    return "".join(
        f"\n  {item.request_id} at g{item.gateway} after {item.sent_s:.2f} s:"
        f" status {item.status} in {item.taken_s:.2f} s"
        for item in tries
        if item.status != 200
    )
