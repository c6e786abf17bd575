"""The clocks of a process."""

import time


def monotonic_s() -> float:
    """Seconds that never go back and go on while the machine is suspended.

    Leases are measured on this clock: `time.monotonic` stops during a suspension, so a leader
    that slept would believe in a lease that others have seen expire.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_s() -> float:
    """Seconds since the epoch; used for histories and retention, never for leases."""
    return time.time()


# When this process began, as nearly as it can know: what a former life of it did was done before.
PROCESS_STARTED_S = monotonic_s()
