"""The site of a soak that loses machines, disks and seeds: a group that forms by itself.

Each machine has its own address, and all use the same ports, because a process without a disk
redirects callers to the same port of the leader's host. The group forms from the first seeds and
repairs itself.
"""

import json
import shutil
import signal
from pathlib import Path

from crowsill_lab.demo.processes import ManagedProcess, free_ports, module_command, wait_for_port
from crowsill_lab.soak.site import DRAIN_GRACE_S, READINESS_LAG_S, START_TIMEOUT_S, Gateway, Member

SEEDS = 3


def _address(host: str, port: int) -> str:
    return f'{{ host = "{host}", port = {port} }}'


class SeededMember(Member):
    """A control process of a self-forming group.

    Attributes:
        has_disk: Whether it may become a member. A process without a disk redirects callers to
            the members.
        bootstraps: Whether the process may form a new group; true only for the first start.
    """

    def __init__(self, name: str, host: str, ports: list[int], has_disk: bool) -> None:
        self.name = name
        self.host = host
        self.listen_port, self.registration_port = ports
        self.peer_port = self.listen_port
        self.relay = None
        self.process: ManagedProcess | None = None
        self.has_disk = has_disk
        self.bootstraps = True


class SeededSite:
    """All processes of a soak whose group forms from seeds.

    Attributes:
        members: Control processes, those without a disk last.
        gateways: Gateways.
        seeds: Control processes that the settings files list as seeds.
        tolerated_losses: Number of disks that may be lost at the same time.
    """

    def __init__(self, folder: Path, members: int, gateways: int, redirectors: int) -> None:
        self._folder = folder
        self._ports = free_ports(5)
        self._machines = 0
        self._started: list[ManagedProcess] = []
        self.tolerated_losses = (members - 1) // 2
        self.members = [self._new_member(has_disk=True) for _ in range(members)]
        self.members += [self._new_member(has_disk=False) for _ in range(redirectors)]
        self.gateways = [self._new_gateway(number) for number in range(gateways)]
        self.seeds = self.members[:SEEDS]

    def _new_host(self) -> str:
        self._machines += 1
        return f"127.0.{3 + self._machines // 200}.{1 + self._machines % 200}"

    def _new_member(self, has_disk: bool) -> SeededMember:
        host = self._new_host()
        name = f"{'m' if has_disk else 'p'}{self._machines}"
        return SeededMember(name, host, self._ports[:2], has_disk)

    def _new_gateway(self, number: int) -> Gateway:
        gateway = Gateway(number)
        gateway.host = self._new_host()
        gateway.caller_port, gateway.readiness_port, gateway.peer_port = self._ports[2:]
        return gateway

    def with_disks(self) -> list[SeededMember]:
        """Return the control processes that have a disk."""
        return [member for member in self.members if member.has_disk]

    async def start(self) -> None:
        """Start all processes for the first time."""
        self._folder.mkdir(parents=True, exist_ok=True)
        self.write_settings()
        for member in self.members:
            member.process = self._start(member.name)
        for gateway in self.gateways:
            gateway.process = self._start(gateway.name)
            gateway.starts = 1
        for member in self.members:
            wait_for_port(member.registration_port, START_TIMEOUT_S, member.host)
        for member in self.members:
            member.bootstraps = False

    def _start(self, name: str) -> ManagedProcess:
        command = module_command("crowsill.daemon", str(self._folder / f"{name}.toml"))
        process = ManagedProcess(name, command, self._folder)
        self._started.append(process)
        return process

    def write_settings(self) -> None:
        """Rewrite every settings file."""
        for member in self.members:
            self._write(member.name, self._member_settings(member))
        for gateway in self.gateways:
            self._write(gateway.name, self._gateway_settings(gateway))

    def _write(self, name: str, text: str) -> None:
        path = self._folder / f"{name}.toml"
        part = path.with_suffix(".part")
        part.write_text(text, encoding="utf-8")
        part.replace(path)

    def _seed_addresses(self) -> str:
        return ", ".join(_address(seed.host, seed.listen_port) for seed in self.seeds)

    def _member_settings(self, member: SeededMember) -> str:
        data_folder = str(self._folder / member.name) if member.has_disk else ""
        lines = [
            f'node = "{member.name}"',
            'zone = "z"',
            "[control]",
            f"data_folder = {json.dumps(data_folder)}",
            f"listen = {_address(member.host, member.listen_port)}",
            f"registrations = {_address(member.host, member.registration_port)}",
            f"seeds = [{self._seed_addresses()}]",
            f"bootstrap = {json.dumps(member.bootstraps)}",
            f"tolerated_losses = {self.tolerated_losses}",
            "replica_heartbeat_s = 0.5",
        ]
        return "\n".join(lines) + "\n"

    def _gateway_settings(self, gateway: Gateway) -> str:
        lines = [
            f'node = "{gateway.name}"',
            'zone = "z"',
            "[gateway]",
            f"callers = {_address(gateway.host, gateway.caller_port)}",
            f"ready = {_address(gateway.host, gateway.readiness_port)}",
            f"peers = {_address(gateway.host, gateway.peer_port)}",
            f"control_seeds = [{self._seed_addresses()}]",
            f"grace_s = {DRAIN_GRACE_S}",
            f"readiness_lag_s = {READINESS_LAG_S}",
        ]
        return "\n".join(lines) + "\n"

    def lose_disk(self, member: SeededMember) -> None:
        """Delete the data of a member whose process is not running."""
        shutil.rmtree(self._folder / member.name, ignore_errors=True)

    def replace(self, removed: SeededMember) -> SeededMember:
        """Replace a permanently removed machine by a new one with an empty disk."""
        replacement = self._new_member(has_disk=True)
        replacement.bootstraps = False
        self.members[self.members.index(removed)] = replacement
        self.seeds = [replacement if seed is removed else seed for seed in self.seeds]
        self.write_settings()
        replacement.process = self._start(replacement.name)
        return replacement

    def processes(self) -> list[ManagedProcess]:
        """Return all started processes except those of removed machines."""
        machines: list[Member | Gateway] = [*self.members, *self.gateways]
        return [machine.process for machine in machines if machine.process is not None]

    def stop(self) -> None:
        """Terminate every process that was ever started, by its process id."""
        for process in self._started:
            process.send(signal.SIGCONT)
            process.terminate()
