"""The retries of a service that its requests earn at one gateway. Pure.

In any window, all gateways together may send a ratio of the first attempts as retries, plus an
allowance. Each gateway spends what its own first attempts earned, so that part needs no division;
the leader grants the allowance (`control/retry_grants.py`). What was earned and spent is kept in
the memory of the process. A gateway that restarts has forgotten the retries of its predecessors,
so until a window has passed it spends only what they can't have spent, however many there were.
"""

import bisect
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

# Parts of the ratio and of the allowance that are spent. They are below 1 because retries that wait
# in a slow link arrive together.
EARNED_PART = 0.7
GRANTED_PART = 0.7
# Part of the ratio that a process spends in its first window, in addition to its predecessors.
STARTING_PART = 0.2


@dataclass(frozen=True, slots=True)
class RetryBudgetLimits:
    """The retry budget of all gateways together, for one service.

    Attributes:
        ratio: Retries for each first attempt.
        window_s: Length of the sliding window, in seconds.
        allowance: Retries in a window beyond the ratio.
    """

    ratio: float = 0.1
    window_s: float = 10.0
    allowance: float = 20.0


class RetryCharge:
    """One retry that is charged to a budget, until it is sent or returned.

    Attributes:
        expires_at_s: Monotonic time after which it may not be sent; infinite if it may always be.
    """

    def __init__(
        self,
        on_sent: Callable[[float], None],
        on_released: Callable[[], None],
        expires_at_s: float = float("inf"),
    ) -> None:
        """Create a charge.

        Args:
            on_sent: Called with the monotonic time at which the retry was sent.
            on_released: Called if it is returned unsent.
            expires_at_s: See the class.
        """
        self.expires_at_s = expires_at_s
        self._on_sent = on_sent
        self._on_released = on_released
        self._is_pending = True

    def note_sent(self, now_s: float) -> None:
        """Count the retry as sent at a monotonic time in seconds."""
        if self._is_pending:
            self._is_pending = False
            self._on_sent(now_s)

    def release(self) -> None:
        """Return the retry, unless it was sent."""
        if self._is_pending:
            self._is_pending = False
            self._on_released()


class EarnedRetries:
    """The retries that the requests for one service earned at this gateway.

    >>> budget = EarnedRetries(RetryBudgetLimits(ratio=0.2), started_at_s=0.0)
    >>> for step in range(100):
    ...     budget.earn(step * 0.2)
    >>> round(budget.left(9.9)), round(budget.left(10.0))
    (4, 14)
    >>> charge = budget.charge(10.0)
    >>> round(budget.left(10.0)), charge.release(), round(budget.left(10.0))
    (13, None, 14)
    """

    def __init__(self, limits: RetryBudgetLimits, started_at_s: float) -> None:
        """Create the budget of one service.

        Args:
            limits: The budget of all gateways.
            started_at_s: Monotonic time at which the process started.
        """
        self._limits = limits
        self._started_at_s = started_at_s
        self._first_attempts_at_s: deque[float] = deque()
        self._retries_at_s: list[float] = []
        self._pending = 0

    def _drop_expired(self, now_s: float) -> None:
        horizon_at_s = now_s - self._limits.window_s
        while self._first_attempts_at_s and self._first_attempts_at_s[0] <= horizon_at_s:
            self._first_attempts_at_s.popleft()
        del self._retries_at_s[: bisect.bisect_right(self._retries_at_s, horizon_at_s)]

    def earn(self, now_s: float) -> None:
        """Record a first attempt."""
        self._first_attempts_at_s.append(now_s)

    def left(self, now_s: float) -> float:
        """Return how many retries are left now."""
        self._drop_expired(now_s)
        is_starting = now_s - self._started_at_s < self._limits.window_s
        part = STARTING_PART if is_starting else EARNED_PART
        earned = self._limits.ratio * len(self._first_attempts_at_s) * part
        return earned - len(self._retries_at_s) - self._pending

    def charge(self, now_s: float) -> RetryCharge | None:
        """Charge one retry; return None if none is left.

        It counts from now on, and for a window from its sending.
        """
        if self.left(now_s) < 1.0:
            return None
        self._pending += 1
        return RetryCharge(self._note_sent, self._release)

    def _note_sent(self, now_s: float) -> None:
        self._pending -= 1
        bisect.insort(self._retries_at_s, now_s)

    def _release(self) -> None:
        self._pending -= 1
