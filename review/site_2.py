"""Stand-ins for the cases of the second review: platform, operator, replicas and clients.

Standard library only. The programs under test are started with the commands of the deploy file and
settings like those of the site huon-hq, on loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
ID = "X-Crowsill-Request-Id"
STAMP = "X-Crowsill-Server-Stamp"
HEARTBEAT_S = 1.2
# Bounds of the site huon-hq.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configMs": 2000, "backMs": 250,
    "outerMs": 5000, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 52, "recoverS": 12,
    "passMs": 120, "retryAfterS": 0, "requireFence": True, "leaseMs": 3000, "thawMs": 300,
    "ceilingWindowS": 5, "ceilingOver": 1.1,
}  # fmt: skip


class CannotRunError(Exception):
    """The case could not run, so that it shows nothing."""


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with times in seconds."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._began_s

    def note(self, text):
        self._file.write(f"{self.now_s():8.3f}  {text}\n")
        self._file.flush()


async def http(address, method, path, headers=(), body=b"", timeout_s=1.0):
    """Send one HTTP request on a new connection; return status, headers and body.

    Raises:
        OSError, TimeoutError: There was no complete answer.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            names = {name.lower() for name, _ in headers}
            if "host" not in names:
                lines.append(f"Host: {address}")
            lines.extend(f"{name}: {value}" for name, value in headers)
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return await read_answer(reader)
        finally:
            writer.transport.abort()


async def read_head(reader):
    """Read a start line and headers; raise OSError if the connection ends first."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError("the connection ended before the head was complete") from error
    first, *rest = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in rest:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Read a body with a length or in chunks; raise OSError if the connection ends first."""
    try:
        if headers.get("transfer-encoding", "").lower() != "chunked":
            return await reader.readexactly(int(headers.get("content-length", "0")))
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            parts.append((await reader.readexactly(size + 2))[:-2])
            if size == 0:
                return b"".join(parts)
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError("the connection ended inside the body") from error


async def read_answer(reader):
    """Read an HTTP answer; return status, headers and body."""
    first, headers = await read_head(reader)
    return int(first.split()[1]), headers, await read_body(reader, headers)


class Machine:
    """One machine with one process of the system."""

    def __init__(self, site, name, ip, role):
        self.site, self.name, self.ip, self.role = site, name, ip, role
        self.process = None
        self.folder = site.folder / name
        self.folder.mkdir()
        self.data = self.folder / "data"
        self.settings = self.folder / "boot.toml"

    @property
    def control(self):
        return f"{self.ip}:{self.site.control_port}"

    @property
    def front(self):
        return f"{self.ip}:{self.site.front_port}"

    @property
    def ready(self):
        return f"{self.ip}:{self.site.ready_port}"

    def write_settings(self, seeds, bootstrap):
        """Write the settings file; the platform replaces it in one step."""
        is_core = self.role == "control"
        if is_core:
            listen = [f'control = "{self.control}"']
        else:
            listen = [f'front = "{self.front}"', f'ready = "{self.ready}"']
        lines = [
            f'node = "{self.name}"',
            f'role = "{self.role}"',
            f'machineClass = "{DEPLOY["roles"][self.role]["on"]}"',
            f"serves = {json.dumps(DEPLOY['roles'][self.role]['serves'])}",
            f'ip = "{self.ip}"',
            'zone = "hobart-hall"',
            'region = "tas-south"',
            f"innerPorts = [{self.site.inner_port}, {self.site.inner_port + 1}]",
            f"seeds = {json.dumps([item.control for item in seeds])}",
            f"bootstrap = {json.dumps(bootstrap)}",
            f"countsTowardFaults = {json.dumps(is_core)}",
            *([f'dataDir = "{self.data}"'] if is_core else []),
            'discovery = "registration"',
            'entry = "vip"',
            f"heartbeatMs = {int(HEARTBEAT_S * 1000)}",
            'contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine"]',
            'configMode = "highest"',
            "[zones]",
            'hobart-hall = "tas-south"',
            "[listen]",
            *listen,
            "[tolerate]",
            "machines = 2",
            "zones = 0",
            "regions = 0",
            "[bounds]",
            *(f"{name} = {json.dumps(value)}" for name, value in BOUNDS.items()),
        ]
        temporary = self.settings.with_suffix(".new")
        temporary.write_text("\n".join(lines) + "\n", encoding="utf-8")
        temporary.replace(self.settings)

    def start(self, seeds, bootstrap=False):
        """Start the process with the command of the deploy file."""
        self.write_settings(seeds, bootstrap)
        if self.role == "control":
            self.data.mkdir(exist_ok=True)
        words = DEPLOY["roles"][self.role]["run"].split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["CROWSILL_CONFIG"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / "log.txt").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *words[1:]], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        """Send a signal to the process that this machine runs."""
        if self.is_running:
            self.process.send_signal(number)

    def kill(self):
        """End the process at once, as a loss of power does; the files stay."""
        if self.is_running:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def lose_disk(self):
        """Empty the data folder."""
        shutil.rmtree(self.data, ignore_errors=True)


class Site:
    """The machines of a small deployment: five of the core and some gateways."""

    def __init__(self, core=5, fronts=2):
        self.folder = Path(tempfile.mkdtemp(prefix="crowsill-review-"))
        self.control_port, self.front_port, self.ready_port, self.inner_port = free_ports()
        self.core = [Machine(self, f"core-{n}", f"127.61.1.{n}", "control") for n in range(1, core + 1)]
        self.fronts = [
            Machine(self, f"front-{n}", f"127.61.2.{n}", "gateway") for n in range(1, fronts + 1)
        ]
        self.more = []

    @property
    def machines(self):
        return [*self.core, *self.fronts, *self.more]

    def close(self):
        """End all processes and remove their files."""
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.kill()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def free_ports():
    """Return three free ports, and the first of two free neighbours."""
    with contextlib.ExitStack() as stack:
        found = []
        while len(found) < 4:
            first = stack.enter_context(socket.socket())
            first.bind(("127.61.1.1", 0))
            port = first.getsockname()[1]
            if len(found) == 3:
                second = stack.enter_context(socket.socket())
                try:
                    second.bind(("127.61.1.1", port + 1))
                except OSError:
                    continue
            found.append(port)
        return found


class Operator:
    """Sends configurations as the pages tell: to any node, following 307 twice, until it is clear."""

    def __init__(self, record, addresses):
        self._record = record
        self._addresses = addresses
        self._turn = 0

    async def _call(self, method, body=b"", timeout_s=1.0):
        addresses = self._addresses()
        target = addresses[self._turn % len(addresses)]
        self._turn += 1
        path = "/config"
        for _ in range(3):
            headers = [("Content-Type", "application/json")] if body else []
            status, answer, content = await http(target, method, path, headers, body, timeout_s)
            if status != 307:
                return target, status, content
            target, _, path = answer["location"].removeprefix("http://").partition("/")
            path = "/" + path
        return target, 0, b""

    async def put(self, document, until_s):
        """Send a configuration until it is acknowledged; return whether it was.

        Args:
            document: The configuration.
            until_s: Monotonic time after which nothing is sent.
        """
        body = json.dumps(document).encode()
        pause_s = 0.1
        while time.monotonic() < until_s:
            try:
                target, status, _ = await self._call("PUT", body)
            except (OSError, TimeoutError) as error:
                target, status = "", type(error).__name__
            self._record.note(f"operator PUT version {document['version']} at {target}: {status}")
            if status == 200:
                return True
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, pause_s * 1.5)
        return False

    async def get(self):
        """Read the configuration once; return status and version (0 without one)."""
        target, status, content = await self._call("GET", timeout_s=2.0)
        version = json.loads(content)["version"] if status == 200 else 0
        self._record.note(f"operator GET at {target}: {status} version {version}")
        return status, version


class Replica:
    """A sound replica of a plain service: registers itself, and runs what is sent to it."""

    def __init__(self, record, name, ip, service, control, work_s=0.02):
        self.record, self.name, self.ip, self.service = record, name, ip, service
        self.work_s = work_s
        self.state = "ready"
        self.runs = {}
        self.acknowledged_at_s = {}
        self._control = control
        self._turn = 0
        self._sequence = 0
        self._server = None
        self._beats = None
        self._writers = set()

    @property
    def address(self):
        return f"{self.ip}:{self._server.sockets[0].getsockname()[1]}"

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        self._beats = asyncio.create_task(self._beat())

    def description(self):
        """Return further fields of a heartbeat."""
        return {}

    async def _beat(self):
        while True:
            await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def heartbeat(self):
        """Send one heartbeat, to the next node until one acknowledges it."""
        for _ in range(10):
            self._sequence += 1
            document = {
                "service": self.service, "addr": self.address, "zone": "hobart-hall",
                "version": "v1", "slots": 6, "state": self.state, "coldLeftMs": 0,
                "seq": self._sequence, **self.description(),
            }  # fmt: skip
            addresses = self._control()
            target = addresses[self._turn % len(addresses)]
            headers = [("Content-Type", "application/json")]
            try:
                status, _, _ = await http(
                    target, "PUT", f"/instances/{self.name}", headers, json.dumps(document).encode()
                )
            except (OSError, TimeoutError) as error:
                status = type(error).__name__
            if status == 200:
                if self.state not in self.acknowledged_at_s:
                    self.acknowledged_at_s[self.state] = time.monotonic()
                    self.record.note(f"replica {self.name} {self.state}: acknowledged by {target}")
                return True
            self._turn += 1
            await asyncio.sleep(0.1)
        return False

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                writer.write(await self.answer(first, headers, body))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, first, headers, body):
        """Return the answer to one request as bytes."""
        del body
        path = first.split()[1]
        request_id = headers.get(ID.lower(), "")
        if path == "/health":
            return encode(200, [("X-Crowsill-Instance-Id", self.name)], b"")
        if headers.get("x-crowsill-expect-instance", self.name) != self.name:
            return encode(421, [(ID, request_id), ("X-Crowsill-Not-Run", "1")], b"")
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.record.note(f"replica {self.name} runs {request_id}: {first}")
        await asyncio.sleep(self.work_s)
        return encode(200, [(ID, request_id), (STAMP, f"stamp.{self.name}")], b"done " + path.encode())

    async def stop(self):
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


def encode(status, headers, body):
    """Encode an HTTP answer with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def configuration(version, **more):
    """Return a configuration with one route of a plain service, and further routes."""
    routes = [
        {
            "name": "start-auth", "host": "charge.example", "pathPrefix": "/start/",
            "kind": "non_idempotent", "timeoutMs": 800, "targetLatencyMs": 100, "priority": 2,
            "service": "session-api", "maxAttempts": 1,
        },
        *more.get("routes", []),
    ]  # fmt: skip
    services = [
        {"name": "session-api", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": False},
        *more.get("services", []),
    ]
    limits = {
        "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }  # fmt: skip
    return {"version": version, "routes": routes, "services": services, "limits": limits}


async def ask(record, front, path, request_id, deadline_ms=1500, body=b"x", more=()):
    """Send a client's request on a new connection; return the status, or the error's name."""
    headers = [
        ("Host", "charge.example"), (ID, request_id),
        ("X-Crowsill-Request-Deadline", str(deadline_ms)), *more,
    ]  # fmt: skip
    record.note(f"client sends {request_id} to {front.name}: POST {path}")
    try:
        status, answer, _ = await http(
            front.front, "POST", path, headers, body, deadline_ms / 1000.0 + 1.0
        )
        if status == 200 and STAMP.lower() not in answer:
            status = "200 without a stamp"
    except (OSError, TimeoutError) as error:
        status = type(error).__name__
    record.note(f"client gets {status} for {request_id}")
    return status


def run_case(case, folder):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        is_broken, detail = asyncio.run(case(record, has_trouble))
    except (CannotRunError, OSError, TimeoutError) as error:
        record.note(f"the case couldn't run: {error!r}")
        print(f"the case couldn't run: {error!r}")
        sys.exit(2)
    verdict = "broken" if is_broken else "held"
    record.note(f"the rule {verdict}: {detail}")
    print(f"the rule {verdict}: {detail}")
    sys.exit(1 if is_broken else 0)
