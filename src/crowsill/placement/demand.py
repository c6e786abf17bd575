"""Demand by resource, estimated from counts."""

DEMAND_HALF_LIFE_S = 30.0


class DemandEstimate:
    """Requests per second by resource, decaying exponentially."""

    def __init__(self, half_life_s: float = DEMAND_HALF_LIFE_S) -> None:
        """Make an estimate; a shorter half-life follows demand faster and is noisier."""
        self._half_life_s = half_life_s
        self._rates: dict[str, float] = {}
        self._updated_s: float | None = None

    def add(self, counts: dict[str, int], now_s: float) -> None:
        """Decay what is known and add new counts."""
        elapsed_s = 0.0 if self._updated_s is None else now_s - self._updated_s
        self._updated_s = now_s
        keep = 0.5 ** (elapsed_s / self._half_life_s)
        # A count spread over the mean life of the average is a rate.
        weight = 0.6931 / self._half_life_s
        self._rates = {name: rate * keep for name, rate in self._rates.items() if rate > 1e-4}
        for name, count in counts.items():
            self._rates[name] = self._rates.get(name, 0.0) + count * weight

    @property
    def rates(self) -> dict[str, float]:
        """Requests per second by resource."""
        return self._rates
