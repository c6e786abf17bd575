"""Estimates the work of one request, the unit in which room is divided. Pure."""

import math

# Upper bound of one request's work, in tokens: a header may state any number.
MAX_REQUEST_WORK = 1_000_000.0


def request_work(
    model: str, prompt_tokens: int, output_tokens: int, length_hint: float | None
) -> float:
    """Return the work of a request: tokens at an engine, 1 at a plain service.

    Args:
        model: The model that it needs; empty for a plain service.
        prompt_tokens: Tokens of its prompt.
        output_tokens: Maximum number of tokens of its output.
        length_hint: The caller's estimate of the number of output tokens; None without one.

    >>> request_work("m", 1800, 50, None), request_work("m", 1800, 50, 8.0)
    (1850.0, 1808.0)
    >>> request_work("", 0, 0, None), request_work("m", 0, 0, None), request_work("m", 1, 1, -4.0)
    (1.0, 1.0, 2.0)
    """
    if not model:
        return 1.0
    expected = float(output_tokens)
    if length_hint is not None and math.isfinite(length_hint) and length_hint > 0.0:
        expected = min(expected, length_hint) if output_tokens > 0 else length_hint
    return min(MAX_REQUEST_WORK, max(1.0, prompt_tokens + expected))
