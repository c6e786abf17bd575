"""Decides whether a request that no replica can take now waits or is rejected at once. Pure.

Many callers may need a resource that is not available yet, and some of them can wait longer than
others. A request that cannot be served in time is rejected at once with a time to retry, which
differs between callers.

The decision depends on the time that the caller has left, not on how often it has tried. A response
has full value up to its target; the value then falls to 0 at the deadline. A wait that ends in a
rejection costs the share of the caller's remaining time that it takes, since the caller could have
tried elsewhere meanwhile. A request waits as long as the expected value of being served exceeds the
expected cost.
"""

import math
from dataclasses import dataclass, replace

from crowsill.model.routes import Route, RouteKind

# Callers of streams are instructed to disconnect after they have received nothing for the longest
# of these times. The gateway can't change this, and must not make them wait longer.
STREAM_ABANDON_S = 2.0
STREAM_ABANDON_TARGETS = 4.0
STREAM_ABANDON_GAPS = 8.0
# After a backoff a replica accepts one request and then two, and few under a rate limit. Of more
# requests waiting for it at one gateway, most would be rejected in the end.
MAX_WAITING_TO_OPEN = 2
# Probability that a request is sent when its turn is expected, by the time between two places.
TURN_PROBABILITY = 0.9
# Retry times of one rank are spread over this interval; the next rank follows after it.
RETRY_RANK_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class WaitEstimate:
    """What is known of when a replica will take a request.

    Attributes:
        ready_s: Time from now until one takes it; infinite if none ever will.
        probability: Probability that one does.
        known_after_s: Time from now until it is known whether one will. A wait that turns out to be
            useless ends then, so it costs no more than this time.
    """

    ready_s: float
    probability: float
    known_after_s: float


@dataclass(frozen=True, slots=True)
class WaitBudget:
    """How long a caller waits for one request, in seconds since it arrived.

    Attributes:
        waited_s: Time until now.
        total_s: Time until the deadline.
        target_s: Time up to which a response has its full value.
        abandons_after_s: Time after which the caller disconnects if it has received nothing;
            infinite if it waits until the deadline.
    """

    waited_s: float
    total_s: float
    target_s: float
    abandons_after_s: float

    def response_value(self, after_s: float) -> float:
        """Return the value of a response after a time since the arrival, from 1 to 0.

        >>> budget = WaitBudget(0.0, 5.0, 1.0, 3.0)
        >>> budget.response_value(0.5), budget.response_value(2.0), budget.response_value(3.5)
        (1.0, 0.75, 0.0)
        """
        if after_s >= min(self.total_s, self.abandons_after_s):
            return 0.0
        if after_s <= self.target_s:
            return 1.0
        return (self.total_s - after_s) / (self.total_s - self.target_s)

    def lost_by_return(self, delay_s: float, response_s: float) -> float:
        """Return the share of a response's value that is lost if the caller comes back later.

        Args:
            delay_s: Time after which it comes back.
            response_s: Time to the first data of a response.

        >>> budget = WaitBudget(0.0, 5.0, 1.0, math.inf)
        >>> [round(budget.lost_by_return(delay_s, 0.5), 2) for delay_s in (0.5, 2.5, 4.5)]
        [0.0, 0.5, 1.0]
        """
        # A caller that comes back waits anew for the first data.
        budget = replace(self, abandons_after_s=math.inf)
        now_value = budget.response_value(self.waited_s + response_s)
        if now_value <= 0.0:
            return 0.0
        return 1.0 - budget.response_value(self.waited_s + delay_s + response_s) / now_value


def wait_budget(route: Route, wait_ms: float | None, waited_s: float) -> WaitBudget:
    """Return how long the caller of a request waits.

    A caller that has less time than the route gives needs its response sooner, so its target is
    shorter in proportion.

    Args:
        route: The request's route.
        wait_ms: The remaining time that the caller sent with it, or None.
        waited_s: Time since its arrival.

    >>> from crowsill.model.routes import RouteKind
    >>> route = Route("r", "h", "/", RouteKind.STREAM, 5000, [], target_latency_ms=800)
    >>> wait_budget(route, 5000, 0.25)
    WaitBudget(waited_s=0.25, total_s=5.0, target_s=0.8, abandons_after_s=3.2)
    >>> wait_budget(route, 2500, 0.25)
    WaitBudget(waited_s=0.25, total_s=2.5, target_s=0.4, abandons_after_s=3.2)
    """
    timeout_s = route.timeout_ms / 1000.0
    total_s = timeout_s if wait_ms is None else min(timeout_s, max(0.0, wait_ms) / 1000.0)
    target_s = route.target_latency_ms / 1000.0
    abandons_after_s = float("inf")
    if route.kind is RouteKind.STREAM:
        gaps_s = route.target_gap_ms / 1000.0 * STREAM_ABANDON_GAPS
        abandons_after_s = max(STREAM_ABANDON_S, target_s * STREAM_ABANDON_TARGETS, gaps_s)
    if total_s < timeout_s:
        target_s *= total_s / timeout_s
    return WaitBudget(waited_s, total_s, target_s, abandons_after_s)


def should_wait(estimate: WaitEstimate, budget: WaitBudget, response_s: float) -> bool:
    """Return whether a request goes on waiting; if not, it is rejected at once.

    Args:
        estimate: When a replica may take it.
        budget: How long its caller waits.
        response_s: Time from then to the first data of the response.

    >>> soon, never = WaitEstimate(0.5, 0.9, 0.5), WaitEstimate(9.0, 0.9, 9.0)
    >>> caller = WaitBudget(0.0, 5.0, 0.8, 3.2)
    >>> should_wait(soon, caller, 0.1), should_wait(never, caller, 0.1)
    (True, False)
    """
    value = budget.response_value(budget.waited_s + estimate.ready_s + response_s)
    if value <= 0.0:
        return False
    # The value is positive, so some time remains.
    wasted_s = min(estimate.known_after_s, estimate.ready_s)
    cost = wasted_s / (budget.total_s - budget.waited_s)
    return estimate.probability * value > (1.0 - estimate.probability) * cost


def in_order(
    estimate: WaitEstimate, turn_after_s: float, budget: WaitBudget, response_s: float
) -> WaitEstimate:
    """Return the estimate for a request that waits in an order.

    Args:
        estimate: When a replica may take any one request.
        turn_after_s: Expected time until those that go before it are sent; infinite if unknown.
        budget: How long its caller waits.
        response_s: Time from its turn to the first data of the response.

    >>> caller = WaitBudget(0.0, 8.0, 6.0, 12.0)
    >>> in_order(WaitEstimate(0.3, 0.2, 0.3), 2.0, caller, 0.1)
    WaitEstimate(ready_s=2.0, probability=0.9, known_after_s=2.0)
    >>> in_order(WaitEstimate(0.3, 0.2, 0.3), 7.0, caller, 0.1)
    WaitEstimate(ready_s=7.0, probability=0.2, known_after_s=0.3)
    """
    if math.isinf(turn_after_s):
        return estimate
    ready_s = max(estimate.ready_s, turn_after_s)
    if budget.waited_s + ready_s + response_s > budget.target_s:
        return replace(estimate, ready_s=ready_s)
    return WaitEstimate(ready_s, max(estimate.probability, TURN_PROBABILITY), ready_s)


def retry_delay_s(estimate: WaitEstimate, budget: WaitBudget, rank: int, spread: float) -> float:
    """Return the time after which a rejected caller should retry; urgent ones come first.

    Args:
        estimate: When a replica may take it.
        budget: How long it waits.
        rank: Rank of its route; 0 is the most urgent.
        spread: A random number from 0 to 1 that keeps callers from retrying together.

    >>> budget = WaitBudget(0.0, 5.0, 0.8, 3.2)
    >>> round(retry_delay_s(WaitEstimate(2.0, 0.9, 2.0), budget, rank=1, spread=0.5), 2)
    2.15
    """
    ready_s = estimate.ready_s
    if math.isinf(ready_s):
        ready_s = max(0.0, budget.total_s - budget.waited_s)
    return ready_s + RETRY_RANK_INTERVAL_S * (rank + spread)
