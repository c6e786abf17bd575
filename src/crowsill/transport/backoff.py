"""Exponential backoff with an upper bound and jitter."""

from random import Random


class Backoff:
    """Delays that double up to a bound; jitter reduces each by up to half."""

    def __init__(self, initial_s: float, max_s: float, random: Random) -> None:
        self._initial_s = initial_s
        self._max_s = max_s
        self._random = random
        self._next_s = initial_s

    def next_s(self) -> float:
        """Return the next delay in seconds."""
        delay_s = self._next_s * self._random.uniform(0.5, 1.0)
        self._next_s = min(self._max_s, self._next_s * 2)
        return delay_s

    def reset(self) -> None:
        """Restart with the initial delay, after a success."""
        self._next_s = self._initial_s
