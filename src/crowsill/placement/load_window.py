"""A bound on the loads from the weight store in any sliding window.

A new leader first records the loads that its predecessor may have started, so that the bound also
holds across leaders.
"""

from collections import deque

# Loads below the store's limit that are left unused as a safety margin.
SAFETY_LOADS = 2


class LoadWindow:
    """Counts the loads that started in the current window.

    >>> window = LoadWindow(window_s=5.0, loads_per_s=1.0, burst=3)
    >>> window.loads_left(10.0)
    6
    >>> window.note_load(10.0); window.loads_left(10.0), window.loads_left(15.1)
    (5, 6)
    """

    def __init__(self, window_s: float, loads_per_s: float, burst: int) -> None:
        """Create an empty window.

        Args:
            window_s: Its length, in seconds.
            loads_per_s: Loads per second that the store allows.
            burst: Loads beyond the rate that the store allows in one window.
        """
        self._window_s = window_s
        self._max_loads = max(1, int(loads_per_s * window_s) + burst - SAFETY_LOADS)
        self._started_at_s: deque[float] = deque()

    def loads_left(self, now_s: float) -> int:
        """Return how many loads may start now."""
        while self._started_at_s and self._started_at_s[0] <= now_s - self._window_s:
            self._started_at_s.popleft()
        return self._max_loads - len(self._started_at_s)

    def note_load(self, now_s: float) -> None:
        """Record the start of a load."""
        self._started_at_s.append(now_s)
