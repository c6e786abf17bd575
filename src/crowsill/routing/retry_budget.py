"""A retry budget: retries are a bounded share of first attempts, so they can't multiply load."""

# Tokens at the start, and the upper bound.
MAX_TOKENS = 10.0


class RetryBudget:
    """Tokens earned by first attempts and spent by retries.

    >>> budget = RetryBudget(ratio=0.1)
    >>> sum(budget.spend() for _ in range(20))
    10
    """

    def __init__(self, ratio: float) -> None:
        """Create a full budget.

        Args:
            ratio: Retries that each first attempt earns.
        """
        self._ratio = ratio
        self._tokens = MAX_TOKENS

    def earn(self) -> None:
        """Add tokens for a first attempt."""
        self._tokens = min(MAX_TOKENS, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Spend one retry; return False if the budget is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
