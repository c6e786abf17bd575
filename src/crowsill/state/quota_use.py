"""Replicated record of the units that accounts were recently granted: tenants' units, retries.

Before a leader grants units, it records an upper bound of them, so that its successor knows it.
"""


class QuotaUse:
    """Units by account and age, the most recent first.

    >>> use = QuotaUse()
    >>> use.record({"t": [3.0, 0.0, 0.0]}), use.record({"t": [3.0, 0.0, 0.0]}), use.units
    (True, False, {'t': [3.0, 0.0, 0.0]})
    >>> use.record({"t": []}), use.units
    (True, {})
    """

    def __init__(self) -> None:
        self.units: dict[str, list[float]] = {}

    def load(self, units: dict[str, list[float]]) -> None:
        """Replace the state from a snapshot."""
        self.units = units

    def record(self, units: dict[str, list[float]]) -> bool:
        """Replace the record of the given accounts; return whether that changed anything."""
        changed = False
        for name, ages in units.items():
            if ages:
                changed = changed or self.units.get(name) != ages
                self.units[name] = ages
            else:
                changed = self.units.pop(name, None) is not None or changed
        return changed
