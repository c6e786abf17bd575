"""Makes replicas of a soak shed requests and drain, with valid and malformed headers."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

# Duration of load shedding, and the share of requests that the replica rejects meanwhile.
MIN_SHED_S = 1.0
MAX_SHED_S = 4.0
SHED_SHARE = 0.7
MAX_PAUSE_S = 2.5
# A replica that reports its drain only in responses stops after this time.
DRAIN_S = 4.0
# Values of `Retry-After` headers and the backoff in seconds that they request. With several headers
# one valid value is enough.
RETRY_AFTER_CASES: tuple[tuple[tuple[str, ...], float], ...] = (
    (("1",), 1.0),
    (("2.5",), 2.5),
    (("0.75",), 0.75),
    (("1", "3"), 3.0),
    (("soon", "2"), 2.0),
    (("-1",), 0.0),
    (("",), 0.0),
    (("nan",), 0.0),
    ((), 0.0),
)


class SignallingReplica(Protocol):
    """A replica that can shed requests, and report a drain only in its responses."""

    name: str

    def shed_until(self, until_at_s: float) -> None:
        """Reject requests and request backoffs until a monotonic time."""

    async def drain_by_responses(self, after_s: float) -> None:
        """Report a drain in responses while heartbeats report ready, and stop after a time."""


@dataclass(frozen=True, slots=True)
class Rejection:
    """The headers of a rejection.

    Attributes:
        values: Values of its `Retry-After` headers.
        backoff_s: The backoff that they request.
    """

    values: tuple[str, ...]
    backoff_s: float


def draw_rejection(random: Random) -> Rejection:
    """Draw the headers of a rejection by a replica that sheds requests."""
    return Rejection(*random.choice(RETRY_AFTER_CASES))


class SignalInjector:
    """Makes replicas shed requests and drain in sequence, during all other faults."""

    def __init__(
        self,
        replicas: Callable[[], list[SignallingReplica]],
        random: Random,
        note: Callable[[str], None],
    ) -> None:
        """Initialize the injector.

        Args:
            replicas: Returns the current replicas.
            random: Decides which replica sheds or drains, and when.
            note: Receives a line for each signal.
        """
        self._replicas = replicas
        self._random = random
        self._note = note
        self._draining: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Run until cancelled; replicas that have begun to drain still stop."""
        while True:
            await asyncio.sleep(self._random.random() * MAX_PAUSE_S)
            replica = self._random.choice(self._replicas())
            if self._random.random() < 0.5:
                span_s = MAX_SHED_S - MIN_SHED_S
                shed_s = MIN_SHED_S + self._random.random() * span_s
                self._note(f"shed {replica.name}")
                replica.shed_until(time.monotonic() + shed_s)
                continue
            self._note(f"leave by answers {replica.name}")
            task = asyncio.create_task(replica.drain_by_responses(DRAIN_S))
            self._draining.add(task)
            task.add_done_callback(self._draining.discard)
