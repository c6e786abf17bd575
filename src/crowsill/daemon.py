"""The daemon `crowsilld`: one process with one event loop, which runs the configured roles.

Exit codes: 0 after a planned stop, 2 for invalid arguments or settings, 3 if the data folder cannot
be used, 4 if an invariant was violated or the process failed, 5 if the drain time limit expired.
"""

# Must be the first import: until then, SIGHUP terminates the process.
import crowsill.early_signals  # noqa: F401, I001
import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

# Imported early because it records the start time of the process.
from crowsill.clock import PROCESS_STARTED_S, monotonic_s
from crowsill.event_loop import run_daemon_loop
from crowsill.events import Event
from crowsill.logs import configure_logs, flush_logs, log_event
from crowsill.loop_watch import LoopStall, LoopWatch
from crowsill.metrics import EVENT_LOOP_LAG_S
from crowsill.platform_ports import PlatformPorts
from crowsill.settings import ControlSettings, Settings, load_settings
from crowsill.transport.stream import load_cluster_key

if TYPE_CHECKING:
    from crowsill.control.redirector import ControlRedirector
    from crowsill.control.role import ControlRole
    from crowsill.entry.role import EntryRole
    from crowsill.gateway.role import GatewayRole

EXIT_STOPPED = 0
EXIT_USAGE = 2
EXIT_STORAGE = 3
EXIT_FAILED = 4
EXIT_DRAIN_LIMIT = 5
GC_YOUNG_THRESHOLD = 20_000
USAGE = "usage: crowsilld SETTINGS.toml"
SETTINGS_POLL_INTERVAL_S = 1.0
CONTROL_STOP_TIMEOUT_S = 6.0

SettingsLoader = Callable[[], Result[Settings, str]]


class Daemon:
    """Starts, reloads, drains and stops the roles of one process."""

    def __init__(
        self, settings: Settings, key: bytes, ports: PlatformPorts, load: SettingsLoader
    ) -> None:
        """Create a daemon.

        Args:
            settings: Settings of the process.
            key: The cluster key.
            ports: Interfaces to outside systems.
            load: Reads the settings again.
        """
        self._load = load
        self._settings = settings
        self._key = key
        self._ports = ports
        self._gateway: GatewayRole | None = None
        self._control: ControlRole | ControlRedirector | None = None
        self._entry: EntryRole | None = None
        self._stop = asyncio.Event()

    async def run(self) -> int:
        """Run until a stop is requested or a role fails; return the exit code."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        started = await self._start()
        if not isinstance(started, Success):
            sys.stderr.write(f"crowsilld: {started.failure()}\n")
            return EXIT_STORAGE
        started_ms = round((monotonic_s() - PROCESS_STARTED_S) * 1000.0)
        log_event(Event.DAEMON_STARTED, zone=self._settings.zone, start_ms=started_ms)
        loop_watch = LoopWatch(EVENT_LOOP_LAG_S.observe, _log_stall)
        watchers = [
            asyncio.create_task(self._watch_settings()),
            asyncio.create_task(loop_watch.run()),
        ]
        failure = await self._wait()
        for watcher in watchers:
            watcher.cancel()
        if failure is not None:
            log_event(Event.INTERNAL_ERROR, where="control", error=repr(failure))
            return EXIT_FAILED
        try:
            async with asyncio.timeout(self._stop_timeout_s()):
                return await self._drain()
        except TimeoutError:
            # A disk that hangs must not keep the process running past its grace period.
            log_event(Event.DRAIN_LIMIT, where="stop")
            flush_logs()
            os._exit(EXIT_DRAIN_LIMIT)

    def _stop_timeout_s(self) -> float:
        settings = self._settings
        limits = [CONTROL_STOP_TIMEOUT_S if settings.control is not None else 0.0]
        if settings.gateway is not None:
            limits.append(settings.gateway.grace_s)
        if settings.entry is not None:
            limits.append(settings.entry.drain_limit_s + settings.entry.readiness_lag_s + 10.0)
        return max(limits)

    async def _start(self) -> Result[None, str]:
        settings = self._settings
        # The modules of a role are imported only if the process has the role, because imports cost
        # start time, and memory that is scarce on small machines.
        if settings.control is not None:
            started = await self._start_control(settings.control)
            if not isinstance(started, Success):
                return started
        if settings.gateway is not None:
            from crowsill.gateway.role import GatewayRole

            ports = self._ports
            self._gateway = GatewayRole(
                settings, settings.gateway, self._key, ports.header_names, ports.codec
            )
            await self._gateway.start()
        if settings.entry is not None:
            from crowsill.entry.role import EntryRole

            self._entry = EntryRole(settings, settings.entry, self._key)
            await self._entry.start()
        return Success(None)

    async def _start_control(self, control: ControlSettings) -> Result[None, str]:
        if not control.data_folder:
            from crowsill.control.redirector import make_redirector

            redirector = make_redirector(self._settings, control, self._key)
            self._control = redirector
            await redirector.start()
            return Success(None)
        from crowsill.control.role import open_control_role

        opened = open_control_role(self._settings, control, self._key, self._ports)
        if not isinstance(opened, Success):
            return Failure(opened.failure())
        member: ControlRole = opened.unwrap()
        self._control = member
        return await member.start()

    async def _wait(self) -> BaseException | None:
        """Wait for a stop request or a failure of the control role; return the failure."""
        waiting = [asyncio.create_task(self._wait_for_stop())]
        if self._control is not None:
            waiting.append(asyncio.create_task(self._control.wait_for_failure()))
        done, pending = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        for task in pending:
            task.cancel()
        return done.pop().result()

    async def _wait_for_stop(self) -> BaseException | None:
        await self._stop.wait()
        return None

    async def _watch_settings(self) -> None:
        """Reload settings that changed without a signal."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
            self._reload(only_if_changed=True)

    def _reload(self, only_if_changed: bool = False) -> None:
        """Apply the settings that may change while the process runs: the seeds."""
        loaded = self._load()
        if not isinstance(loaded, Success):
            log_event(Event.SETTINGS_REFUSED, detail=loaded.failure())
            return
        settings = loaded.unwrap()
        if only_if_changed and settings == self._settings:
            return
        self._settings = settings
        if self._control is not None and settings.control is not None:
            self._control.use_seeds(settings.control)
        if self._gateway is not None and settings.gateway is not None:
            self._gateway.use_seeds(settings.gateway)
        log_event(Event.SETTINGS_RELOADED, signalled=not only_if_changed)

    async def _drain(self) -> int:
        finished = True
        if self._gateway is not None:
            finished = await self._gateway.drain()
        if self._entry is not None:
            finished = await self._entry.drain() and finished
        if self._control is not None:
            await self._control.drain()
        if self._entry is not None:
            await self._entry.stop()
        if self._gateway is not None:
            await self._gateway.stop()
        if self._control is not None:
            await self._control.stop()
        return EXIT_STOPPED if finished else EXIT_DRAIN_LIMIT


def _log_stall(stall: LoopStall) -> None:
    log_event(Event.LOOP_STALLED, lag_s=round(stall.lag_s, 3), cpu_s=round(stall.cpu_s, 3))


def tune_garbage_collector() -> None:
    """Exclude imported objects from collections, and collect young objects less often.

    Requests leave few reference cycles, and a collection traverses all live objects.
    """
    gc.freeze()
    gc.set_threshold(GC_YOUNG_THRESHOLD)


def main() -> None:
    """Entry point of `crowsilld`."""
    if len(sys.argv) != 2 or sys.argv[1].startswith("-"):
        sys.stderr.write(f"{USAGE}\n")
        sys.exit(EXIT_USAGE)
    path = Path(sys.argv[1])
    sys.exit(run_daemon(lambda: load_settings(path), PlatformPorts()))


def run_daemon(load: SettingsLoader, ports: PlatformPorts) -> int:
    """Run a daemon until it stops.

    Args:
        load: Reads its settings; called again when they may have changed.
        ports: Interfaces to outside systems.

    Returns:
        The exit code.
    """
    loaded = load()
    if not isinstance(loaded, Success):
        sys.stderr.write(f"crowsilld: {loaded.failure()}\n")
        return EXIT_USAGE
    settings = loaded.unwrap()
    key = load_cluster_key(settings.cluster_key_file)
    if not isinstance(key, Success):
        sys.stderr.write(f"crowsilld: {key.failure()}\n")
        return EXIT_USAGE
    configure_logs(settings.node, settings.log_level)
    tune_garbage_collector()
    return run_daemon_loop(Daemon(settings, key.unwrap(), ports, load).run())


if __name__ == "__main__":
    main()
