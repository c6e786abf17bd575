"""Stand-ins for the platform, the replicas, the clients and the operator; standard library only.

A `Site` writes settings files in the platform's format, starts the processes of the deploy file on
loopback addresses, and ends them. `Replica` speaks the users' protocol without faults; cases derive
from it. Everything sent, answered and run goes to `record.txt` in the folder of the case.
"""

import asyncio
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
from types import SimpleNamespace

ROOT = Path(__file__).resolve().parents[1]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
HEARTBEAT_S = 1.2
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configMs": 2000,
    "backMs": 250,
    "outerMs": 5000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 52,
    "recoverS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "requireFence": True,
    "leaseMs": 3000,
    "thawMs": 300,
    "ceilingWindowS": 5,
    "ceilingOver": 1.1,
}
HELD, BROKEN, UNUSABLE = 0, 1, 2
# Core machines have 127.0.1.x, front machines 127.0.2.x, replicas 127.0.3.x.
FIRST_IP = "127.0.1.1"


class Record:
    """The record of a run: one line an event, with the seconds since the start."""

    def __init__(self, folder, start_s=None):
        """Begin a record, or go on with that of another process that began at `start_s`."""
        mode = "w" if start_s is None else "a"
        self._file = (Path(folder) / "record.txt").open(mode, encoding="utf-8", buffering=1)
        self.start_s = time.monotonic() if start_s is None else start_s

    def __call__(self, *words):
        line = f"{time.monotonic() - self.start_s:8.3f}  " + " ".join(str(word) for word in words)
        self._file.write(line + "\n")


def free_ports(number):
    """Return ports that are free on a loopback address that only these stand-ins use."""
    sockets = [socket.socket() for _ in range(number)]
    for item in sockets:
        item.bind((FIRST_IP, 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Node:
    """One machine with one process of the deploy file."""

    def __init__(self, site, name, ip, role, zone):
        self.site, self.name, self.ip, self.role, self.zone = site, name, ip, role, zone
        self.folder = site.folder / name
        self.folder.mkdir()
        self.data = self.folder / "data"
        self.process = None
        self.starts = 0
        # Exit codes of ends that nobody asked for.
        self.own_ends = []
        self._is_ended_by_test = False

    @property
    def control(self):
        return (self.ip, self.site.control_port)

    @property
    def front(self):
        return (self.ip, self.site.front_port)

    @property
    def ready(self):
        return (self.ip, self.site.ready_port)

    def write_settings(self, bootstrap):
        site, role = self.site, DEPLOY["roles"][self.role]
        seeds = [f"{node.ip}:{site.control_port}" for node in site.seeds]
        listen = {"control": f"{self.ip}:{site.control_port}"}
        if "front" in role["serves"]:
            listen = {
                "front": f"{self.ip}:{site.front_port}",
                "ready": f"{self.ip}:{site.ready_port}",
            }
        is_core = self.role == "control"
        lines = [
            f'node = "{self.name}"',
            f'role = "{self.role}"',
            f'machineClass = "{role["on"]}"',
            f"serves = {json.dumps(role['serves'])}",
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            'region = "tas-south"',
            f"innerPorts = {json.dumps(site.inner_ports)}",
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {json.dumps(bootstrap)}",
            f"countsTowardFaults = {json.dumps(is_core)}",
            *([f"dataDir = {json.dumps(str(self.data))}"] if is_core else []),
            'discovery = "registration"',
            'entry = "vip"',
            f"heartbeatMs = {int(HEARTBEAT_S * 1000)}",
            'contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine"]',
            'configMode = "highest"',
            "[zones]",
            *[f'{zone} = "tas-south"' for zone in site.zones],
            "[listen]",
            *[f"{name} = {json.dumps(value)}" for name, value in listen.items()],
            "[tolerate]",
            "machines = 2",
            "zones = 0",
            "regions = 0",
            "[bounds]",
            *[f"{name} = {json.dumps(value)}" for name, value in BOUNDS.items()],
        ]
        (self.folder / "boot.toml").write_text("\n".join(lines) + "\n", encoding="utf-8")

    def start(self, bootstrap):
        """Start the process with the command of the deploy file, as the platform does."""
        self.write_settings(bootstrap)
        self.starts += 1
        self._is_ended_by_test = False
        command = DEPLOY["roles"][self.role]["run"].split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["CROWSILL_CONFIG"] = str(self.folder / "boot.toml")
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / "log.txt").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.site.record("platform starts", self.name, f"bootstrap={bootstrap}")

    def signal(self, number):
        self.site.record("platform sends", signal.Signals(number).name, "to", self.name)
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._is_ended_by_test = True
        self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    def note_end(self):
        """Return whether the process has ended by itself; record it once."""
        if self.process is None or self._is_ended_by_test or self.process.poll() is None:
            return False
        code = self.process.returncode
        self.own_ends.append(code)
        self.site.record("process of", self.name, "ended by itself with code", code)
        return True


class Site:
    """The machines of a small deployment, and the platform that keeps their processes running."""

    def __init__(self, case_folder, core=5, fronts=2):
        self.record = Record(case_folder)
        # Processes of replicas.
        self.processes = []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.zones = ["hobart-hall", "kingston-hall", "glenorchy-hall"]
        ports = free_ports(4)
        self.control_port, self.front_port, self.ready_port = ports[:3]
        self.inner_ports = self._inner_ports()
        self.core = [
            Node(self, f"core-{n}", f"127.0.1.{n + 1}", "control", self.zones[n % 3])
            for n in range(core)
        ]
        self.seeds = self.core[:3]
        self.fronts = [
            Node(self, f"front-{n}", f"127.0.2.{n + 1}", "gateway", self.zones[n % 3])
            for n in range(fronts)
        ]

    @staticmethod
    def _inner_ports():
        """Return the first and last of some free ports in a row."""
        while True:
            (first,) = free_ports(1)
            if first + 7 < 65000:
                try:
                    for port in range(first, first + 8):
                        with socket.socket() as item:
                            item.bind((FIRST_IP, port))
                except OSError:
                    continue
                return [first, first + 7]

    @property
    def nodes(self):
        return self.core + self.fronts

    def start(self):
        for node in self.nodes:
            node.start(bootstrap=True)

    async def keep_running(self, restart_after_s=0.5):
        """Start processes again that end by themselves, as the platform does, until cancelled."""
        while True:
            for node in self.nodes:
                if node.note_end():
                    await asyncio.sleep(restart_after_s)
                    node.start(bootstrap=False)
            await asyncio.sleep(0.05)

    def stop(self):
        """End all processes that were started, and remove the temporary folder."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def ready(self, node):
        """Return the status of the readiness check of a front machine; 0 without an answer."""
        try:
            status, _, _ = await http(node.ready, "GET", "/ready", {}, b"", 1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0
        return status

    async def wait_ready(self, within_s=15.0):
        """Wait until all front machines call themselves ready."""
        end_s = time.monotonic() + within_s
        while time.monotonic() < end_s:
            states = [await self.ready(node) for node in self.fronts]
            if all(state == 200 for state in states):
                self.record("all front machines are ready")
                return True
            await asyncio.sleep(0.1)
        self.record("front machines are not ready after", within_s, "s")
        return False

    async def order(self, method, path, document, node, timeout_s=1.0):
        """Make one call of the operator to one machine; return status and body, 0 for silence."""
        body = b"" if document is None else json.dumps(document).encode()
        try:
            status, _, answer = await http(
                node.control, method, path, {"Content-Type": "application/json"}, body, timeout_s
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status, answer = 0, b""
        return status, answer

    async def publish(self, document, within_s=15.0):
        """Publish a configuration as the operator does; return the last status."""
        end_s, turn, status = time.monotonic() + within_s, 0, 0
        version = document["version"]
        while time.monotonic() < end_s:
            node = self.core[turn % len(self.core)]
            status, _ = await self.order("PUT", "/config", document, node, 2.0)
            self.record("operator: PUT /config version", version, "at", node.name, "->", status)
            if status and status < 500 and status not in (408, 429):
                return status
            turn += 1
            await asyncio.sleep(min(0.2 * turn, 1.0))
        return status


async def read_head(reader):
    """Read the head of a message; return its first line and its headers (lower-case names)."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Read a body by its framing."""
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return b"".join(parts)
            parts.append(part)
    return b""


def encode(first, headers, body=b""):
    lines = [first, *[f"{name}: {value}" for name, value in headers.items()], "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def http(address, method, path, headers, body, timeout_s):
    """Make one HTTP call on a connection of its own; return status, headers and body."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            host = headers.get("Host", f"{address[0]}:{address[1]}")
            sent = {"Host": host, **headers, "Content-Length": len(body), "Connection": "close"}
            writer.write(encode(f"{method} {path} HTTP/1.1", sent, body))
            first, answered = await read_head(reader)
            status = int(first.split(" ")[1])
            return status, answered, await read_body(reader, answered)
        finally:
            writer.transport.abort()


class Replica:
    """A replica that speaks the users' protocol without faults."""

    def __init__(self, site, number, service, models=None, version="v1", slots=8, zone=None):
        self.site, self.service, self.version, self.slots = site, service, version, slots
        self.zone = zone or site.zones[number % 3]
        self.id = f"i-{os.urandom(4).hex()}"
        self.ip, self.port = f"127.0.3.{number + 1}", 0
        self.models = models
        self.state = "ready"
        self.seq = 0
        self.orders_taken = 0
        self.ran = []
        self._beat_address = None
        self._server = None
        self._beats = None
        self._writers = set()
        self._running = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beats = asyncio.create_task(self._send_beats())
        self.site.record("replica", self.id, self.service, self.version, f"{self.ip}:{self.port}")
        return self

    def crash(self):
        """End at once, as by a kill: the port and all connections are closed."""
        self.site.record("replica", self.id, "crashes")
        self.stop()

    def stop(self):
        self._server.close()
        self._beats.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._running):
            task.cancel()

    def description(self):
        self.seq += 1
        document = {
            "service": self.service,
            "addr": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.seq,
        }
        if self.models is not None:
            document["stage"] = "both"
            document["models"] = self._held()
        return document

    def _held(self):
        return [{"name": name, "version": 1, "adapters": []} for name in self.models]

    async def beat(self):
        """Send one heartbeat; return whether it was acknowledged."""
        known = [self._beat_address] if self._beat_address else []
        body = json.dumps(self.description()).encode()
        for address in known + [node.control for node in self.site.core]:
            try:
                status, _, answer = await http(
                    address, "PUT", f"/instances/{self.id}", {}, body, 1.0
                )
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                self._beat_address = None
                continue
            if 200 <= status < 300:
                told = json.loads(answer or b"{}").get("beatAddr")
                if told:
                    host, _, port = told.rpartition(":")
                    self._beat_address = (host, int(port))
                return True
        return False

    async def _send_beats(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        task = asyncio.current_task()
        self._running.add(task)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = first.split(" ")
                await self.answer(method, path, headers, body, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._running.discard(task)
            writer.transport.abort()

    def reply(self, writer, status, headers, body=b""):
        writer.write(
            encode(f"HTTP/1.1 {status} X", {**headers, "Content-Length": len(body)}, body)
        )

    async def answer(self, method, path, headers, body, writer):
        expected = headers.get("x-crowsill-expect-instance")
        request_id = headers.get("x-crowsill-request-id", "")
        echo = {"X-Crowsill-Request-Id": request_id}
        if expected not in (None, self.id):
            self.reply(writer, 421, {**echo, "X-Crowsill-Not-Run": "1"})
        elif (method, path) == ("GET", "/report"):
            self.reply(writer, 200, {"Content-Type": "application/json"}, self._report())
        elif (method, path) == ("POST", "/order"):
            self.reply(writer, self._order(json.loads(body)), {})
        elif (method, path) == ("GET", "/health"):
            self.reply(writer, 200, {"X-Crowsill-Instance-Id": self.id})
        elif not request_id:
            self.reply(writer, 400, {"X-Crowsill-Not-Run": "1"})
        else:
            await self.run(request_id, headers, body, writer)

    async def run(self, request_id, headers, body, writer):
        """Run a request and answer it."""
        self.note_run(request_id)
        answer = b"done " + request_id.encode()
        self.reply(writer, 200, self.signed(request_id), answer)

    def note_run(self, request_id, *more):
        self.ran.append(request_id)
        self.site.record("replica", self.id, "runs", request_id, *more)

    def signed(self, request_id):
        return {
            "X-Crowsill-Request-Id": request_id,
            "X-Crowsill-Server-Stamp": f"stamp.{self.id}.{len(self.ran)}",
        }

    def _report(self):
        return json.dumps(
            {
                "stage": "both",
                "models": self._held() if self.models is not None else [],
                "busy": False,
                "seq": self.orders_taken,
                "queued": 0,
                "running": 0,
                "kvUsed": 0,
                "kvTotal": 132029,
                "handles": 0,
            }
        ).encode()

    def _order(self, order):
        if order.get("expect", self.orders_taken) != self.orders_taken:
            return 409
        loads, model = order["op"] == "load", order["model"]
        if order.get("adapter") or self.models is None:
            return 400
        if (model in self.models) is loads:
            return 200
        self.orders_taken += 1
        (self.models.append if loads else self.models.remove)(model)
        return 202


class RemoteSite:
    """What a replica in a process of its own knows of the site."""

    def __init__(self, folder, start_s, zones, addresses):
        self.record = Record(folder, start_s)
        self.zones = zones
        self.core = [SimpleNamespace(control=address) for address in addresses]


class ReplicaProcess:
    """A replica in a process of its own, so that it can be killed."""

    def __init__(self, site, script, number):
        self.site = site
        told = {
            "start_s": site.record.start_s,
            "zones": site.zones,
            "addresses": [node.control for node in site.core],
            "number": number,
        }
        self.number = number
        self._process = subprocess.Popen(
            [sys.executable, "-B", str(script), "replica", json.dumps(told)], stdin=subprocess.DEVNULL
        )
        site.processes.append(self._process)

    def kill(self):
        """Kill the process and wait for its end."""
        self.site.record("replica", self.number, "is killed (SIGKILL)")
        self._process.kill()
        self._process.wait()


def run_replica(make, case_folder, told):
    """Run a replica in this process until it is killed.

    Args:
        make: Makes the replica, from a site and its number.
        case_folder: Folder of the case.
        told: What the process that started this one tells it.
    """
    known = json.loads(told)
    addresses = [tuple(address) for address in known["addresses"]]
    site = RemoteSite(case_folder, known["start_s"], known["zones"], addresses)

    async def serve():
        await make(site, known["number"]).start()
        # Not for ever, should the case end without its replicas.
        await asyncio.sleep(130.0)

    asyncio.run(serve())


def finish(site, status, text):
    """Record the result, print it, and return the exit code."""
    site.record("RESULT", status, text)
    sys.stdout.write(f"{ {0: 'held', 1: 'BROKEN', 2: 'could not run'}[status]}: {text}\n")
    return status


def run_case(case, case_folder, limit_s=110.0, **options):
    """Run a case: a coroutine function of a site and whether there is trouble; exit with its code."""
    site = Site(case_folder, **options)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    site.record("case", Path(case_folder).name, "trouble" if has_trouble else "no trouble")

    async def main():
        try:
            async with asyncio.timeout(limit_s):
                return await case(site, has_trouble)
        except TimeoutError:
            return finish(site, UNUSABLE, "the case took too long")

    try:
        code = asyncio.run(main())
    except Exception as error:  # noqa: BLE001
        import traceback

        site.record(traceback.format_exc())
        code = finish(site, UNUSABLE, f"the case failed itself: {error!r}")
    finally:
        site.stop()
    sys.exit(code)
