"""Pacing of loads to the limits of the weight store, across leaders."""


class LoadPacer:
    """Limits the rate of load starts and the number of concurrent loads.

    A new leader starts without tokens. It counts the unsettled loads of earlier leaders, which it
    knows from the replicated orders, as running loads.
    """

    def __init__(self, loads_per_s: float, concurrent: int, now_s: float) -> None:
        self._loads_per_s = loads_per_s
        self._concurrent = concurrent
        self._tokens = 0.0
        self._refilled_at_s = now_s

    def allowance(self, outstanding: int, now_s: float) -> int:
        """Return how many loads may start now.

        Args:
            outstanding: Number of loads that are not settled.
            now_s: Monotonic time in seconds.
        """
        gained = (now_s - self._refilled_at_s) * self._loads_per_s
        self._tokens = min(max(1.0, self._loads_per_s), self._tokens + gained)
        self._refilled_at_s = now_s
        return max(0, min(int(self._tokens), self._concurrent - outstanding))

    def note_load(self) -> None:
        """Record the start of a load."""
        self._tokens -= 1.0
