"""Loads from the weight store in any sliding window, whoever leads."""

from collections import deque

SAFETY_LOADS = 2


class LoadWindow:
    """Counts loads that have begun lately.

    >>> window = LoadWindow(window_s=5.0, loads_per_s=1.0, burst=3)
    >>> window.left(10.0)
    6
    >>> window.started(10.0); window.left(10.0), window.left(15.1)
    (5, 6)
    """

    def __init__(self, window_s: float, loads_per_s: float, burst: int) -> None:
        """Make a window.

        Args:
            window_s: Its length.
            loads_per_s: Loads that the store starts a second.
            burst: Loads beyond the rate in one window.
        """
        self._window_s = window_s
        self._most = max(1, int(loads_per_s * window_s) + burst - SAFETY_LOADS)
        self._started_s: deque[float] = deque()

    def left(self, now_s: float) -> int:
        """Return how many loads may begin now."""
        while self._started_s and self._started_s[0] <= now_s - self._window_s:
            self._started_s.popleft()
        return self._most - len(self._started_s)

    def started(self, now_s: float) -> None:
        """Note that a load begins."""
        self._started_s.append(now_s)
