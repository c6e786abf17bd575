"""Decides whether a replica may be sent requests. Pure.

The state follows from the replica's own reports, from the directory and from failed attempts. Each
incarnation of a replica has one such state. What the replica reported itself outlives its registry
record, because a directory update or snapshot carries less than the replica's own responses. A
backoff is a strict bound: neither a complete response to an earlier request nor the lack of other
replicas shortens it. A replica that interrupted responses is only avoided as long as another one is
available. A replica to which no connection could be made is sent nothing.
"""

import math
from dataclasses import dataclass, field

from crowsill.gateway.exclusion import Exclusion, ExclusionReason
from crowsill.routing.advertised_limit import AdvertisedLimit

# After an interrupted response, a replica is tried only if no other is left, for this time. Each
# further interruption in a row doubles it.
INITIAL_FAILURE_PAUSE_S = 0.3
MAX_FAILURE_PAUSE_S = 4.0

# After a backoff, a replica gets this many requests without a response head at a time. The bound
# doubles with each accepted request and is lifted once it has reached MAX_PROBES. If all waiting
# requests were sent at once, the replica would shed again.
INITIAL_PROBES = 1
MAX_PROBES = 16
# A replica that sheds load was overloaded, also by this process. It starts with this share of the
# in-flight requests that it had when it shed, and regains all of them within RECOVERY_BACKOFFS
# times the length of that backoff.
LOAD_SHARE_AFTER_SHED = 0.5
RECOVERY_BACKOFFS = 10.0
# Under a rate limit, each rejected caller gets a later retry time than the one before, up to this
# bound: most callers give up sooner.
MAX_LIMIT_RETRY_AFTER_S = 10.0


@dataclass(slots=True)
class Availability:
    """Whether one incarnation of a replica may be sent requests.

    All times are on the caller's monotonic clock, in seconds.

    Attributes:
        available_at_s: Time until which it is sent nothing, for any reason but a pause after
            failures; infinite if unknown. Selection reads this instead of the attributes that it
            follows from.
        backoff_ends_at_s: Time until which it accepts nothing from this process.
        drain_reported_at_s: Time when it first reported that it drains; None if it did not.
        sent_in_backoff: Requests sent to it since its current backoff began.
        had_unreadable_signal: Whether it has sent a signal that could not be parsed.
        has_backed_off: Whether it ever asked for a backoff.
        max_probes: Requests without a response head that it may have after a backoff; None for no
            bound.
        probes: Requests of that kind that it has.
        in_flight_at_shed: Accepted requests of this process when it last asked for a backoff.
        shed_backoff_s: Length of that backoff; 0 if it never asked for one.
        is_listed_draining: Whether the directory lists it as draining.
        is_unreachable: Whether the last check did not reach it.
        is_silent: Whether it accepted a connection in that check, but sent nothing: it may be slow.
        refuses_connections: Whether it refused the last new connection while others were open; it
            gets requests on those.
        failures: Responses that it interrupted, in a row.
        failure_pause_ends_at_s: Time until which it is tried only if no other replica is left.
        missing_resources: Models and adapters that it reported as not loaded.
        limit: The rate limit that it advertises.
        limit_opens_at_s: Time until which no request to it is granted under that limit.
        non_urgent_opens_at_s: Time until which no request that can wait is granted.
        next_retry_at_s: Earliest time to give to the next rejected caller under the limit.
        sent_under_limit: Requests sent to it since it began to advertise a limit.

    >>> known = Availability()
    >>> known.note_backoff(3.0, now_s=10.0), known.is_backing_off(12.9), known.is_backing_off(13.0)
    (True, True, False)
    >>> known.note_backoff(0.5, now_s=10.2), known.backoff_ends_at_s
    (False, 13.0)
    >>> known.begin_probe(), known.has_capacity(0, 13.1), known.note_accepted(sent_at_s=13.1)
    (True, False, None)
    >>> known.max_probes, known.has_capacity(0, 13.2)
    (2, True)
    """

    backoff_ends_at_s: float = float("-inf")
    drain_reported_at_s: float | None = None
    sent_in_backoff: int = 0
    had_unreadable_signal: bool = False
    has_backed_off: bool = False
    max_probes: int | None = None
    probes: int = 0
    in_flight_at_shed: float = 0.0
    shed_backoff_s: float = 0.0
    is_listed_draining: bool = False
    is_unreachable: bool = False
    is_silent: bool = False
    refuses_connections: bool = False
    failures: int = 0
    failure_pause_ends_at_s: float = float("-inf")
    missing_resources: set[str] = field(default_factory=set)
    limit: AdvertisedLimit = field(default_factory=AdvertisedLimit)
    limit_opens_at_s: float = float("-inf")
    non_urgent_opens_at_s: float = float("-inf")
    next_retry_at_s: float = float("-inf")
    sent_under_limit: int = 0
    available_at_s: float = field(default=float("-inf"), init=False)

    def __post_init__(self) -> None:
        """Initialize `available_at_s`."""
        self._update_available_at()

    def _update_available_at(self) -> None:
        """Recompute `available_at_s` from the other attributes."""
        is_closed_indefinitely = self.is_draining or self.is_unreachable
        self.available_at_s = float("inf") if is_closed_indefinitely else self.urgent_opens_at_s

    @property
    def urgent_opens_at_s(self) -> float:
        """Time when its backoff is over and an urgent request may be granted."""
        return max(self.backoff_ends_at_s, self.limit_opens_at_s)

    def opens_at_s(self, is_urgent: bool) -> float:
        """Return the time when a request may be sent to it again, urgent or not."""
        return (
            self.urgent_opens_at_s
            if is_urgent
            else max(self.urgent_opens_at_s, self.non_urgent_opens_at_s)
        )

    @property
    def is_draining(self) -> bool:
        """Whether it drains, by its own responses or by the directory."""
        return self.has_reported_draining or self.is_listed_draining

    def is_reachable(self, has_idle_connection: bool) -> bool:
        """Whether a request can be sent to it from here, on an idle connection or a new one."""
        return not self.is_unreachable and (has_idle_connection or not self.refuses_connections)

    @property
    def is_closed_indefinitely(self) -> bool:
        """Whether it is sent nothing until a report or a successful connection changes that."""
        return math.isinf(self.available_at_s) and self.available_at_s > 0.0

    def exclusion(self, now_s: float, is_urgent: bool = True) -> Exclusion | None:
        """Return why it is not to be sent requests now, and until when; None when it may be.

        Args:
            now_s: Current monotonic time.
            is_urgent: Whether the requests cannot wait.
        """
        if self.has_reported_draining:
            return Exclusion(ExclusionReason.REPORTED_DRAINING)
        if self.is_listed_draining:
            return Exclusion(ExclusionReason.LISTED_DRAINING)
        opens_at_s = self.opens_at_s(is_urgent)
        if now_s < opens_at_s:
            reason = (
                ExclusionReason.BACKING_OFF
                if self.is_backing_off(now_s)
                else ExclusionReason.RATE_LIMITED
            )
            return Exclusion(reason, opens_at_s)
        if self.is_unreachable:
            return Exclusion(ExclusionReason.UNREACHABLE)
        if now_s < self.failure_pause_ends_at_s:
            return Exclusion(ExclusionReason.FAILING, self.failure_pause_ends_at_s)
        return None

    def may_be_slow(self, now_s: float) -> bool:
        """Whether only its silence speaks against sending requests to it."""
        return self.is_silent and not self.is_draining and self.urgent_opens_at_s <= now_s

    def accepts_on_open_connection(self, now_s: float) -> bool:
        """Whether a request may be sent on an open connection; checked right before it is sent."""
        return not self.is_draining and not self.is_backing_off(now_s)

    # Reports of the replica.

    def is_backing_off(self, now_s: float) -> bool:
        """Whether it accepts nothing from this process now."""
        return now_s < self.backoff_ends_at_s

    @property
    def has_reported_draining(self) -> bool:
        """Whether it reported that it drains."""
        return self.drain_reported_at_s is not None

    @property
    def has_reported_state(self) -> bool:
        """Whether its reports must be remembered when its registry record is removed."""
        return (
            self.has_reported_draining
            or self.backoff_ends_at_s > float("-inf")
            or self.limit.per_s is not None
        )

    def note_backoff(self, backoff_s: float, now_s: float, in_flight: int = 1) -> bool:
        """Record that it asked for a backoff; return whether a new one begins.

        Args:
            backoff_s: Time from now for which it accepts nothing.
            now_s: Current monotonic time.
            in_flight: Own requests that it had, including the one that it rejected.
        """
        is_new = not self.is_backing_off(now_s)
        if is_new:
            self.sent_in_backoff = 0
        if is_new and in_flight > 1:
            # With a single request in flight, a rejection doesn't show how many are too many.
            self.in_flight_at_shed = in_flight - 1.0
            self.shed_backoff_s = backoff_s
        self.backoff_ends_at_s = max(self.backoff_ends_at_s, now_s + backoff_s)
        self.max_probes = INITIAL_PROBES
        self.has_backed_off = True
        self._update_available_at()
        return is_new

    def note_limit(self, per_s: float, now_s: float) -> bool:
        """Record an advertised rate limit; return whether it is new or has changed."""
        if not self.limit.is_advertised:
            self.sent_under_limit = 0
        return self.limit.note_advertised(per_s, now_s)

    def close_for_limit(self, ends_at_s: float, is_urgent: bool = True) -> None:
        """Grant no request before a time, or none that can wait."""
        if not is_urgent:
            self.non_urgent_opens_at_s = ends_at_s
            return
        self.limit_opens_at_s = ends_at_s
        self._update_available_at()

    def reserve_retry_at_s(self, now_s: float, is_urgent: bool = True) -> float:
        """Return the time when one more rejected caller may retry under the limit.

        Each caller gets a later one: with equal times, all would retry at once and be rejected
        again.

        >>> known = Availability()
        >>> known.note_limit(2.0, now_s=0.0), known.close_for_limit(1.0)
        (True, None)
        >>> [known.reserve_retry_at_s(0.0) for _ in range(3)]
        [1.0, 1.5, 2.0]
        """
        retry_at_s = min(self.next_retry_at_s, now_s + MAX_LIMIT_RETRY_AFTER_S)
        retry_at_s = max(self.opens_at_s(is_urgent), retry_at_s)
        self.next_retry_at_s = retry_at_s + 1.0 / self.limit.rate_per_s(now_s)
        return retry_at_s

    def note_draining(self, now_s: float) -> bool:
        """Record that it reported that it drains; return whether that is new."""
        is_new = self.drain_reported_at_s is None
        if is_new:
            self.drain_reported_at_s = now_s
            self._update_available_at()
        return is_new

    # Reports of the directory, and results of attempts.

    def note_listing(self, is_listed_draining: bool) -> None:
        """Record whether the directory lists it as draining."""
        self.is_listed_draining = is_listed_draining
        self._update_available_at()

    def note_missing(self, resource: str) -> None:
        """Record that it doesn't hold a model or adapter, until the directory updates its entry."""
        self.missing_resources.add(resource)

    def note_complete_response(self) -> None:
        """Record a complete response: it is reachable and no longer failing."""
        self.failures = 0
        self.failure_pause_ends_at_s = float("-inf")
        # A response on an open connection does not show that new ones are accepted.
        self._note_response()

    def note_failure(self, now_s: float) -> None:
        """Record that it could not be reached or interrupted a response.

        >>> known = Availability()
        >>> known.note_failure(1.0), known.note_failure(1.0)
        (None, None)
        >>> round(known.failure_pause_ends_at_s, 2)
        1.6
        """
        self.failures += 1
        pause_s = min(MAX_FAILURE_PAUSE_S, INITIAL_FAILURE_PAUSE_S * 2.0 ** (self.failures - 1))
        self.failure_pause_ends_at_s = now_s + pause_s

    def note_unreachable(self, is_silent: bool = False) -> None:
        """Record that it is not reached; `is_silent` if it accepts connections and is silent."""
        self.is_unreachable = True
        self.is_silent = is_silent
        self._update_available_at()

    def note_not_silent(self) -> None:
        """Record that its silence is not all that speaks against it, or that it answered."""
        self.is_silent = False

    def note_refuses_connections(self) -> None:
        """Record that it refused a new connection while others are open."""
        self.refuses_connections = True

    def note_reachable(self) -> None:
        """Record that a connection could be made."""
        self.refuses_connections = False
        self._note_response()

    def _note_response(self) -> None:
        self.is_unreachable = False
        self.is_silent = False
        self._update_available_at()

    def forget_attempt_results(self) -> None:
        """Drop all but its backoff, rate limit and drain reports, as its record is removed."""
        self.missing_resources.clear()
        self.is_listed_draining = False
        self.refuses_connections = False
        self.note_complete_response()

    # Requests after a backoff.

    def has_capacity(self, in_flight: int, now_s: float) -> bool:
        """Whether the bounds after its last backoff allow one more request.

        Args:
            in_flight: Own requests that it has.
            now_s: Current monotonic time.
        """
        if self.max_probes is not None and self.probes >= self.max_probes:
            return False
        if self.shed_backoff_s == 0.0:
            return True
        allowed = self.max_in_flight(now_s)
        # A fractional bound is rounded down until a time as long as the backoff has passed since
        # its end, then up: all gateways regain the fraction at the same time.
        is_early = now_s < self.backoff_ends_at_s + self.shed_backoff_s
        return in_flight + 1.0 <= allowed if is_early else in_flight < allowed

    def max_in_flight(self, now_s: float) -> float:
        """Return how many own requests it may have after a backoff; infinite after full recovery.

        >>> known = Availability()
        >>> known.note_backoff(1.0, now_s=0.0, in_flight=11)
        True
        >>> [known.max_in_flight(now_s) for now_s in (1.0, 6.0, 11.0, 15.0)]
        [5.0, 7.5, 10.0, inf]
        """
        initial = max(1.0, self.in_flight_at_shed * LOAD_SHARE_AFTER_SHED)
        regained = max(1.0, self.in_flight_at_shed - initial)
        elapsed_backoffs = (now_s - self.backoff_ends_at_s) / self.shed_backoff_s
        allowed = initial + regained * elapsed_backoffs / RECOVERY_BACKOFFS
        return float("inf") if allowed >= self.in_flight_at_shed + 1.0 else round(allowed, 6)

    def begin_probe(self) -> bool:
        """Begin an attempt; return whether it is counted as a probe until `end_probe`."""
        if self.max_probes is None:
            return False
        self.probes += 1
        return True

    def end_probe(self) -> None:
        """End a probe: its response head has come, or the attempt has ended."""
        self.probes -= 1

    def note_accepted(self, sent_at_s: float) -> None:
        """Record that it accepted a request sent at `sent_at_s` instead of rejecting it."""
        if self.max_probes is None or sent_at_s < self.backoff_ends_at_s:
            return
        self.max_probes = None if self.max_probes >= MAX_PROBES else self.max_probes * 2
