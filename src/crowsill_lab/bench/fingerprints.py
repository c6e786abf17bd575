"""CPU time per request to check whether it is a crash suspect."""

import time

import msgspec

from crowsill.gateway.crash_guard import CrashGuard
from crowsill.gateway.fingerprint import Fingerprints
from crowsill.gateway.request import CallerRequest
from crowsill.model.suspects import SuspectChange, SuspectCrashes

ROUNDS = 5000
SUSPECTS = 1000
BODY_BYTES = (1024, 64 * 1024)


class FingerprintFigures(msgspec.Struct, frozen=True):
    """Result for one body size.

    Attributes:
        body_bytes: Size of the body, in bytes.
        idle_us: CPU time per request without suspects, in microseconds.
        look_up_us: The same with `SUSPECTS` suspects.
    """

    body_bytes: int
    idle_us: float
    look_up_us: float


def _look_up_us(guard: CrashGuard, request: CallerRequest) -> float:
    fingerprints = Fingerprints(b"key")
    started_s = time.process_time()
    for _ in range(ROUNDS):
        if guard.has_suspects:
            guard.is_quarantined(fingerprints.of(request, ""))
    return round((time.process_time() - started_s) * 1e6 / ROUNDS, 2)


def run_fingerprint_bench() -> list[FingerprintFigures]:
    """Return the results for each body size."""
    crashes = [SuspectCrashes(b"%016d" % number, ["a"]) for number in range(SUSPECTS)]
    guard = CrashGuard()
    guard.adopt(SuspectChange(1, crashes), True)
    figures: list[FingerprintFigures] = []
    for size in BODY_BYTES:
        request = CallerRequest(b"POST", b"/a/b", [], b"x" * size, True, 0.0, host="h.example")
        idle_us = _look_up_us(CrashGuard(), request)
        figures.append(FingerprintFigures(size, idle_us, _look_up_us(guard, request)))
    return figures
