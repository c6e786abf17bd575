"""Tracks how many gateways share limits that apply to all of them together. Pure."""

from collections import deque

# Assumed number of gateways until the group has reported it for WINDOW_S.
INITIAL_GATEWAYS = 8
WINDOW_S = 10.0


class GatewayCount:
    """The maximum number of live gateways within the last WINDOW_S seconds.

    A new leader learns of gateways one after the other, and too low a count makes each share too
    large.

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
        """Record the number of live gateways that the group reported."""
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
        """Return the maximum number of live gateways in the window."""
        return self._maximum
