"""Counts events in sliding windows."""

from collections import deque
from collections.abc import Iterable


def max_events_in_window(times_s: Iterable[float], window_s: float) -> int:
    """Return the maximum number of events in any window of the given length.

    Args:
        times_s: Monotonic time of each event in seconds, in ascending order.
        window_s: Length of the window in seconds; its start is excluded.

    >>> max_events_in_window([0.0, 1.0, 4.0, 4.5], 4.0), max_events_in_window([], 4.0)
    (3, 0)
    """
    window: deque[float] = deque()
    max_events = 0
    for at_s in times_s:
        window.append(at_s)
        while window[0] <= at_s - window_s:
            window.popleft()
        max_events = max(max_events, len(window))
    return max_events
