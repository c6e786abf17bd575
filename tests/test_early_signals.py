"""A SIGHUP during the start of a process must not terminate it.

By default SIGHUP terminates a process. The daemon handles it only after its modules are loaded: 0.2
to 0.25 s after the start, over a second on a busy machine. A gateway that was restarted and got
SIGHUP in this time ended without a log line and stayed down.
"""

import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from crowsill_lab.demo.processes import ManagedProcess, module_command
from crowsill_lab.soak.site import SoakSite
from tests.platform_site import PlatformSite


def signals(pid, field):
    """Return the signals that a process ignores (`SigIgn`) or catches (`SigCgt`)."""
    text = Path(f"/proc/{pid}/status").read_text()
    line = next(item for item in text.splitlines() if item.startswith(field))
    mask = int(line.split()[1], 16)
    return {number for number in range(1, 65) if mask >> (number - 1) & 1}


def assert_survives_sighup(process, log):
    """Send SIGHUP from when it is ignored until the process has started; check that it survives."""
    deadline_s = time.monotonic() + 20.0
    while signal.SIGHUP not in signals(process.pid, "SigIgn"):
        caught = signal.SIGHUP in signals(process.pid, "SigCgt")
        assert not caught, "SIGHUP would have terminated the process before it was caught"
        assert time.monotonic() < deadline_s
    while b" E100 " not in log.read_bytes():
        process.send_signal(signal.SIGHUP)
        assert process.poll() is None, "SIGHUP terminated a process that was starting"
        assert time.monotonic() < deadline_s
        time.sleep(0.005)
    process.send_signal(signal.SIGHUP)
    while b" E407 " not in log.read_bytes():
        assert time.monotonic() < deadline_s, "SIGHUP is not handled after the start"
        time.sleep(0.01)


def test_the_daemon_survives_sighup_while_it_starts(tmp_path):
    site = SoakSite(tmp_path, 1, 1)
    settings, log = tmp_path / "g.toml", tmp_path / "g.log"
    settings.write_text(site.gateways[0].settings(site.members))
    with log.open("wb") as output:
        command = module_command("crowsill.daemon", str(settings))
        process = subprocess.Popen(command, stdout=output, stderr=output)
    try:
        assert_survives_sighup(process, log)
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize("kind", ["core", "fronts"])
def test_a_platform_process_survives_sighup_while_it_starts(tmp_path, kind):
    site = PlatformSite(tmp_path, core=1, fronts=1)
    machine = getattr(site, kind)[0]
    machine.start()
    try:
        assert_survives_sighup(machine.process, machine.log)
    finally:
        site.stop()


def test_the_soak_sends_no_sighup_before_the_program_handles_it(tmp_path):
    # Until 20 ms after its start, SIGHUP terminates any process (exit code -1). A member that the
    # soak restarted and sent changed seeds at the same time stayed down without a log line.
    command = [sys.executable, "-c", "import time; time.sleep(30)"]
    # Child processes inherit an ignored SIGHUP, for example under `nohup`. The signal would then
    # not terminate the child, and this test would fail.
    inherited = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    try:
        process = ManagedProcess("p", command, tmp_path)
    finally:
        signal.signal(signal.SIGHUP, inherited)
    try:
        assert not process.hang_up()
        assert process.exit_code is None
    finally:
        process.terminate()


def test_the_soak_sends_sighup_to_a_program_that_ignores_or_catches_it(tmp_path):
    script = "import signal, time; signal.signal(signal.SIGHUP, signal.SIG_IGN); time.sleep(30)"
    process = ManagedProcess("p", [sys.executable, "-c", script], tmp_path)
    try:
        while signal.SIGHUP not in signals(process.pid, "SigIgn"):
            time.sleep(0.01)
        assert process.hang_up() and process.exit_code is None
    finally:
        process.terminate()
