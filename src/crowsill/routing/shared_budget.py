"""One retry budget for all gateways: each holds its share of what the whole may spend.

Within any window the repeats may number a share of the first attempts plus a fixed allowance.
First attempts are counted here, so their share divides by itself; the allowance is divided by the
number of live gateways, with a reserve for moments when that number is not yet known everywhere.
"""

from collections import deque
from dataclasses import dataclass

SAFETY_FACTOR = 0.7


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """What all gateways together may spend.

    Attributes:
        ratio: Repeats for each first attempt.
        window_s: Length of the sliding window.
        allowance: Repeats beyond the ratio in a window.
    """

    ratio: float = 0.1
    window_s: float = 10.0
    allowance: float = 20.0


class SharedBudget:
    """The share of one gateway, for one service.

    >>> budget = SharedBudget(BudgetLimits(ratio=0.0, allowance=10.0))
    >>> sum(budget.spend(now_s=1.0, gateways=1) for _ in range(20))
    7
    >>> budget.spend(now_s=12.0, gateways=1)
    True
    """

    def __init__(self, limits: BudgetLimits) -> None:
        self._limits = limits
        self._first: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def _forget_old(self, now_s: float) -> None:
        horizon_s = now_s - self._limits.window_s
        for times in (self._first, self._repeats):
            while times and times[0] <= horizon_s:
                times.popleft()

    def earn(self, now_s: float) -> None:
        """Note a first attempt."""
        self._first.append(now_s)

    def left(self, now_s: float, gateways: int) -> float:
        """Return how many repeats may still be spent now."""
        self._forget_old(now_s)
        limits = self._limits
        allowed = limits.ratio * len(self._first) + limits.allowance / max(1, gateways)
        return allowed * SAFETY_FACTOR - len(self._repeats)

    def spend(self, now_s: float, gateways: int) -> bool:
        """Take one repeat; return False when none is left."""
        if self.left(now_s, gateways) < 1.0:
            return False
        self._repeats.append(now_s)
        return True

    def refund(self) -> None:
        """The repeat that was taken last was not sent.

        >>> budget = SharedBudget(BudgetLimits(ratio=0.0, allowance=2.0))
        >>> budget.spend(1.0, 1), budget.spend(1.0, 1), budget.refund(), budget.spend(1.0, 1)
        (True, False, None, True)
        """
        if self._repeats:
            self._repeats.pop()
