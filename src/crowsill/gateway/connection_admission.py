"""Decides which new connections a gateway accepts while it gets more than it can serve. Pure.

A gateway that reads more requests than it can answer in time does all of its work too late. One
that closes new connections before it reads a request costs their callers only a round trip: they
know that nothing ran, and most other gateways have room. But the event loop also lags while other
work takes it up, as when many links are lost or return. So a few connections are always accepted.
"""

from dataclasses import dataclass
from random import Random

# Up to this lag of the event loop, responses are late by some tenths of a second at most: a request
# takes several passes of the loop.
MAX_LAG_S = 0.1
# One lag says little: the process may have been paused. While the lag lasts, the share of closed
# connections rises to its limit within about a second. A check comes once in a pass of the event
# loop at most, so its steps grow with the lag.
MIN_LAGGING_CHECKS = 2
MIN_LAGGING_STEPS = 8.0
CHECK_INTERVAL_S = 0.05
SHARE_STEP = 0.08
MAX_STEPS_PER_CHECK = 8.0
# Some connections are accepted all the same, so that the gateway notices when it has room again.
MAX_CLOSED_SHARE = 0.95
SHARE_DECAY = 0.04
# So few connections a second do not keep an event loop busy: it lags for another reason.
ALWAYS_ACCEPTED_PER_S = 10.0
# Connections accepted in one pass of the event loop; fewer while it is late, so that what is
# accepted is not late as well.
MAX_ACCEPTED_PER_PASS = 32
MIN_ACCEPTED_PER_PASS = 4
MAX_PASS_S = 0.2
# A caller that waited so long unread is not served in time by a gateway that is late already.
MAX_WAITED_S = 1.0


@dataclass(slots=True)
class ConnectionAdmission:
    """The share of new connections beyond `ALWAYS_ACCEPTED_PER_S` that are closed unread.

    Attributes:
        closed_share: That share, controlled by the event loop's lag.
        max_per_pass: Connections to accept in one pass of the event loop.

    >>> admission = ConnectionAdmission()
    >>> admission.note_lag(2.0), admission.note_lag(0.0), admission.closed_share
    (None, None, 0.0)
    >>> for _ in range(6):
    ...     admission.note_lag(0.4)
    >>> admission.closed_share > 0.9
    True
    >>> for _ in range(30):
    ...     admission.note_lag(0.0)
    >>> admission.closed_share
    0.0
    """

    closed_share: float = 0.0
    max_per_pass: int = MAX_ACCEPTED_PER_PASS
    _lagging_checks: int = 0
    _lagging_steps: float = 0.0
    _allowance: float = 0.0
    _allowance_at_s: float = float("-inf")

    @property
    def is_closing(self) -> bool:
        """Whether any connections are closed unread."""
        return self.closed_share > 0.0

    def note_lag(self, lag_s: float) -> None:
        """Adjust the share to the lag of the event loop, measured every `CHECK_INTERVAL_S`.

        Args:
            lag_s: How late a timer ran, in seconds.
        """
        if lag_s > MAX_PASS_S:
            self.max_per_pass = max(MIN_ACCEPTED_PER_PASS, self.max_per_pass // 2)
        if lag_s <= MAX_LAG_S:
            self.max_per_pass = min(MAX_ACCEPTED_PER_PASS, self.max_per_pass * 2)
            self._lagging_checks = 0
            self._lagging_steps = 0.0
            self.closed_share = max(0.0, self.closed_share - SHARE_DECAY)
            return
        steps = min(lag_s / MAX_LAG_S, MAX_STEPS_PER_CHECK)
        self._lagging_checks += 1
        self._lagging_steps += steps
        has_lasted = (
            self._lagging_checks >= MIN_LAGGING_CHECKS and self._lagging_steps >= MIN_LAGGING_STEPS
        )
        if not has_lasted and not self.is_closing:
            return
        self.closed_share = min(MAX_CLOSED_SHARE, self.closed_share + SHARE_STEP * steps)

    def accepts(self, now_s: float, random: Random, waited_s: float = 0.0) -> bool:
        """Whether to accept a new connection.

        Args:
            now_s: Current monotonic time in seconds.
            random: Draws which connections beyond that rate are closed.
            waited_s: How long it has waited to be accepted.
        """
        if self.is_closing and waited_s > MAX_WAITED_S:
            return False
        return (
            self._spend_allowance(now_s)
            or not self.is_closing
            or random.random() >= self.closed_share
        )

    def _spend_allowance(self, now_s: float) -> bool:
        """Whether the connection is always accepted; a second's worth may come at once."""
        gained = (now_s - self._allowance_at_s) * ALWAYS_ACCEPTED_PER_S
        self._allowance = min(ALWAYS_ACCEPTED_PER_S, self._allowance + gained)
        self._allowance_at_s = now_s
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True
