"""A small site on the users' platform: machines as processes on loopback addresses, and replicas.

The processes are the real programs, started with the commands of `deploy/system.toml` and settings
in the platform's format. The simulated replicas use the platform's protocol without errors;
`test_gateway_http.py` covers replicas that violate it.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import subprocess
import sys
import sysconfig
import time
import tomllib
from pathlib import Path

import aiohttp

from crowsill_lab.demo.processes import free_ports

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
HEARTBEAT_S = 0.3
STAMP = "X-Crowsill-Server-Stamp"
ID = "X-Crowsill-Request-Id"


class Machine:
    """One machine with one process."""

    def __init__(self, site, name, ip, role, has_disk=True):
        self.has_disk = has_disk
        self.site = site
        self.name = name
        self.ip = ip
        self.role = role
        self.process = None
        self.folder = site.folder / name
        self.folder.mkdir()
        self.data = self.folder / "data"
        self.settings = self.folder / "boot.toml"
        self.log = self.folder / "log.txt"
        # Machines listed as seeds in the settings; None for the first core machines of the site.
        self.seeds = None

    @property
    def control(self):
        return f"{self.ip}:{self.site.control_port}"

    @property
    def front(self):
        return f"{self.ip}:{self.site.front_port}"

    def write_settings(self, bootstrap, seeds=None):
        """Write the settings file in the platform's format."""
        role = DEPLOY["roles"][self.role]
        seeds = [machine.control for machine in seeds or self.seeds or self.site.core[:3]]
        listen = [f'control = "{self.control}"']
        if "front" in role["serves"]:
            ready = f"{self.ip}:{self.site.ready_port}"
            listen = [f'front = "{self.front}"', f'ready = "{ready}"']
        lines = [
            f'node = "{self.name}"',
            f'role = "{self.role}"',
            f'machineClass = "{role["on"]}"',
            f"serves = {json.dumps(role['serves'])}",
            f'ip = "{self.ip}"',
            'zone = "Hall-A"',
            'region = "r"',
            f"innerPorts = [{self.site.inner_port}, {self.site.inner_port + 1}]",
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {json.dumps(bootstrap)}",
            "countsTowardFaults = true",
            *([f'dataDir = "{self.data}"'] if self.has_disk else []),
            f"heartbeatMs = {int(HEARTBEAT_S * 1000)}",
            "unheardOf = { field = 1 }",
            "[listen]",
            *listen,
            "[tolerate]",
            "machines = 2",
            "[bounds]",
            "graceS = 4",
            "leaseMs = 1000",
            *self.site.bounds,
        ]
        self.settings.write_text("\n".join(lines) + "\n")

    def start(self, bootstrap=False):
        """Start the process with the command of the deploy file."""
        self.write_settings(bootstrap)
        command_words = DEPLOY["roles"][self.role]["run"].split()
        assert command_words[0] == "python3"
        # As on the platform, PYTHONPATH has only the folder of the installed libraries.
        libraries = sysconfig.get_path("purelib")
        environment_variables = {"CROWSILL_CONFIG": str(self.settings), "PYTHONPATH": libraries}
        environment = {**os.environ, **environment_variables}
        with self.log.open("ab") as log:
            command = [sys.executable, *command_words[1:]]
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def kill(self):
        """Kill the process."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def pause(self):
        """Stop the process where it is."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self):
        """Let the process run on."""
        self.process.send_signal(signal.SIGCONT)

    def wipe(self):
        """Delete the data folder, as if the disk was lost."""
        shutil.rmtree(self.data)

    def stop(self, within_s):
        """Stop with SIGTERM; return the exit code."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(within_s)


class SimulatedReplica:
    """A simulated replica with the platform's protocol: an engine, or a plain service."""

    def __init__(self, site, number, service, models=None):
        self.site = site
        self.instance_id = f"i-{number}"
        self.service = service
        self.models = models
        self.adapters = {}
        self.state = "ready"
        self.served = 0
        self.orders = []
        # Headers of the last request that the replica ran.
        self.last_headers = {}
        self.sequence = 0
        self._heartbeat_sequence = 0
        self._tasks = []
        self._writers = set()
        self.delay_s = 0.0
        # Start of this incarnation in Unix milliseconds; None if the replica does not report it.
        self.started_ms = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._tasks.append(asyncio.create_task(self._send_heartbeats()))
        return self

    def description(self):
        self._heartbeat_sequence += 1
        document = {
            "service": self.service,
            "addr": f"127.0.0.1:{self.port}",
            "zone": "Hall-A",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self._heartbeat_sequence,
        }
        if self.started_ms is not None:
            document["born"] = self.started_ms
        if self.models is not None:
            document["models"] = self._loaded_models()
        return document

    def _loaded_models(self):
        return [
            {"name": name, "version": 1, "adapters": sorted(self.adapters.get(name, ()))}
            for name in self.models
        ]

    async def send_heartbeat(self):
        """Send one heartbeat; return whether it was acknowledged."""
        path = f"/instances/{self.instance_id}"
        return await self.site.call("PUT", path, self.description()) == 200

    async def _send_heartbeats(self):
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.split("\r\n")
                header_lines = (line.split(": ", 1) for line in lines if ": " in line)
                headers = {name.lower(): value for name, value in header_lines}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, extra, answer = await self._answer(first, headers, body)
                framing = ["Content-Type: text/plain", f"Content-Length: {len(answer)}"]
                text = [f"HTTP/1.1 {status} X", *framing, *extra]
                writer.write(("\r\n".join(text) + "\r\n\r\n").encode() + answer)
        writer.close()

    async def _answer(self, first, headers, body):
        expected = headers.get("x-crowsill-expect-instance")
        if expected not in (None, self.instance_id):
            return 421, [], b""
        method, path, _ = first.split(" ")
        if (method, path) == ("GET", "/report"):
            report = {
                "models": self._loaded_models(),
                "busy": False,
                "seq": self.sequence,
                "coming": [],
            }
            if self.started_ms is not None:
                report["born"] = self.started_ms
            return 200, [], json.dumps(report).encode()
        if (method, path) == ("POST", "/order"):
            return self._order(json.loads(body)), [], b""
        if (method, path) == ("GET", "/health"):
            return 200, [f"X-Crowsill-Instance-Id: {self.instance_id}"], b""
        echoed = [f"{ID}: {headers[ID.lower()]}"]
        model = headers.get("x-crowsill-model", "").partition("/")[0]
        if self.models is not None and model not in self.models:
            return 421, [*echoed, "X-Crowsill-Not-Run: 1"], b""
        await asyncio.sleep(self.delay_s)
        self.served += 1
        self.last_headers = headers
        return 200, [*echoed, f"{STAMP}: {self.instance_id}"], body + b"!"

    def _order(self, order):
        self.orders.append(order)
        if order.get("expect", self.sequence) != self.sequence:
            return 409
        adapter = order.get("adapter")
        held = self.adapters.setdefault(order["model"], set())
        loads = order["op"] == "load"
        if (adapter in held if adapter else order["model"] in self.models) is loads:
            return 200
        self.sequence += 1
        if adapter:
            (held.add if loads else held.discard)(adapter)
        elif loads:
            self.models.append(order["model"])
        else:
            self.models.remove(order["model"])
            held.clear()
        return 202

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        self._server.close()

    def abort_connections(self):
        """Abort all connections, as a crash does."""
        for writer in self._writers:
            writer.transport.abort()


class PlatformSite:
    """The machines of a small site."""

    def __init__(self, folder, core=5, fronts=2, redirectors=0, shares_machines=False):
        """Create it.

        Args:
            folder: Folder of its files.
            core: Number of control members.
            fronts: Number of gateways.
            redirectors: Number of control processes without a disk beside gateways.
            shares_machines: Whether members run on the first gateways' machines.
        """
        self.folder = folder
        # Further lines of the table `bounds` in the settings.
        self.bounds = []
        ports = free_ports(4)
        self.control_port, self.front_port, self.ready_port, self.inner_port = ports
        self.core = []
        for number in range(core):
            place = (2, "control-beside-gateway") if shares_machines else (1, "control")
            ip = f"127.0.{place[0]}.{number + 1}"
            self.core.append(Machine(self, f"core-{number}", ip, place[1]))
        self.fronts = []
        for number in range(fronts):
            self.fronts.append(Machine(self, f"front-{number}", f"127.0.2.{number + 1}", "gateway"))
        # Control processes without a disk, on the machines of gateways.
        self.redirectors = [
            Machine(self, f"beside-{number}", front.ip, "control-beside-gateway", has_disk=False)
            for number, front in enumerate(self.fronts[:redirectors])
        ]

    @property
    def machines(self):
        return self.core + self.fronts + self.redirectors

    def start(self):
        for machine in self.machines:
            machine.start(bootstrap=True)

    def stop(self):
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()

    async def call(self, method, path, document=None, machine=None, timeout_s=1.0):
        """Call control members in turn until one responds; return the status, or 0."""
        status, _ = await self.call_with_body(method, path, document, machine, timeout_s)
        return status

    async def call_with_body(self, method, path, document=None, machine=None, timeout_s=1.0):
        """Call control members as `call` does; return the status and the body."""
        targets = [machine] if machine is not None else self.core
        content = document if isinstance(document, bytes) else json.dumps(document).encode()
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for target in targets:
                try:
                    url = f"http://{target.control}{path}"
                    async with session.request(method, url, data=content) as response:
                        if response.status < 500:
                            return response.status, await response.read()
                except (aiohttp.ClientError, TimeoutError):
                    continue
        return 0, b""

    async def publish(self, document, within_s=8.0):
        """Publish until the request is acknowledged or rejected; return the status."""
        deadline_s = time.monotonic() + within_s
        while time.monotonic() < deadline_s:
            status = await self.call("PUT", "/config", document, timeout_s=4.0)
            if status:
                return status
            await asyncio.sleep(0.1)
        return 0

    async def ask(self, front, path, headers=None, body=b"x", timeout_s=5.0):
        """Send a request through a gateway; return the status and the body."""
        sent_headers = {"Host": "shop.example", ID: os.urandom(8).hex(), **(headers or {})}
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            url = f"http://{front.front}{path}"
            async with session.post(url, data=body, headers=sent_headers) as response:
                return response.status, await response.read()

    async def until(self, condition, within_s=10.0):
        """Wait until an asynchronous condition holds."""
        deadline_s = time.monotonic() + within_s
        while not await condition():
            assert time.monotonic() < deadline_s, "the condition did not hold in time"
            await asyncio.sleep(0.05)


def configuration(version, **changes):
    """Return a configuration document of the platform."""
    document = {
        "version": version,
        "routes": [
            {
                "name": "pay",
                "host": "shop.example",
                "pathPrefix": "/pay/",
                "kind": "non_idempotent",
                "timeoutMs": 3000,
                "service": "till",
                "maxAttempts": 1,
            },
            {
                "name": "draft",
                "host": "shop.example",
                "pathPrefix": "/draft/",
                "kind": "stream",
                "timeoutMs": 8000,
                "targetLatencyMs": 4000,
                "service": "models",
                "sticky": True,
            },
        ],
        "services": [
            {"name": "till", "healthPath": "/health", "maxConns": 50, "protocol": "h1"},
            {
                "name": "models",
                "maxConns": 50,
                "engine": {
                    "slots": 8,
                    "kvCapacityTokens": 1000,
                    "weightsMb": 220.0,
                    "adapterSlots": 2,
                    "loadsPerS": 5.0,
                    "models": [
                        {"name": name, "weightsMb": 100.0, "loadS": 0.2, "adapters": 3}
                        for name in ("m0", "m1", "m2", "m3")
                    ],
                },
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 65536,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    document.update(changes)
    return document
