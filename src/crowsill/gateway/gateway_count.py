"""Tracks how many gateways share limits that apply to all of them together. Pure."""

from collections import deque

# Assumed lowest number of gateways while the group may not have counted all of them.
INITIAL_GATEWAYS = 8
WINDOW_S = 10.0


class GatewayCount:
    """The maximum number of live gateways within the last WINDOW_S seconds.

    A new leader learns of gateways one after the other, and too low a count makes each share too
    large. So a gateway that has just started relies on a count only if the leader has counted all.

    >>> count = GatewayCount()
    >>> count.note(3, 0.0), count.maximum(), count.note(12, 1.0), count.maximum()
    (None, 8, None, 12)
    >>> count.note(3, 10.5), count.maximum(), count.note(3, 12.0), count.maximum()
    (None, 12, None, 3)
    >>> count = GatewayCount()
    >>> count.note(3, 0.0, is_complete=True), count.maximum()
    (None, 3)
    """

    def __init__(self) -> None:
        self._counts: deque[tuple[float, int]] = deque()
        self._first_report_at_s: float | None = None
        self._is_known = False
        self._maximum = INITIAL_GATEWAYS

    def note(self, gateways: int, now_s: float, *, is_complete: bool = False) -> None:
        """Record the number of live gateways that the group reported.

        Args:
            gateways: The number.
            now_s: Current time of the event loop.
            is_complete: Whether the leader has led for long enough to have counted all.
        """
        if self._first_report_at_s is None:
            self._first_report_at_s = now_s
        self._counts.append((now_s, gateways))
        while self._counts[0][0] < now_s - WINDOW_S:
            self._counts.popleft()
        self._is_known |= is_complete or now_s - self._first_report_at_s > WINDOW_S
        if self._is_known:
            self._maximum = max(count for _, count in self._counts)
        else:
            self._maximum = max(self._maximum, gateways)

    def maximum(self) -> int:
        """Return the maximum number of live gateways in the window."""
        return self._maximum
