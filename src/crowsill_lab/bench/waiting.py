"""CPU time of the operations of the queue of waiting requests."""

import time
from random import Random

import msgspec

from crowsill.gateway.wait_queue import MAX_WAITING, WaitQueue
from crowsill.gateway.waiter import RequestClass, Resource, Waiter

COUNTS = (10, MAX_WAITING - 1)
ROUNDS = 2000
REPETITIONS = 5
SERVICE = "engines"
MODELS = 40
MODELS_PER_REPLICA = 3
TENANTS = 16
RANKS = 3


class WaitingFigures(msgspec.Struct, frozen=True):
    """Result for one number of waiting requests; minima of `REPETITIONS` runs.

    Attributes:
        waiting: Number of requests that wait.
        join_and_leave_us: CPU time for one request to enter the queue and leave it, in
            microseconds.
        turn_us: CPU time to begin a round for a replica that has one place, to offer the turn to
            the first request and to record that it is sent.
        position_us: CPU time to estimate when a request has its turn.
    """

    waiting: int
    join_and_leave_us: float
    turn_us: float
    position_us: float


def _waiter(random: Random) -> Waiter:
    is_urgent = random.random() < 0.5
    request_class = RequestClass(
        Resource(f"m{random.randrange(MODELS)}"), "urgent" if is_urgent else "patient", 11
    )
    start_at_s = random.uniform(10.0, 20.0)
    return Waiter(
        SERVICE,
        request_class,
        random.randrange(RANKS),
        f"t{random.randrange(TENANTS)}",
        is_urgent,
        random.uniform(10.0, 1000.0),
        0.0,
        start_at_s,
        start_at_s + 2.0,
    )


def _figures(count: int, seed: int) -> WaitingFigures:
    random, queue = Random(seed), WaitQueue()
    waiters = [_waiter(random) for _ in range(count)]
    for waiter in waiters:
        queue.join(waiter)
    extra = [_waiter(random) for _ in range(ROUNDS)]
    started_s = time.process_time()
    for waiter in extra:
        queue.join(waiter)
        queue.leave(waiter)
    joined_s = time.process_time()
    for number in range(ROUNDS):
        held = {Resource(f"m{(number + place) % MODELS}") for place in range(MODELS_PER_REPLICA)}
        turn = queue.begin_round(SERVICE, 1.0, held.__contains__)
        sent = turn.next(1.0)
        if sent is not None:
            queue.note_sent(sent, 1.0, 1.0)
            queue.join(sent)
    offered_s = time.process_time()
    for number in range(ROUNDS):
        queue.turn_after_s(waiters[number % count], 1.0)
    ended_s = time.process_time()
    times_s = (joined_s - started_s, offered_s - joined_s, ended_s - offered_s)
    return WaitingFigures(count, *(round(taken_s * 1e6 / ROUNDS, 1) for taken_s in times_s))


def run_waiting_bench() -> list[WaitingFigures]:
    """Return the results for each number of waiting requests."""
    results: list[WaitingFigures] = []
    for count in COUNTS:
        runs = [_figures(count, seed) for seed in range(REPETITIONS)]
        results.append(
            WaitingFigures(
                count,
                min(run.join_and_leave_us for run in runs),
                min(run.turn_us for run in runs),
                min(run.position_us for run in runs),
            )
        )
    return results
