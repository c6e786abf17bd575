"""What becomes of a request that no replica takes now: it waits, or is refused at once. Pure.

It answers a load of many callers for what is not there yet, while others can wait for longer than
they: whoever cannot be served in time is refused at once, told when to come back, each at a moment
of its own.

Weighed from its caller's first try on. An answer is worth all of it up to its target and less the
later it comes, down to nothing at the deadline; a wait in vain costs more the longer it lasts, all
of it at the deadline. A request waits for as long as the chance that it is served pays for that.
"""

import math
from dataclasses import dataclass

from crowsill.model.routes import Route, RouteKind

# What callers of streams are told to do: they leave when nothing has come for the longest of these.
# Not a choice of the gateway, which must not keep them longer.
STREAM_ABANDON_S = 2.0
STREAM_ABANDON_TARGETS = 4.0
STREAM_ABANDON_GAPS = 8.0
# A request that has come back and is refused again costs its caller so much of its worth; a choice
# of the operators.
REPEATED_REJECTION_COST = 0.3
# A caller that has this share of the route's time left or more is on its first try.
FIRST_TRY_SHARE = 0.95
# A replica takes one request first after a rest, and two next, and few under a limit: where more
# wait for it at one gateway, most of them wait in vain.
MAX_WAITING_TO_OPEN = 2
# Callers of one rank come back within one such span, those of the next rank in the next one.
RETRY_RANK_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class WaitEstimate:
    """What is known of when a replica will take a request.

    Attributes:
        ready_s: Time from now until one takes it; infinite where none ever will.
        probability: How likely that is.
        known_after_s: Time from now until it is known whether one will. A wait costs no more than
            this.
    """

    ready_s: float
    probability: float
    known_after_s: float


@dataclass(frozen=True, slots=True)
class WaitBudget:
    """How a caller waits for one request, in seconds since its first try began.

    Attributes:
        elapsed_before_s: When the present try began.
        waited_s: Time that has passed.
        total_s: When its deadline is.
        target_s: Up to when an answer is worth all.
        abandons_after_s: When it leaves if nothing has come; infinite if it waits for its deadline.
        is_retry: Whether it was refused before.
    """

    elapsed_before_s: float
    waited_s: float
    total_s: float
    target_s: float
    abandons_after_s: float

    @property
    def is_retry(self) -> bool:
        """Whether the caller was refused before."""
        return self.elapsed_before_s > 0.0

    def response_value(self, after_s: float) -> float:
        """Return what an answer is worth after a time since the first try, from 1 to 0.

        >>> budget = WaitBudget(0.0, 0.0, 5.0, 1.0, 3.0)
        >>> budget.response_value(0.5), budget.response_value(2.0), budget.response_value(3.5)
        (1.0, 0.75, 0.0)
        """
        if after_s >= min(self.total_s, self.abandons_after_s):
            return 0.0
        if after_s <= self.target_s:
            return 1.0
        return (self.total_s - after_s) / (self.total_s - self.target_s)


def wait_budget(route: Route, wait_ms: float | None, waited_s: float) -> WaitBudget:
    """Return how the caller of a request waits.

    Args:
        route: The request's route.
        wait_ms: What it said at its arrival that it will wait, or None.
        waited_s: Time since its arrival.

    >>> from crowsill.model.routes import RouteKind
    >>> route = Route("r", "h", "/", RouteKind.STREAM, 5000, [], target_latency_ms=800)
    >>> wait_budget(route, 5000, 0.25)
    WaitBudget(elapsed_before_s=0.0, waited_s=0.25, total_s=5.0, target_s=0.8, abandons_after_s=3.2)
    >>> wait_budget(route, 3000, 0.25)
    WaitBudget(elapsed_before_s=2.0, waited_s=2.25, total_s=5.0, target_s=0.8, abandons_after_s=5.2)
    """
    total_s = route.timeout_ms / 1000.0
    target_s = route.target_latency_ms / 1000.0
    left_s = total_s if wait_ms is None else min(total_s, wait_ms / 1000.0)
    is_retry = left_s < total_s * FIRST_TRY_SHARE
    elapsed_before_s = total_s - left_s if is_retry else 0.0
    if not is_retry:
        total_s = left_s
    abandons_after_s = float("inf")
    if route.kind is RouteKind.STREAM:
        pauses_s = route.target_gap_ms / 1000.0 * STREAM_ABANDON_GAPS
        longest_s = max(STREAM_ABANDON_S, target_s * STREAM_ABANDON_TARGETS, pauses_s)
        abandons_after_s = elapsed_before_s + longest_s
    return WaitBudget(
        elapsed_before_s, elapsed_before_s + waited_s, total_s, target_s, abandons_after_s
    )


def should_wait(estimate: WaitEstimate, budget: WaitBudget, response_s: float) -> bool:
    """Return whether a request goes on waiting; if not, it is refused at once.

    Args:
        estimate: When a replica may take it.
        budget: How its caller waits.
        response_s: Time from then to the first data of the answer.

    >>> soon, never = WaitEstimate(0.5, 0.9, 0.5), WaitEstimate(9.0, 0.9, 9.0)
    >>> caller = WaitBudget(0.0, 0.0, 5.0, 0.8, 3.2)
    >>> should_wait(soon, caller, 0.1), should_wait(never, caller, 0.1)
    (True, False)
    """
    response_value = budget.response_value(budget.waited_s + estimate.ready_s + response_s)
    if response_value <= 0.0:
        return False
    # What the caller did with its time between two tries is not a wait here.
    held_s = budget.waited_s - budget.elapsed_before_s
    vain_s = held_s + min(estimate.known_after_s, estimate.ready_s)
    cost = vain_s / (budget.total_s - budget.elapsed_before_s)
    # Whether it is refused now or later, a second refusal costs the same; being served spares it.
    spared = REPEATED_REJECTION_COST if budget.is_retry else 0.0
    return estimate.probability * (response_value + spared) > (1.0 - estimate.probability) * cost


def retry_delay_s(estimate: WaitEstimate, budget: WaitBudget, rank: int, spread: float) -> float:
    """Return when a refused caller should come back: when it may be served, urgent ones first.

    Args:
        estimate: When a replica may take it.
        budget: How it waits.
        rank: Rank of its route; 0 is the most urgent.
        spread: A random number from 0 to 1, so that callers do not come together.

    >>> budget = WaitBudget(0.0, 0.0, 5.0, 0.8, 3.2)
    >>> round(retry_delay_s(WaitEstimate(2.0, 0.9, 2.0), budget, rank=1, spread=0.5), 2)
    2.15
    """
    ready_s = estimate.ready_s
    if math.isinf(ready_s):
        ready_s = max(0.0, budget.total_s - budget.waited_s)
    return ready_s + RETRY_RANK_INTERVAL_S * (rank + spread)
