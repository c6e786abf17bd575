"""The clocks of a process."""

import time


def monotonic_s() -> float:
    """Return the monotonic time in seconds, including time while the machine is suspended.

    Leases need this clock: `time.monotonic` stops during a suspension, so a suspended leader would
    still hold a lease that has expired for the other members.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_s() -> float:
    """Return the seconds since the epoch; used for histories and retention, never for leases."""
    return time.time()


# Monotonic time of the start of this process, as early as it can be measured. Everything that a
# previous incarnation of the process did happened before.
PROCESS_STARTED_S = monotonic_s()
