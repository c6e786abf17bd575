"""The event loop of a daemon, whose clock also counts the time of a suspension."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from crowsill.clock import monotonic_s

T = TypeVar("T")


class DaemonEventLoop(asyncio.SelectorEventLoop):
    """A loop on `monotonic_s`.

    Deadlines of requests, windows of budgets, silences and time-outs are timed by the loop. On the
    usual clock, which stands still while the machine is suspended, a request that was held across a
    suspension of 2 s was passed on with 2 s more than its caller would wait. A timer fires with the
    first event or nearer timer after the suspension, within a heartbeat (0.5 s).
    """

    def time(self) -> float:
        """Return the clock, in seconds."""
        return monotonic_s()


def run_daemon_loop(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end on a loop of its own."""
    with asyncio.Runner(loop_factory=DaemonEventLoop) as runner:
        return runner.run(main)
