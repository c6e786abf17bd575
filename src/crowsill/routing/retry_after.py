"""`Retry-After` in the answers of whoever turns requests away (RFC 9110, section 10.2.3). Pure."""

import re
from datetime import UTC
from email.utils import parsedate_to_datetime

# Statuses with which requests are turned away because there are too many. With others, the header
# speaks of the resource that was asked for.
REJECTION_STATUSES = frozenset((429, 503))
# Nobody is left alone for longer by one word: what is said after that counts anew. Ten times what a
# restart of an engine with its models takes.
MAX_BACKOFF_S = 300.0
_SECONDS = re.compile(r"\d{1,12}(\.\d{0,12})?", re.ASCII)


def read_delay_s(text: str, wall_s: float) -> float | None:
    """Read a value of the header: seconds, fractions too, or a date; None when it is neither.

    Args:
        text: The value.
        wall_s: Unix time.

    >>> read_delay_s("3", 0.0), read_delay_s("0.25", 0.0), read_delay_s("99999999", 0.0)
    (3.0, 0.25, 300.0)
    >>> read_delay_s("Thu, 01 Jan 1970 00:00:07 GMT", 2.0)
    5.0
    >>> [read_delay_s(text, 0.0) for text in ("", "-1", "soon", "nan", "inf", "1e3")]
    [None, None, None, None, None, None]
    """
    text = text.strip()
    if _SECONDS.fullmatch(text):
        return min(MAX_BACKOFF_S, float(text))
    try:
        date = parsedate_to_datetime(text)
        until_s = (date if date.tzinfo else date.replace(tzinfo=UTC)).timestamp()
    except (ValueError, OverflowError, TypeError, IndexError):
        return None
    return min(MAX_BACKOFF_S, max(0.0, until_s - wall_s))


def read_longest_delay_s(values: list[str], wall_s: float) -> tuple[float, list[str]]:
    """Return the longest delay that values of the header tell, and the values that tell none.

    Told twice, the longer one holds: it is a bound, and nothing says which one is meant.

    >>> read_longest_delay_s(["1", "4", "soon"], 0.0), read_longest_delay_s([], 0.0)
    ((4.0, ['soon']), (0.0, []))
    """
    read = [(value, read_delay_s(value, wall_s)) for value in values]
    delays_s = [delay_s for _, delay_s in read if delay_s is not None]
    return max(delays_s, default=0.0), [value for value, delay_s in read if delay_s is None]
