"""Demand by resource, estimated from request counts."""

DEMAND_HALF_LIFE_S = 30.0


class DemandEstimate:
    """Exponentially decaying averages of requests per second, by resource."""

    def __init__(self, half_life_s: float = DEMAND_HALF_LIFE_S) -> None:
        """Create an estimate; with a shorter half-life it follows demand faster and is noisier."""
        self._half_life_s = half_life_s
        self._rates: dict[str, float] = {}
        self._updated_at_s: float | None = None

    def add(self, counts: dict[str, int], now_s: float) -> None:
        """Decay the averages and add new counts.

        Args:
            counts: Requests since the last call, by resource.
            now_s: Monotonic time in seconds.
        """
        elapsed_s = 0.0 if self._updated_at_s is None else now_s - self._updated_at_s
        self._updated_at_s = now_s
        keep = 0.5 ** (elapsed_s / self._half_life_s)
        # A count divided by the mean lifetime of the average, half-life / ln 2, is a rate.
        weight = 0.6931 / self._half_life_s
        self._rates = {name: rate * keep for name, rate in self._rates.items() if rate > 1e-4}
        for name, count in counts.items():
            self._rates[name] = self._rates.get(name, 0.0) + count * weight

    @property
    def rates(self) -> dict[str, float]:
        """Requests per second by resource."""
        return self._rates
