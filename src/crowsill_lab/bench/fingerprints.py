"""Processor time of what a request costs while some request is a suspect."""

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
    """One size of body.

    Attributes:
        body_bytes: Size of the body.
        idle_us: Processor time a request while no request is a suspect, in microseconds.
        look_up_us: The same while `SUSPECTS` requests are.
    """

    body_bytes: int
    idle_us: float
    look_up_us: float


def _look_up_us(guard: CrashGuard, request: CallerRequest) -> float:
    fingerprints = Fingerprints(b"key")
    began_s = time.process_time()
    for _ in range(ROUNDS):
        if guard.has_suspects:
            guard.is_quarantined(fingerprints.of(request, ""))
    return round((time.process_time() - began_s) * 1e6 / ROUNDS, 2)


def run_fingerprint_bench() -> list[FingerprintFigures]:
    """Return the figures for each size of body."""
    ends = [SuspectCrashes(b"%016d" % number, ["a"]) for number in range(SUSPECTS)]
    guard = CrashGuard()
    guard.adopt(SuspectChange(1, ends), True)
    found: list[FingerprintFigures] = []
    for size in BODY_BYTES:
        request = CallerRequest(b"POST", b"/a/b", [], b"x" * size, True, 0.0, host="h.example")
        idle_us = _look_up_us(CrashGuard(), request)
        found.append(FingerprintFigures(size, idle_us, _look_up_us(guard, request)))
    return found
