"""One retry budget for all gateways, of which each gateway spends its share.

In any window, retries are bounded by a ratio of the first attempts plus a fixed allowance. Each
gateway counts its own first attempts, so that part needs no division. The allowance is divided by
the number of live gateways. A safety factor lowers the sum of both, for times when not every
gateway knows the current number yet.
"""

from collections import deque
from dataclasses import dataclass

SAFETY_FACTOR = 0.7


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


class SharedRetryBudget:
    """The share of one gateway in the retry budget of one service.

    >>> budget = SharedRetryBudget(RetryBudgetLimits(ratio=0.0, allowance=10.0))
    >>> sum(budget.spend(now_s=1.0, gateways=1) for _ in range(20))
    7
    >>> budget.spend(now_s=12.0, gateways=1)
    True
    """

    def __init__(self, limits: RetryBudgetLimits) -> None:
        self._limits = limits
        self._first_attempts_at_s: deque[float] = deque()
        self._retries_at_s: deque[float] = deque()

    def _drop_expired(self, now_s: float) -> None:
        horizon_at_s = now_s - self._limits.window_s
        for times_s in (self._first_attempts_at_s, self._retries_at_s):
            while times_s and times_s[0] <= horizon_at_s:
                times_s.popleft()

    def earn(self, now_s: float) -> None:
        """Record a first attempt."""
        self._first_attempts_at_s.append(now_s)

    def left(self, now_s: float, gateways: int) -> float:
        """Return how many retries are left now."""
        self._drop_expired(now_s)
        limits = self._limits
        allowed = limits.ratio * len(self._first_attempts_at_s) + limits.allowance / max(
            1, gateways
        )
        return allowed * SAFETY_FACTOR - len(self._retries_at_s)

    def spend(self, now_s: float, gateways: int) -> bool:
        """Spend one retry; return False if none is left."""
        if self.left(now_s, gateways) < 1.0:
            return False
        self._retries_at_s.append(now_s)
        return True

    def refund(self) -> None:
        """Return the last retry to the budget, because it was not sent.

        >>> budget = SharedRetryBudget(RetryBudgetLimits(ratio=0.0, allowance=2.0))
        >>> budget.spend(1.0, 1), budget.spend(1.0, 1), budget.refund(), budget.spend(1.0, 1)
        (True, False, None, True)
        """
        if self._retries_at_s:
            self._retries_at_s.pop()


class RetryBudgets:
    """The budgets of all services, which have the same limits."""

    def __init__(self, limits: RetryBudgetLimits) -> None:
        self._limits = limits
        self._budgets: dict[str, SharedRetryBudget] = {}

    def of_service(self, service: str) -> SharedRetryBudget:
        """Return the budget of a service."""
        found = self._budgets.get(service)
        if found is None:
            found = self._budgets[service] = SharedRetryBudget(self._limits)
        return found
