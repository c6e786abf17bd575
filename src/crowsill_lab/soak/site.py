"""Starts the processes of a soak: control members behind relays, and gateways."""

import contextlib
import json
import signal
import time
from collections.abc import Iterator
from pathlib import Path

from crowsill_lab.demo.processes import ManagedProcess, free_ports, module_command, wait_for_port
from crowsill_lab.relay import CuttingRelay, SilencingRelay
from crowsill_lab.soak.signal_ledger import GatewayRun

HOST = "127.0.0.1"
DRAIN_GRACE_S = 3.0
READINESS_LAG_S = 0.5
START_TIMEOUT_S = 10.0

# Switches of `[gateway.load_control]` that are off by default.
LOAD_CONTROL_SWITCHES = ("ordered_waiting", "shared_admission", "shared_failures", "cost_estimates")


def _address(port: int) -> str:
    return f'{{ host = "{HOST}", port = {port} }}'


class Member:
    """A control member.

    Attributes:
        host: IP address.
        relay: Relay through which other processes reach the member, or None.
        listen_port: Port on which the member listens for other crowsill processes.
        peer_port: Port at which those processes reach it, which may be that of the relay.
        registration_port: Port for replicas and operators.
    """

    def __init__(self, number: int) -> None:
        self.name = f"m{number}"
        self.host = HOST
        self.listen_port, self.peer_port, self.registration_port = free_ports(3)
        self.relay: SilencingRelay | None = CuttingRelay()
        self.process: ManagedProcess | None = None

    def settings(self, peers: list["Member"], folder: Path) -> str:
        """Return the settings file's text."""
        members = [
            f'{{ name = "{peer.name}", host = "{HOST}", port = {peer.peer_port} }}'
            for peer in peers
        ]
        lines = [
            f'node = "{self.name}"',
            'zone = "z"',
            "[control]",
            f"data_folder = {json.dumps(str(folder / self.name))}",
            f"listen = {_address(self.listen_port)}",
            f"registrations = {_address(self.registration_port)}",
            f"initial_members = [{', '.join(members)}]",
            "replica_heartbeat_s = 0.5",
        ]
        return "\n".join(lines) + "\n"


class Gateway:
    """A gateway.

    Attributes:
        host: IP address.
        caller_port: Port for callers.
        readiness_port: Port for readiness probes.
        peer_port: Port for other gateways.
        starts: Number of starts.
        interruptions: Counts the start and the end of each kill and pause. A request that
            overlaps one may end without a response.
        disturbances: Begin and end of each kill, pause and stop.
        disturbed_at_s: Monotonic time at which its last kill, pause or stop ended; infinite during
            one.
    """

    def __init__(self, number: int) -> None:
        self.name = f"g{number}"
        self.host = HOST
        self.caller_port, self.readiness_port, self.peer_port = free_ports(3)
        self.process: ManagedProcess | None = None
        self.starts = 0
        self.interruptions = 0
        self.disturbed_at_s = float("-inf")
        self.disturbances: list[tuple[float, float]] = []

    @contextlib.contextmanager
    def disturbance(self) -> Iterator[None]:
        """Mark the time during which the process is killed, paused or stopped."""
        began_s = time.monotonic()
        self.disturbed_at_s = float("inf")
        try:
            yield
        finally:
            self.disturbed_at_s = time.monotonic()
            self.disturbances.append((began_s, self.disturbed_at_s))

    def is_in_touch(self, since_s: float) -> bool:
        """Whether the process has run undisturbed since a monotonic time."""
        return self.disturbed_at_s <= since_s

    def current_run(self) -> GatewayRun:
        """Return the current uninterrupted run."""
        return GatewayRun(self.name, self.starts, self.interruptions)

    def settings(self, members: list[Member], has_load_control: bool = False) -> str:
        """Return the settings file's text.

        Args:
            members: The control members.
            has_load_control: Whether all decisions under load are switched on.
        """
        seeds = ", ".join(_address(member.peer_port) for member in members)
        lines = [
            f'node = "{self.name}"',
            'zone = "z"',
            "[gateway]",
            f"callers = {_address(self.caller_port)}",
            f"ready = {_address(self.readiness_port)}",
            f"peers = {_address(self.peer_port)}",
            f"control_seeds = [{seeds}]",
            f"grace_s = {DRAIN_GRACE_S}",
            f"readiness_lag_s = {READINESS_LAG_S}",
        ]
        if has_load_control:
            lines.append("[gateway.load_control]")
            lines.extend(f"{name} = true" for name in LOAD_CONTROL_SWITCHES)
        return "\n".join(lines) + "\n"


class SoakSite:
    """All processes of a soak whose control members are listed in the settings."""

    def __init__(
        self, folder: Path, members: int, gateways: int, has_load_control: bool = False
    ) -> None:
        self._folder = folder
        self._has_load_control = has_load_control
        self.members = [Member(number) for number in range(members)]
        self.gateways = [Gateway(number) for number in range(gateways)]

    async def start(self) -> None:
        """Start relays and processes."""
        self._folder.mkdir(parents=True, exist_ok=True)
        for member in self.members:
            if member.relay is not None:
                await member.relay.listen(member.peer_port, member.listen_port)
            text = member.settings(self.members, self._folder)
            member.process = self._start(member.name, text)
        for gateway in self.gateways:
            gateway.process = self._start(
                gateway.name, gateway.settings(self.members, self._has_load_control)
            )
            gateway.starts = 1
        for member in self.members:
            wait_for_port(member.registration_port, START_TIMEOUT_S)

    def _start(self, name: str, settings: str) -> ManagedProcess:
        path = self._folder / f"{name}.toml"
        path.write_text(settings, encoding="utf-8")
        return ManagedProcess(name, module_command("crowsill.daemon", str(path)), self._folder)

    def processes(self) -> list[ManagedProcess]:
        """Return all processes that were started."""
        processes = [member.process for member in self.members]
        processes += [gateway.process for gateway in self.gateways]
        return [process for process in processes if process is not None]

    def stop(self) -> None:
        """Terminate every process by its process id."""
        for process in self.processes():
            process.send(signal.SIGCONT)
            process.terminate()
        for member in self.members:
            if member.relay is not None:
                member.relay.close()
