"""Replicated record of the requests for each missing model since an engine last had it loaded.

A rarely used model is loaded when it has been missing for long enough. If leaders change often, no
leader alone sees that, so each leader records its counts and their ages for its successors.
"""

# Beyond this number the models with the fewest requests are dropped. A full record has 1.7 KB
# (encoded, names of 10 letters) and as much again with the ages, so that the leader sends at most
# 6.8 KB/s to four followers.
MAX_RECORDED_MODELS = 50


class MissingModels:
    """Requests by `service|model`, as last recorded by the leader.

    Attributes:
        requests: Their number.
        ages_s: Time from the first of them to the record, in seconds.

    >>> missing = MissingModels()
    >>> missing.record({"s|m": 3.0}, {"s|m": 9.0}), missing.record({"s|m": 3.0}, {"s|m": 9.0})
    (True, False)
    >>> missing.requests, missing.ages_s
    ({'s|m': 3.0}, {'s|m': 9.0})
    """

    def __init__(self) -> None:
        self.requests: dict[str, float] = {}
        self.ages_s: dict[str, float] = {}

    def record(self, requests: dict[str, float], ages_s: dict[str, float]) -> bool:
        """Replace the record; return whether that changed anything."""
        most = most_requested(requests)
        ages_s = {resource: ages_s.get(resource, 0.0) for resource in most}
        if most == self.requests and ages_s == self.ages_s:
            return False
        self.requests, self.ages_s = most, ages_s
        return True


def most_requested(requests: dict[str, float]) -> dict[str, float]:
    """Return the part of a count that is recorded: the models with the most requests.

    >>> most_requested({"s|m": 1.0, "s|n": 2.0})
    {'s|n': 2.0, 's|m': 1.0}
    """
    return dict(
        sorted(requests.items(), key=lambda item: (-item[1], item[0]))[:MAX_RECORDED_MODELS]
    )
