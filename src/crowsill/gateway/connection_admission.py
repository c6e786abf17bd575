"""Decides which new connections a gateway accepts while it gets more than it can serve. Pure.

A gateway that reads more requests than it can answer in time does all of its work too late. One
that closes new connections before it reads a request costs their callers only a round trip: they
know that nothing ran, and most other gateways have room. But the event loop also lags while other
work takes it up, as when many links are lost or return. So the rate that was sustained before is
always accepted.
"""

from dataclasses import dataclass, field
from random import Random

# Up to this lag of the event loop, responses are late by some tenths of a second at most: a request
# takes several passes of the loop.
MAX_LAG_S = 0.1
# One lag says little: the process may have been paused. While the lag lasts, the share of closed
# connections rises to its limit within about a second.
MIN_LAGGING_CHECKS = 3
CHECK_INTERVAL_S = 0.05
SHARE_STEP = 0.08
MAX_STEPS_PER_CHECK = 4.0
# Some connections are accepted all the same, so that the gateway notices when it has room again.
MAX_CLOSED_SHARE = 0.95
SHARE_DECAY = 0.04
# So few connections a second do not keep an event loop busy.
MIN_SUSTAINED_PER_S = 10.0
# Time over which the sustained rate is measured.
RATE_WINDOW_S = 1.0
# A rate that was sustained long ago says little about what else the machine does now.
KEPT_SHARE_PER_WINDOW = 0.98
# If the loop lags for longer than other work usually takes, the machine may have become slower.
MAX_UNEXPLAINED_WINDOWS = 1
KEPT_SHARE_PER_LAGGING_WINDOW = 0.5


@dataclass(slots=True)
class SustainedRate:
    """The rate of new connections at which the event loop did not lag.

    Attributes:
        per_s: Highest such rate lately, in connections a second.
    """

    per_s: float = MIN_SUSTAINED_PER_S
    _window_ends_at_s: float = float("-inf")
    _accepted: int = 0
    _has_lagged: bool = False
    _lagging_windows: int = 0

    def note_accepted(self) -> None:
        """Count a connection."""
        self._accepted += 1

    def note_lag(self, is_lagging: bool, now_s: float) -> None:
        """Record whether the loop lags; end the window if it is over."""
        self._has_lagged = self._has_lagged or is_lagging
        if now_s < self._window_ends_at_s:
            return
        kept_per_s = self.per_s
        if not self._has_lagged:
            self._lagging_windows = 0
            kept_per_s = max(self.per_s * KEPT_SHARE_PER_WINDOW, self._accepted / RATE_WINDOW_S)
        elif self._lagging_windows >= MAX_UNEXPLAINED_WINDOWS:
            kept_per_s = self.per_s * KEPT_SHARE_PER_LAGGING_WINDOW
        else:
            self._lagging_windows += 1
        self.per_s = max(MIN_SUSTAINED_PER_S, kept_per_s)
        self._window_ends_at_s = now_s + RATE_WINDOW_S
        self._accepted = 0
        self._has_lagged = False


@dataclass(slots=True)
class ConnectionAdmission:
    """The share of new connections beyond the sustained rate that are closed unread.

    Attributes:
        closed_share: That share, controlled by the event loop's lag.

    >>> admission = ConnectionAdmission()
    >>> admission.note_lag(2.0, 1.0), admission.note_lag(0.0, 1.05), admission.closed_share
    (None, None, 0.0)
    >>> for check in range(6):
    ...     admission.note_lag(0.4, 1.1 + 0.05 * check)
    >>> admission.closed_share > 0.9
    True
    >>> for check in range(30):
    ...     admission.note_lag(0.0, 1.4 + 0.05 * check)
    >>> admission.closed_share
    0.0
    """

    closed_share: float = 0.0
    _lagging_checks: int = 0
    _sustained: SustainedRate = field(default_factory=SustainedRate)
    _allowance: float = 0.0
    _allowance_at_s: float = float("-inf")

    def note_lag(self, lag_s: float, now_s: float) -> None:
        """Adjust the share to the lag of the event loop, measured every `CHECK_INTERVAL_S`.

        Args:
            lag_s: How late a timer ran, in seconds.
            now_s: Current monotonic time in seconds.
        """
        is_lagging = lag_s > MAX_LAG_S
        self._sustained.note_lag(is_lagging, now_s)
        if not is_lagging:
            self._lagging_checks = 0
            self.closed_share = max(0.0, self.closed_share - SHARE_DECAY)
            return
        self._lagging_checks += 1
        if self._lagging_checks < MIN_LAGGING_CHECKS and self.closed_share <= 0.0:
            return
        steps = min(lag_s / MAX_LAG_S, MAX_STEPS_PER_CHECK)
        self.closed_share = min(MAX_CLOSED_SHARE, self.closed_share + SHARE_STEP * steps)

    def accepts(self, now_s: float, random: Random) -> bool:
        """Whether to accept a new connection.

        Args:
            now_s: Current monotonic time in seconds.
            random: Draws which connections beyond the sustained rate are closed.
        """
        is_accepted = (
            self._spend_allowance(now_s)
            or self.closed_share <= 0.0
            or random.random() >= self.closed_share
        )
        if is_accepted:
            self._sustained.note_accepted()
        return is_accepted

    def _spend_allowance(self, now_s: float) -> bool:
        """Whether the connection is within the sustained rate, with a second's worth at once."""
        sustained_per_s = self._sustained.per_s
        gained = (now_s - self._allowance_at_s) * sustained_per_s
        self._allowance = min(sustained_per_s, self._allowance + gained)
        self._allowance_at_s = now_s
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True
