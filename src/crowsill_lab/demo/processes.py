"""Starts and stops the processes of a run; each is terminated by its own process id."""

import os
import signal
import socket
import subprocess
import sys
import time
from collections import deque
from pathlib import Path

STOP_TIMEOUT_S = 30.0


# Allocated ports stay bound by this process, which never listens on them. The maximum is the number
# of ports of the largest run, so that a process with many runs does not leak open files.
MAX_HELD_PORTS = 400
_held_sockets: deque[socket.socket] = deque()


def free_ports(count: int) -> list[int]:
    """Return ports that are free at all addresses.

    No other process gets such a port from the system until `MAX_HELD_PORTS` more are allocated. A
    process that binds the port explicitly with SO_REUSEADDR, as servers do, can still listen on it.
    Without holding the ports, two of six processes got the same port in 153 of 20,000 starts.
    """
    ports = []
    for _ in range(count):
        held_socket = socket.socket()
        held_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held_socket.bind(("0.0.0.0", 0))
        _held_sockets.append(held_socket)
        if len(_held_sockets) > MAX_HELD_PORTS:
            _held_sockets.popleft().close()
        ports.append(held_socket.getsockname()[1])
    return ports


class ManagedProcess:
    """One child process with its log file.

    Attributes:
        name: Name in messages and of the log file.
        log: File with its output to stdout and stderr.
    """

    def __init__(self, name: str, command: list[str], folder: Path) -> None:
        self.name = name
        self.log = folder / f"{name}.log"
        self._command = command
        self._process: subprocess.Popen[bytes] | None = None
        self.start()

    def start(self) -> None:
        """Start the process, or restart it after it ended.

        On SIGABRT it writes the stack of each thread to its log.
        """
        environment = {**os.environ, "PYTHONFAULTHANDLER": "1"}
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                self._command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=environment
            )

    @property
    def pid(self) -> int:
        """Process id."""
        if self._process is None:
            raise RuntimeError(f"{self.name} is not started")
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code; None while it runs."""
        return None if self._process is None else self._process.poll()

    def send(self, sent_signal: signal.Signals) -> None:
        """Send a signal, if it still runs."""
        if self.exit_code is None:
            os.kill(self.pid, sent_signal)

    def hang_up(self) -> bool:
        """Send SIGHUP, unless the program does not handle it yet: the signal would terminate it.

        No program can handle a signal before its first lines have run, 20 to 50 ms after the start.
        A supervisor would restart it; a soak does not, and its member was missing for 18 s.

        Returns:
            Whether the signal was sent.
        """
        if self.exit_code is not None or not self._handles_hang_up():
            return False
        self.send(signal.SIGHUP)
        return True

    def _handles_hang_up(self) -> bool:
        try:
            lines = Path(f"/proc/{self.pid}/status").read_text().splitlines()
        except OSError:
            return False
        fields = dict(line.split(":\t", 1) for line in lines if ":\t" in line)
        handled = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
        return bool(handled >> (signal.SIGHUP - 1) & 1)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Wait until the process ends; return the exit code, or None if it still runs."""
        if self._process is None:
            return None
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL if the process does not end within a second."""
        if self.exit_code is None:
            self.send(signal.SIGTERM)
            if self.wait(1.0) is None:
                self.send(signal.SIGKILL)
                self.wait()

    def cpu_s(self) -> float:
        """Return the CPU time used so far in seconds; 0 after the process ended."""
        try:
            fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return 0.0
        ticks = int(fields[11]) + int(fields[12])
        return float(ticks) / os.sysconf("SC_CLK_TCK")

    def resident_mib(self) -> float:
        """Return the resident memory in MiB; 0 after the process ended."""
        try:
            text = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0.0
        line = next((item for item in text.splitlines() if item.startswith("VmRSS")), "VmRSS: 0")
        return int(line.split()[1]) / 1024


def module_command(module: str, *arguments: str) -> list[str]:
    """Return the command that runs a module with this Python interpreter."""
    return [sys.executable, "-m", module, *arguments]


def wait_for_port(port: int, timeout_s: float, host: str = "127.0.0.1") -> bool:
    """Wait until a process listens on a port; return whether one does."""
    deadline_at_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_at_s:
        with socket.socket() as probe:
            probe.settimeout(0.2)
            if probe.connect_ex((host, port)) == 0:
                return True
        time.sleep(0.02)
    return False
