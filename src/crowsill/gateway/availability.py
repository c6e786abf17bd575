"""What keeps a replica from being sent requests, by whoever's word. Pure.

One life of a replica has one such state. What it said of itself outlasts its record: a push of the
directory, or a snapshot, says less than the replica. A rest is a bound, not advice: no whole answer
to an earlier request and no lack of another replica ends it before its time. What calls have shown
is advice where a replica broke answers off, and a bound where no connection could be made.
"""

import math
from dataclasses import dataclass, field
from enum import StrEnum

from crowsill.routing.advertised_limit import AdvertisedLimit

# After a broken answer a replica is tried only if nothing else is left, for so long; twice as long
# after each further one in a row.
INITIAL_FAILURE_PAUSE_S = 0.3
MAX_FAILURE_PAUSE_S = 4.0

# After a rest a replica gets one request at a time, twice as many as each is taken in, and no
# bound once it took in so many: sent all at once, what had waited would make it shed again.
INITIAL_PROBES = 1
MAX_PROBES = 16
# A replica that sheds has had too much, also of this process: it gets this share of what it had as
# it shed, and all of that again within so many times the rest that it cost.
LOAD_SHARE_AFTER_SHED = 0.5
RECOVERY_BACKOFFS = 10.0
# No refused caller is told to come back later than this because of those before it under a limit:
# most of them give up before.
MAX_LIMIT_RETRY_AFTER_S = 10.0


class ExclusionReason(StrEnum):
    """Why a replica is not to be sent requests; the first that holds counts.

    Attributes:
        REPORTED_DRAINING: It said so in an answer.
        LISTED_DRAINING: The directory says so.
        BACKING_OFF: It asked for rest in an answer.
        RATE_LIMITED: All gateways together have sent it what it takes by the limit that it names.
        UNREACHABLE: No connection could be made to it.
        FAILING: It broke answers off; it is tried if nothing else is left.
    """

    REPORTED_DRAINING = "leaving"
    LISTED_DRAINING = "draining"
    BACKING_OFF = "resting"
    RATE_LIMITED = "limited"
    UNREACHABLE = "unreachable"
    FAILING = "broken"


@dataclass(frozen=True, slots=True)
class Exclusion:
    """Why a replica is not to be sent requests, and until when.

    Attributes:
        reason: Why.
        ends_at_s: Clock until which; infinite where nobody can tell.
    """

    reason: ExclusionReason
    ends_at_s: float = float("inf")

    def remaining_s(self, now_s: float) -> float | None:
        """Return for how much longer, or None where nobody can tell.

        >>> Exclusion(ExclusionReason.BACKING_OFF, 5.0).remaining_s(3.0)
        2.0
        >>> Exclusion(ExclusionReason.REPORTED_DRAINING).remaining_s(3.0)
        """
        return None if math.isinf(self.ends_at_s) else round(max(0.0, self.ends_at_s - now_s), 2)


@dataclass(slots=True)
class Availability:
    """Whether one life of a replica may be sent requests. Clocks are those of the caller.

    Attributes:
        available_at_s: Clock until which it is sent nothing, by all that follows but a pause after
            broken answers; infinite where nobody can tell. Choosing looks at nothing else.
        backoff_ends_at_s: Clock until which it wants nothing from this process.
        drain_reported_at_s: Clock when it first said that it leaves; None if it did not.
        sent_in_backoff: Requests sent there since its present rest began.
        had_unreadable_signal: Whether it has said something that could not be read.
        has_backed_off: Whether it ever asked for rest.
        max_probes: Requests without the head of an answer that it may have after a rest.
        probes: Those that it has.
        in_flight_at_shed: Requests that it had of this process as it asked for rest last.
        shed_backoff_s: The rest that it asked for then; 0 if it never did.
        is_listed_draining: Whether the directory says that it leaves.
        is_unreachable: Whether no connection could be made to it at the last try.
        failures: Answers that it broke off, in a row.
        failure_pause_ends_at_s: Clock until which it is tried only if nothing else is left.
        missing_resources: Models and adapters that it said it does not hold.
        limit: The rate that it names.
        limit_opens_at_s: Clock until which no request there is granted under that.
        non_urgent_opens_at_s: Clock until which none is granted that can wait.
        next_return_at_s: Clock until which refused callers were told to come back under the limit.
        sent_under_limit: Requests sent there since it began to name a limit.

    >>> known = Availability()
    >>> known.note_backoff(3.0, now_s=10.0), known.is_backing_off(12.9), known.is_backing_off(13.0)
    (True, True, False)
    >>> known.note_backoff(0.5, now_s=10.2), known.backoff_ends_at_s
    (False, 13.0)
    >>> known.begin_probe(), known.has_capacity(0, 13.1), known.note_accepted(sent_s=13.1)
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
    failures: int = 0
    failure_pause_ends_at_s: float = float("-inf")
    missing_resources: set[str] = field(default_factory=set)
    limit: AdvertisedLimit = field(default_factory=AdvertisedLimit)
    limit_opens_at_s: float = float("-inf")
    non_urgent_opens_at_s: float = float("-inf")
    next_return_at_s: float = float("-inf")
    sent_under_limit: int = 0
    available_at_s: float = field(default=float("-inf"), init=False)

    def __post_init__(self) -> None:
        """Work out until when it is closed."""
        self._update_available_at()

    def _update_available_at(self) -> None:
        """Work out anew until when it is sent nothing."""
        is_closed_indefinitely = (
            self.has_reported_draining or self.is_listed_draining or self.is_unreachable
        )
        self.available_at_s = float("inf") if is_closed_indefinitely else self.urgent_opens_at_s

    @property
    def urgent_opens_at_s(self) -> float:
        """Clock when its rest is over and a request there may be granted."""
        return max(self.backoff_ends_at_s, self.limit_opens_at_s)

    def opens_at_s(self, is_urgent: bool) -> float:
        """Return the clock when a request of a kind may be sent there again."""
        return (
            self.urgent_opens_at_s
            if is_urgent
            else max(self.urgent_opens_at_s, self.non_urgent_opens_at_s)
        )

    @property
    def is_closed_indefinitely(self) -> bool:
        """Whether it is sent nothing until somebody says otherwise."""
        return math.isinf(self.available_at_s) and self.available_at_s > 0.0

    def exclusion(self, now_s: float, is_urgent: bool = True) -> Exclusion | None:
        """Return why it is not to be sent requests now, and until when; None when it may be.

        Args:
            now_s: Clock.
            is_urgent: Whether the requests cannot wait.
        """
        if self.has_reported_draining:
            return Exclusion(ExclusionReason.REPORTED_DRAINING)
        if self.is_listed_draining:
            return Exclusion(ExclusionReason.LISTED_DRAINING)
        urgent_opens_at_s = self.opens_at_s(is_urgent)
        if now_s < urgent_opens_at_s:
            reason = (
                ExclusionReason.BACKING_OFF
                if self.is_backing_off(now_s)
                else ExclusionReason.RATE_LIMITED
            )
            return Exclusion(reason, urgent_opens_at_s)
        if self.is_unreachable:
            return Exclusion(ExclusionReason.UNREACHABLE)
        if now_s < self.failure_pause_ends_at_s:
            return Exclusion(ExclusionReason.FAILING, self.failure_pause_ends_at_s)
        return None

    def accepts_on_open_connection(self, now_s: float) -> bool:
        """Whether a request on an open connection may still go there, right before its bytes do."""
        return (
            not self.has_reported_draining
            and not self.is_listed_draining
            and not self.is_backing_off(now_s)
        )

    # What the replica says.

    def is_backing_off(self, now_s: float) -> bool:
        """Whether it wants nothing from this process now."""
        return now_s < self.backoff_ends_at_s

    @property
    def has_reported_draining(self) -> bool:
        """Whether it said that it leaves."""
        return self.drain_reported_at_s is not None

    @property
    def has_reported_state(self) -> bool:
        """Whether there is anything to remember of this life."""
        return (
            self.has_reported_draining
            or self.backoff_ends_at_s > float("-inf")
            or self.limit.per_s is not None
        )

    def note_backoff(self, backoff_s: float, now_s: float, in_flight: int = 1) -> bool:
        """Take in that it asked for rest; return whether a rest begins with it.

        Args:
            backoff_s: How long from now it wants nothing.
            now_s: Clock.
            in_flight: Own requests that it had, with the one that it turned away.
        """
        begins = not self.is_backing_off(now_s)
        if begins:
            self.sent_in_backoff = 0
        if begins and in_flight > 1:
            # That the only request there is turned away does not say how many are too many.
            self.in_flight_at_shed = in_flight - 1.0
            self.shed_backoff_s = backoff_s
        self.backoff_ends_at_s = max(self.backoff_ends_at_s, now_s + backoff_s)
        self.max_probes = INITIAL_PROBES
        self.has_backed_off = True
        self._update_available_at()
        return begins

    def note_limit(self, per_s: float, now_s: float) -> bool:
        """Take in that an answer names a limit; return whether it is new, or another one."""
        if not self.limit.is_advertised:
            self.sent_under_limit = 0
        return self.limit.note(per_s, now_s)

    def close_for_limit(self, ends_at_s: float, is_urgent: bool = True) -> None:
        """No request there is granted before a clock, or none that can wait."""
        if not is_urgent:
            self.non_urgent_opens_at_s = ends_at_s
            return
        self.limit_opens_at_s = ends_at_s
        self._update_available_at()

    def reserve_return_at_s(self, now_s: float, is_urgent: bool = True) -> float:
        """Return the clock when one more refused caller may come back under the limit.

        Each is told a later one: told the same, all would come at once to be refused again.

        >>> known = Availability()
        >>> known.note_limit(2.0, now_s=0.0), known.close_for_limit(1.0)
        (True, None)
        >>> [known.reserve_return_at_s(0.0) for _ in range(3)]
        [1.0, 1.5, 2.0]
        """
        return_at_s = min(self.next_return_at_s, now_s + MAX_LIMIT_RETRY_AFTER_S)
        return_at_s = max(self.opens_at_s(is_urgent), return_at_s)
        self.next_return_at_s = return_at_s + 1.0 / self.limit.rate_per_s(now_s)
        return return_at_s

    def note_draining(self, now_s: float) -> bool:
        """Take in that it leaves; return whether that is new."""
        is_new = self.drain_reported_at_s is None
        if is_new:
            self.drain_reported_at_s = now_s
            self._update_available_at()
        return is_new

    # What others say, and what calls show.

    def note_listing(self, is_listed_draining: bool) -> None:
        """Take in what the directory says."""
        self.is_listed_draining = is_listed_draining
        self._update_available_at()

    def note_missing(self, resource: str) -> None:
        """It said that it does not hold a model or an adapter; believed until the next push."""
        self.missing_resources.add(resource)

    def note_complete_response(self) -> None:
        """An answer came whole: it can be reached, and breaks off no more."""
        self.failures = 0
        self.failure_pause_ends_at_s = float("-inf")
        self.note_reachable()

    def note_failure(self, now_s: float) -> None:
        """It could not be reached, or broke an answer off.

        >>> known = Availability()
        >>> known.note_failure(1.0), known.note_failure(1.0)
        (None, None)
        >>> round(known.failure_pause_ends_at_s, 2)
        1.6
        """
        self.failures += 1
        pause_s = min(MAX_FAILURE_PAUSE_S, INITIAL_FAILURE_PAUSE_S * 2.0 ** (self.failures - 1))
        self.failure_pause_ends_at_s = now_s + pause_s

    def note_unreachable(self) -> None:
        """No connection could be made."""
        self.is_unreachable = True
        self._update_available_at()

    def note_reachable(self) -> None:
        """A connection could be made."""
        self.is_unreachable = False
        self._update_available_at()

    def forget_call_results(self) -> None:
        """Its record ends: what calls have shown ends with it, unlike what it said."""
        self.missing_resources.clear()
        self.is_listed_draining = False
        self.note_complete_response()

    # The requests after a rest.

    def has_capacity(self, in_flight: int, now_s: float) -> bool:
        """Whether it may be sent one more request, as far as its last rest is concerned.

        Args:
            in_flight: Own requests that it has.
            now_s: Clock.
        """
        if self.max_probes is not None and self.probes >= self.max_probes:
            return False
        if self.shed_backoff_s == 0.0:
            return True
        most = self.max_in_flight(now_s)
        # A part of a request lets a whole one go, but not before it was calm for as long as a rest:
        # all gateways regain that part at the same time.
        is_early = now_s < self.backoff_ends_at_s + self.shed_backoff_s
        return in_flight + 1.0 <= most if is_early else in_flight < most

    def max_in_flight(self, now_s: float) -> float:
        """Return how many own requests it may have after a rest; infinite once that is long ago.

        >>> known = Availability()
        >>> known.note_backoff(1.0, now_s=0.0, in_flight=11)
        True
        >>> [known.max_in_flight(now_s) for now_s in (1.0, 6.0, 11.0, 15.0)]
        [5.0, 7.5, 10.0, inf]
        """
        least = max(1.0, self.in_flight_at_shed * LOAD_SHARE_AFTER_SHED)
        regained = max(1.0, self.in_flight_at_shed - least)
        calm_rests = (now_s - self.backoff_ends_at_s) / self.shed_backoff_s
        most = least + regained * calm_rests / RECOVERY_BACKOFFS
        return float("inf") if most >= self.in_flight_at_shed + 1.0 else round(most, 6)

    def begin_probe(self) -> bool:
        """A sending begins; return whether it is counted, until `end_probe`."""
        if self.max_probes is None:
            return False
        self.probes += 1
        return True

    def end_probe(self) -> None:
        """The head of the answer to a counted sending has come, or its end."""
        self.probes -= 1

    def note_accepted(self, sent_s: float) -> None:
        """It took in a request that was sent at a clock, in place of turning it away."""
        if self.max_probes is None or sent_s < self.backoff_ends_at_s:
            return
        self.max_probes = None if self.max_probes >= MAX_PROBES else self.max_probes * 2
