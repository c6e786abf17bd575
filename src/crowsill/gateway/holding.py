"""How long a request is held before it is given back, where no replica takes it now. Pure.

Early enough for the caller to try again, and no later than its answer would be of use. A request
that cannot be in time any more is told at once when to come back: its next attempt counts anew.
"""

from crowsill.model.routes import Route

LONGEST_HOLD_SHARE = 0.4
LONGEST_HOLD_TARGETS = 2.0
# A first attempt whose model would come too late is given back within this share of its target.
FIRST_HOLD_TARGETS = 0.2
FIRST_ATTEMPT_SHARE = 0.95
# A later attempt is held for this share of the time that it has left: callers seldom come again.
LAST_HOLD_SHARE = 0.45
# But callers leave when nothing comes for about so many targets, and at least so long.
CALLER_PATIENCE_TARGETS = 3.0
SHORTEST_PATIENCE_S = 1.6
# With a longer target a load that begins now may still be in time, in seconds.
SHORT_TARGET_S = 3.0


def longest_hold_s(route: Route, left_s: float) -> float:
    """Return how long a request may be held, from its arrival.

    Args:
        route: Its route.
        left_s: Time that it has from its arrival.
    """
    target_s = route.target_latency_ms / 1000.0
    return min(left_s * LONGEST_HOLD_SHARE, target_s * LONGEST_HOLD_TARGETS)


def is_first_attempt(route: Route, wait_ms: float | None) -> bool:
    """Whether the caller has all its time left, so that it has not come back yet."""
    return wait_ms is None or wait_ms >= route.timeout_ms * FIRST_ATTEMPT_SHARE


def longest_hold_for_model_s(route: Route, left_s: float, is_first: bool, load_s: float) -> float:
    """Return how long a request for a model may be held, from its arrival.

    Args:
        route: Its route.
        left_s: Time that it has from its arrival.
        is_first: Whether it is its caller's first attempt.
        load_s: Time that a load of its model takes.

    >>> from crowsill.model.routes import RouteKind
    >>> route = Route("r", "h", "/", RouteKind.STREAM, 5000, [], target_latency_ms=800)
    >>> round(longest_hold_for_model_s(route, 5.0, True, load_s=2.0), 2)
    0.16
    >>> longest_hold_for_model_s(route, 5.0, True, load_s=0.5)
    1.6
    >>> longest_hold_for_model_s(route, 3.0, False, load_s=2.0)
    1.35
    """
    target_s = route.target_latency_ms / 1000.0
    if not is_first:
        patience_s = max(SHORTEST_PATIENCE_S, target_s * CALLER_PATIENCE_TARGETS)
        return min(left_s * LAST_HOLD_SHARE, patience_s)
    longest_s = longest_hold_s(route, left_s)
    if target_s < SHORT_TARGET_S and load_s > target_s:
        longest_s = min(longest_s, target_s * FIRST_HOLD_TARGETS)
    return longest_s
