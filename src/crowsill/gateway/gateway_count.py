"""How many gateways share what is allowed to all of them together. Pure."""

from collections import deque

# Gateways that are assumed until the group has told their number for a while.
INITIAL_GATEWAYS = 8
WINDOW_S = 10.0


class GatewayCount:
    """The most gateways that were live at any time lately.

    A new leader hears of them one after the other, and too small a number is too large a share.

    >>> count = GatewayCount()
    >>> count.note(3, 0.0), count.maximum(), count.note(12, 1.0), count.maximum()
    (None, 8, None, 12)
    >>> count.note(3, 10.5), count.maximum(), count.note(3, 12.0), count.maximum()
    (None, 12, None, 3)
    """

    def __init__(self) -> None:
        self._counts: deque[tuple[float, int]] = deque()
        self._first_report_at_s: float | None = None
        self._maximum = INITIAL_GATEWAYS

    def note(self, gateways: int, now_s: float) -> None:
        """Take in the number of live gateways that the group told."""
        if self._first_report_at_s is None:
            self._first_report_at_s = now_s
        self._counts.append((now_s, gateways))
        while self._counts[0][0] < now_s - WINDOW_S:
            self._counts.popleft()
        if now_s - self._first_report_at_s > WINDOW_S:
            self._maximum = max(count for _, count in self._counts)
        else:
            self._maximum = max(self._maximum, gateways)

    def maximum(self) -> int:
        """Return the most that were live at any time lately."""
        return self._maximum
