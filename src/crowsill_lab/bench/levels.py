"""CPU time of a leader to sum the gateways' demand and to decide the admission level."""

import time
from random import Random

import msgspec

from crowsill.model.service_pressure import PressureReport, admission_class
from crowsill.overload.level_keeper import LevelKeeper
from crowsill.overload.pressure_counter import PressureCounter
from crowsill.overload.service_level import UPDATE_INTERVAL_S

ROUNDS = 40
GATEWAYS = 100
TENANTS = 16
RANKS = 4
SERVICES = ("engines", "embedding", "member")
REPORT_S = 0.5


class LevelFigures(msgspec.Struct, frozen=True):
    """Result for one number of requests in a gateway's report.

    Attributes:
        requests: Requests at each gateway since its last report.
        decide_ms: CPU time of a leader to sum `GATEWAYS` reports and decide, in milliseconds;
            minimum of `ROUNDS` runs.
        report_bytes: Encoded size of one report.
        level_bytes: Encoded size of the level.
    """

    requests: int
    decide_ms: float
    report_bytes: int
    level_bytes: int


def _report(requests: int, random: Random) -> PressureReport:
    counter = PressureCounter(0.0)
    for _ in range(requests):
        service = random.choice(SERVICES)
        tenant = f"tenant-{random.randrange(TENANTS):02d}"
        number = admission_class(random.randrange(1, RANKS + 1))
        work = random.uniform(500.0, 4000.0)
        counter.note_asked(service, tenant, number, work)
        counter.note_started(service, work / 2)
        counter.note_full(service, work / 2)
    return counter.collect({}, REPORT_S)


def run_level_bench() -> list[LevelFigures]:
    """Return the results for five, 50 and 500 requests in each gateway's report."""
    results: list[LevelFigures] = []
    for requests in (5, 50, 500):
        random, keeper = Random(1), LevelKeeper()
        reports = [_report(requests, random) for _ in range(GATEWAYS)]
        times_s: list[float] = []
        level_bytes = 0
        for step in range(ROUNDS):
            now_s = step * UPDATE_INTERVAL_S
            for number, report in enumerate(reports):
                keeper.note_report(f"g{number}", report, now_s)
            started_s = time.process_time()
            level = keeper.level(1, now_s)
            times_s.append(time.process_time() - started_s)
            level_bytes = len(msgspec.msgpack.encode(level))
        report_bytes = max(len(msgspec.msgpack.encode(report)) for report in reports)
        results.append(
            LevelFigures(requests, round(min(times_s) * 1000.0, 2), report_bytes, level_bytes)
        )
    return results
