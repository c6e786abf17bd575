"""Runs of suspect requests that are in progress, at all gateways together. Pure.

A gateway that is killed reports nothing. The group knows from this record which suspects were
running on a replica that crashed, and lets no second copy of a suspect run meanwhile.
"""

from collections import OrderedDict

import msgspec

from crowsill.model.suspects import RETRY_CRASH_LIMIT, SuspectRequest

# A run whose gateway has not reported its end counts as ended after this time. Most responses are
# complete sooner; a longer one only loses the protection against a second copy.
RUN_LIFETIME_S = 10.0
# Each run takes about 200 bytes in a snapshot.
MAX_RUNS = 4096


class SuspectRun(msgspec.Struct, frozen=True, array_like=True):
    """A suspect that is running on a replica.

    Attributes:
        run_id: Id of the run, chosen by its gateway.
        request: The request.
        instance_id: The incarnation that runs it.
        crashes: Number of replicas that were known to have crashed while they ran the request.
        started_at_s: Wall-clock time at which the run was recorded.
    """

    run_id: str
    request: SuspectRequest
    instance_id: str
    crashes: int
    started_at_s: float

    @property
    def must_be_alone(self) -> bool:
        """Whether no other suspect may run on its replica: a crash must identify its cause."""
        return self.crashes >= RETRY_CRASH_LIMIT


class SuspectRuns:
    """Runs in progress by fingerprint, oldest first.

    >>> def run(run_id, fingerprint, instance_id="a", crashes=1, started_at_s=0.0):
    ...     request = SuspectRequest(fingerprint, "r", "h/a", "s", 0.0)
    ...     return SuspectRun(run_id, request, instance_id, crashes, started_at_s)
    >>> runs = SuspectRuns()
    >>> runs.begin(run("1", b"f")), runs.begin(run("2", b"f", "b")), runs.begin(run("1", b"f"))
    (True, False, True)
    >>> runs.begin(run("3", b"g")), runs.begin(run("4", b"h", crashes=2))
    (True, False)
    >>> [item.run_id for item in runs.take_at("a")], runs.begin(run("4", b"h", crashes=2))
    (['1', '3'], True)
    >>> runs.begin(run("5", b"h", "b", started_at_s=9.0))
    False
    >>> runs.begin(run("5", b"h", "b", started_at_s=10.0))
    True
    """

    def __init__(self) -> None:
        self._runs: OrderedDict[bytes, SuspectRun] = OrderedDict()

    @property
    def has_any(self) -> bool:
        """Whether any run is in progress."""
        return bool(self._runs)

    def may_begin(self, run: SuspectRun) -> bool:
        """Whether a run may begin beside those that are in progress."""
        return not any(
            _excludes(known, run)
            for known in self._runs.values()
            if not _has_expired(known, run.started_at_s) and known.run_id != run.run_id
        )

    def begin(self, run: SuspectRun) -> bool:
        """Record a run unless another one excludes it; return whether it may begin."""
        if not self.may_begin(run):
            return False
        self._runs[run.request.fingerprint] = run
        self._runs.move_to_end(run.request.fingerprint)
        while len(self._runs) > MAX_RUNS:
            self._runs.popitem(last=False)
        return True

    def end(self, run_id: str) -> bool:
        """Record that a run has ended; return whether it was in progress."""
        ended = [key for key, run in self._runs.items() if run.run_id == run_id]
        for key in ended:
            del self._runs[key]
        return bool(ended)

    def end_requests(self, fingerprints: list[bytes]) -> None:
        """Record that requests have completed."""
        for fingerprint in fingerprints:
            self._runs.pop(fingerprint, None)

    def instance_ids(self) -> set[str]:
        """Return the incarnations that run a suspect."""
        return {run.instance_id for run in self._runs.values()}

    def take_at(self, instance_id: str) -> list[SuspectRun]:
        """Remove and return the runs on a replica that has crashed."""
        ended = [run for run in self._runs.values() if run.instance_id == instance_id]
        for run in ended:
            del self._runs[run.request.fingerprint]
        return ended

    def dump(self) -> list[SuspectRun]:
        """Return the state for a snapshot."""
        return list(self._runs.values())

    def load(self, runs: list[SuspectRun]) -> None:
        """Replace the state from a snapshot."""
        self._runs = OrderedDict((run.request.fingerprint, run) for run in runs)


def _has_expired(run: SuspectRun, now_s: float) -> bool:
    # The absolute difference bounds the lifetime also if the wall clock jumps back.
    return abs(now_s - run.started_at_s) >= RUN_LIFETIME_S


def _excludes(known: SuspectRun, run: SuspectRun) -> bool:
    if known.request.fingerprint == run.request.fingerprint:
        return True
    return known.instance_id == run.instance_id and (known.must_be_alone or run.must_be_alone)
