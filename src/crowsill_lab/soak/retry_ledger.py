"""Counts the retries that arrive at the replicas of a service, over all gateways together."""

from bisect import bisect_right
from dataclasses import dataclass, field

from crowsill.routing.earned_retries import RetryBudgetLimits


@dataclass(frozen=True, slots=True)
class RetryWindow:
    """The retries of one window.

    Attributes:
        end_at_s: Monotonic time at which the window ends.
        retries: Retries that arrived in it.
        allowed: Retries that the budget allows in it.
    """

    end_at_s: float
    retries: int
    allowed: float


def _count(times_s: list[float], end_at_s: float, window_s: float) -> int:
    """Return how many of these times, in order, are in the window that ends at a time."""
    return bisect_right(times_s, end_at_s) - bisect_right(times_s, end_at_s - window_s)


@dataclass(slots=True)
class RetryLedger:
    """Requests for one service, and their arrivals. All times are monotonic, in seconds.

    >>> ledger = RetryLedger(RetryBudgetLimits(ratio=0.5, window_s=10.0, allowance=0.0))
    >>> for request_id, at_s in (("a", 1.0), ("a", 1.2), ("b", 2.0), ("a", 2.5)):
    ...     ledger.note_arrival(request_id, at_s)
    >>> ledger.worst_window([0.9, 1.9])
    RetryWindow(end_at_s=1.2, retries=1, allowed=0.5)

    Attributes:
        limits: The budget of all gateways together.
    """

    limits: RetryBudgetLimits = field(default_factory=RetryBudgetLimits)
    _seen: set[str] = field(default_factory=set)
    _retries_at_s: list[float] = field(default_factory=list)

    def note_arrival(self, request_id: str, now_s: float) -> None:
        """Record that a request arrived at a replica, whether or not the replica ran it."""
        if request_id in self._seen:
            self._retries_at_s.append(now_s)
        self._seen.add(request_id)

    def worst_window(self, sent_at_s: list[float]) -> RetryWindow:
        """Return the window with the largest share of the retries that the budget allows.

        What counts is the requests sent in the window, in the one before it, or in the one half a
        window before it, whichever are most.

        Args:
            sent_at_s: When requests for the service were sent, arrived or not.
        """
        limits = self.limits
        sent_at_s, retries_at_s = sorted(sent_at_s), sorted(self._retries_at_s)
        worst = RetryWindow(0.0, 0, limits.allowance + limits.ratio * len(sent_at_s))
        for end_at_s in retries_at_s:
            retries = _count(retries_at_s, end_at_s, limits.window_s)
            requests = max(
                _count(sent_at_s, end_at_s - before * limits.window_s, limits.window_s)
                for before in (0.0, 0.5, 1.0)
            )
            allowed = limits.allowance + limits.ratio * requests
            if retries * worst.allowed > worst.retries * allowed:
                worst = RetryWindow(end_at_s, retries, allowed)
        return worst

    def violations(self, sent_at_s: list[float]) -> list[str]:
        """Return a line if some window has more retries than the budget allows."""
        worst = self.worst_window(sent_at_s)
        if worst.retries <= worst.allowed:
            return []
        return [
            f"{worst.retries} retries in the {self.limits.window_s:g} s until {worst.end_at_s:.1f},"
            f" {worst.allowed:.1f} allowed"
        ]
