"""The rate that a replica names in its answers: what it takes from all gateways together. Pure.

Answers of one replica reach many gateways in any order. Each process keeps when the limit was named
last and when it ended; what others tell is merged by those clocks, so that it does not matter who
hears what first, and a process that has just started learns it from any other. Nothing ends a limit
but an answer without one to a request that was sent after the last naming.
"""

import re
from dataclasses import dataclass

from crowsill.model.replica_limits import LimitReport

# After its end the rate doubles with each step, so that what had kept away does not come at once.
RETURN_STEP_S = 1.0
RETURN_STEPS = 4
# A return begins from this rate at least.
LEAST_RETURN_PER_S = 1.0
# A replica that names a limit of 0 is sent one request in ten seconds: without any answer nobody
# would learn that the limit is over.
TRIAL_PER_S = 0.1
# A limit of which nothing was heard for so long, and for so many of its intervals, is forgotten.
FORGET_S = 60.0
FORGET_INTERVALS = 3.0
_DECIMAL = re.compile(rb"\d{1,12}(\.\d{1,12})?")


def read_limit_per_s(value: bytes) -> float | None:
    """Read a value of the header, a decimal number of requests a second; None when it is none.

    >>> read_limit_per_s(b" 2.5 "), read_limit_per_s(b"0"), read_limit_per_s(b"-1")
    (2.5, 0.0, None)
    """
    value = value.strip()
    return float(value) if _DECIMAL.fullmatch(value) else None


@dataclass(slots=True)
class NamedLimit:
    """The limit of one life of a replica, as one process knows it. Clocks are the caller's.

    Attributes:
        per_s: Requests a second that it takes from all gateways; None before it names any.
        named_s: Clock when it was named last.
        ended_s: Clock when the first request after that was sent whose answer named none; None
            while the limit holds.

    >>> limit = NamedLimit()
    >>> limit.note(2.0, now_s=5.0), limit.note(2.0, now_s=6.0), limit.note(1.0, now_s=7.0)
    (True, False, True)
    >>> limit.note_unnamed(sent_s=6.5), limit.note_unnamed(sent_s=7.5)
    (False, True)
    >>> limit.binds(7.0), limit.rate_per_s(8.0), limit.rate_per_s(9.0), limit.binds(12.0)
    (True, 2.0, 4.0, False)
    """

    per_s: float | None = None
    named_s: float = float("-inf")
    ended_s: float | None = None

    @property
    def holds(self) -> bool:
        """Whether the replica names one, by the last answer that tells."""
        return self.per_s is not None and self.ended_s is None

    def note(self, per_s: float, now_s: float) -> bool:
        """Take in that an answer names a limit; return whether it is new, or another one."""
        is_new = not self.holds or per_s != self.per_s
        self.per_s, self.named_s, self.ended_s = per_s, now_s, None
        return is_new

    def note_unnamed(self, sent_s: float) -> bool:
        """Take in that an answer names none; return whether that ends the limit.

        Args:
            sent_s: When its request was sent: an answer that began before the limit says nothing.
        """
        if not self.holds or sent_s <= self.named_s:
            return False
        self.ended_s = sent_s
        return True

    def binds(self, now_s: float) -> bool:
        """Whether requests need a grant: while the limit holds, and as the rate returns."""
        if self.per_s is None:
            return False
        if self.ended_s is not None:
            return now_s < self.ended_s + RETURN_STEPS * RETURN_STEP_S
        return now_s < self.named_s + max(FORGET_S, FORGET_INTERVALS / self._base_per_s)

    def rate_per_s(self, now_s: float) -> float:
        """Return the requests a second that all gateways together may send it."""
        if self.ended_s is None:
            return self._base_per_s
        steps = 1 + max(0, int((now_s - self.ended_s) / RETURN_STEP_S))
        return max(self._base_per_s, LEAST_RETURN_PER_S) * 2.0 ** min(steps, RETURN_STEPS)

    @property
    def _base_per_s(self) -> float:
        return self.per_s or TRIAL_PER_S

    def told(self, instance_id: str, now_s: float) -> LimitReport:
        """Return what is known, for another process; something was named."""
        lifted_ago_s = None if self.ended_s is None else now_s - self.ended_s
        return LimitReport(instance_id, self.per_s or 0.0, now_s - self.named_s, lifted_ago_s)

    def merge(self, word: LimitReport, now_s: float) -> None:
        """Take in what another process knows.

        >>> limit = NamedLimit(2.0, named_s=5.0)
        >>> limit.merge(LimitReport("i-1", 1.0, advertised_ago_s=1.0), now_s=7.0)
        >>> limit
        NamedLimit(per_s=1.0, named_s=6.0, ended_s=None)
        >>> limit.merge(LimitReport("i-1", 2.0, advertised_ago_s=9.0, lifted_ago_s=0.5), now_s=8.0)
        >>> limit
        NamedLimit(per_s=1.0, named_s=6.0, ended_s=7.5)
        """
        named_s = now_s - word.advertised_ago_s
        ends = [self.ended_s, None if word.lifted_ago_s is None else now_s - word.lifted_ago_s]
        if named_s > self.named_s:
            self.per_s, self.named_s = word.per_s, named_s
        later = [ended_s for ended_s in ends if ended_s is not None and ended_s > self.named_s]
        self.ended_s = min(later, default=None)
