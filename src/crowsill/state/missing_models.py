"""How many requests each model has lacked since an engine held it last, replicated.

Rare models are loaded when they have lacked enough requests. Each leader counts; where leaders
change often, none of them alone would ever see enough.
"""

# Beyond so many the models that lacked fewest are left out: a record of all takes 1.7 KB (encoded,
# names of 10 letters), so that its leader sends 3.4 KB/s to four followers at most.
MAX_RECORDED_MODELS = 50


class MissingModels:
    """Requests lacked by `service|model`, as the leader recorded them last.

    >>> lacked = MissingModels()
    >>> lacked.record({"s|m": 3.0}), lacked.record({"s|m": 3.0}), lacked.requests
    (True, False, {'s|m': 3.0})
    """

    def __init__(self) -> None:
        self.requests: dict[str, float] = {}

    def record(self, requests: dict[str, float]) -> bool:
        """Replace what was recorded; return whether that changed anything."""
        most = most_requested(requests)
        if most == self.requests:
            return False
        self.requests = most
        return True


def most_requested(requests: dict[str, float]) -> dict[str, float]:
    """Return what is recorded of a count: the models that lacked most.

    >>> most_requested({"s|m": 1.0, "s|n": 2.0})
    {'s|n': 2.0, 's|m': 1.0}
    """
    return dict(
        sorted(requests.items(), key=lambda item: (-item[1], item[0]))[:MAX_RECORDED_MODELS]
    )
