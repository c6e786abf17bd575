"""A retry budget: retries are a bounded share of first attempts, so they cannot multiply load."""

RESERVE_TOKENS = 10.0


class RetryBudget:
    """Tokens earned by first attempts and spent by retries.

    >>> budget = RetryBudget(ratio=0.1)
    >>> sum(budget.spend() for _ in range(20))
    10
    """

    def __init__(self, ratio: float) -> None:
        """Make a budget.

        Args:
            ratio: Retries earned by each first attempt.
        """
        self._ratio = ratio
        self._tokens = RESERVE_TOKENS

    def earn(self) -> None:
        """Note a first attempt."""
        self._tokens = min(RESERVE_TOKENS, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Take one retry; return False when the budget is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
