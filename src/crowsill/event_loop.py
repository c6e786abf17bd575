"""The event loop of a daemon; its clock includes the time while the machine is suspended."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from crowsill.clock import monotonic_s

T = TypeVar("T")


class DaemonEventLoop(asyncio.SelectorEventLoop):
    """An event loop that uses `monotonic_s` as its clock.

    The loop times request deadlines, budget windows and timeouts. The default clock stops while the
    machine is suspended: a request that waited across a suspension of 2 s was forwarded with a
    deadline 2 s later than its caller's. After a suspension, a timer fires with the first event or
    earlier timer, which comes within a heartbeat interval (0.5 s).
    """

    def time(self) -> float:
        """Return the time of the loop's clock, in seconds."""
        return monotonic_s()


def run_daemon_loop(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to completion on a new `DaemonEventLoop`."""
    with asyncio.Runner(loop_factory=DaemonEventLoop) as runner:
        return runner.run(main)
