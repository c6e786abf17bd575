"""Replicated number of requests for each missing model since an engine last had it loaded.

A rarely used model is loaded after enough requests for it. If leaders change often, no leader alone
counts enough requests, so each leader records its count for its successors.
"""

# Beyond this number the models with the fewest requests are dropped. A full record has 1.7 KB
# (encoded, names of 10 letters), so that the leader sends at most 3.4 KB/s to four followers.
MAX_RECORDED_MODELS = 50


class MissingModels:
    """Number of requests by `service|model`, as last recorded by the leader.

    >>> missing = MissingModels()
    >>> missing.record({"s|m": 3.0}), missing.record({"s|m": 3.0}), missing.requests
    (True, False, {'s|m': 3.0})
    """

    def __init__(self) -> None:
        self.requests: dict[str, float] = {}

    def record(self, requests: dict[str, float]) -> bool:
        """Replace the record; return whether that changed anything."""
        most = most_requested(requests)
        if most == self.requests:
            return False
        self.requests = most
        return True


def most_requested(requests: dict[str, float]) -> dict[str, float]:
    """Return the part of a count that is recorded: the models with the most requests.

    >>> most_requested({"s|m": 1.0, "s|n": 2.0})
    {'s|n': 2.0, 's|m': 1.0}
    """
    return dict(
        sorted(requests.items(), key=lambda item: (-item[1], item[0]))[:MAX_RECORDED_MODELS]
    )
