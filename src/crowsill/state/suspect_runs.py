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
# After a crash of its replica, the gateway has this time to report how the run ended. It may not
# have sent the request at all.
MAX_REPORT_DELAY_S = 2.0
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
        crashed_at_s: Wall-clock time at which its replica crashed; None if it has not.
    """

    run_id: str
    request: SuspectRequest
    instance_id: str
    crashes: int
    started_at_s: float
    crashed_at_s: float | None = None

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
    >>> runs.note_crash("a", [b"g"], 1.0), [run.run_id for run in runs.take_unreported(3.0)]
    (None, ['1'])
    >>> runs.begin(run("4", b"h", crashes=2))
    True
    >>> runs.begin(run("5", b"h", "b", started_at_s=9.0))
    False
    >>> runs.begin(run("5", b"h", "b", started_at_s=10.0))
    True
    """

    def __init__(self) -> None:
        self._runs: OrderedDict[bytes, SuspectRun] = OrderedDict()

    def may_begin(self, run: SuspectRun) -> bool:
        """Whether a run may begin beside those that are in progress."""
        return not any(
            _excludes(known, run)
            for known in self._runs.values()
            if not _has_ended(known, run.started_at_s) and known.run_id != run.run_id
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

    def end(self, run_id: str) -> SuspectRun | None:
        """Remove and return a run that has ended; None if it is not in progress."""
        for key, run in self._runs.items():
            if run.run_id == run_id:
                return self._runs.pop(key)
        return None

    def end_requests(self, fingerprints: list[bytes]) -> None:
        """Record that requests have completed."""
        for fingerprint in fingerprints:
            self._runs.pop(fingerprint, None)

    def instance_ids(self) -> set[str]:
        """Return the incarnations that run a suspect."""
        return {run.instance_id for run in self._runs.values()}

    def note_crash(self, instance_id: str, reported: list[bytes], crashed_at_s: float) -> None:
        """Record that a replica has crashed; the gateways of its other runs may still report.

        Args:
            instance_id: The incarnation that crashed.
            reported: Fingerprints of the requests that were reported as running there.
            crashed_at_s: Wall-clock time of the crash.
        """
        for key, run in list(self._runs.items()):
            if run.instance_id != instance_id:
                continue
            if key in reported:
                del self._runs[key]
            elif run.crashed_at_s is None:
                self._runs[key] = msgspec.structs.replace(run, crashed_at_s=crashed_at_s)

    def take_unreported(self, now_s: float) -> list[SuspectRun]:
        """Remove and return runs whose replica crashed and whose gateway has not reported in time.

        Args:
            now_s: Current wall-clock time.
        """
        unreported = [run for run in self._runs.values() if _is_unreported(run, now_s)]
        for run in unreported:
            del self._runs[run.request.fingerprint]
        return unreported

    def dump(self) -> list[SuspectRun]:
        """Return the state for a snapshot."""
        return list(self._runs.values())

    def load(self, runs: list[SuspectRun]) -> None:
        """Replace the state from a snapshot."""
        self._runs = OrderedDict((run.request.fingerprint, run) for run in runs)


def _has_ended(run: SuspectRun, now_s: float) -> bool:
    # The absolute difference bounds the lifetime also if the wall clock jumps back.
    return abs(now_s - run.started_at_s) >= RUN_LIFETIME_S or _is_unreported(run, now_s)


def _is_unreported(run: SuspectRun, now_s: float) -> bool:
    return run.crashed_at_s is not None and abs(now_s - run.crashed_at_s) >= MAX_REPORT_DELAY_S


def _excludes(known: SuspectRun, run: SuspectRun) -> bool:
    if known.request.fingerprint == run.request.fingerprint:
        return True
    return known.instance_id == run.instance_id and (known.must_be_alone or run.must_be_alone)
