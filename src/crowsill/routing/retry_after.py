"""`Retry-After` in responses that reject a request (RFC 9110, section 10.2.3). Pure."""

import re
from datetime import UTC
from email.utils import parsedate_to_datetime

# Statuses that reject a request because of overload. With other statuses the header is about the
# requested resource, not about the replica.
REJECTION_STATUSES = frozenset((429, 503))
# Upper bound of the backoff from one response; a later response can ask for another one. It is ten
# times what a restart of an engine with its models takes.
MAX_BACKOFF_S = 300.0
_SECONDS = re.compile(r"\d{1,12}(\.\d{0,12})?", re.ASCII)


def parse_delay_s(text: str, wall_s: float) -> float | None:
    """Parse a header value, a date or a number of seconds with fractions; None if it is neither.

    Args:
        text: The header value.
        wall_s: Unix time in seconds.

    >>> parse_delay_s("3", 0.0), parse_delay_s("0.25", 0.0), parse_delay_s("99999999", 0.0)
    (3.0, 0.25, 300.0)
    >>> parse_delay_s("Thu, 01 Jan 1970 00:00:07 GMT", 2.0)
    5.0
    >>> [parse_delay_s(text, 0.0) for text in ("", "-1", "soon", "nan", "inf", "1e3")]
    [None, None, None, None, None, None]
    """
    text = text.strip()
    if _SECONDS.fullmatch(text):
        return min(MAX_BACKOFF_S, float(text))
    try:
        date = parsedate_to_datetime(text)
        retry_at_s = (date if date.tzinfo else date.replace(tzinfo=UTC)).timestamp()
    except (ValueError, OverflowError, TypeError, IndexError):
        return None
    return min(MAX_BACKOFF_S, max(0.0, retry_at_s - wall_s))


def parse_longest_delay_s(values: list[str], wall_s: float) -> tuple[float, list[str]]:
    """Return the longest delay of the header values in seconds, and the values that don't parse.

    If the header is repeated, the longest delay counts: each value is a lower bound, and nothing
    shows which one is meant.

    >>> parse_longest_delay_s(["1", "4", "soon"], 0.0), parse_longest_delay_s([], 0.0)
    ((4.0, ['soon']), (0.0, []))
    """
    parsed = [(value, parse_delay_s(value, wall_s)) for value in values]
    delays_s = [delay_s for _, delay_s in parsed if delay_s is not None]
    return max(delays_s, default=0.0), [value for value, delay_s in parsed if delay_s is None]
