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
FIRST_PAUSE_S = 0.3
LONGEST_PAUSE_S = 4.0

# After a rest a replica gets one request at a time, twice as many as each is taken in, and no
# bound once it took in so many: sent all at once, what had waited would make it shed again.
FIRST_TRIALS = 1
MOST_TRIALS = 16
# A replica that sheds has had too much, also of this process: it gets this share of what it had as
# it shed, and all of that again within so many times the rest that it cost.
SHED_SHARE = 0.5
REGROWTH_RESTS = 10.0
# No refused caller is told to come back later than this because of those before it under a limit:
# most of them give up before.
LONGEST_PROMISE_S = 10.0


class ExclusionReason(StrEnum):
    """Why a replica is not to be sent requests; the first that holds counts.

    Attributes:
        LEAVING: It said so in an answer.
        DRAINING: The directory says so.
        RESTING: It asked for rest in an answer.
        LIMITED: All gateways together have sent it what it takes by the limit that it names.
        UNREACHABLE: No connection could be made to it.
        BROKEN: It broke answers off; it is tried if nothing else is left.
    """

    LEAVING = "leaving"
    DRAINING = "draining"
    RESTING = "resting"
    LIMITED = "limited"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class Exclusion:
    """Why a replica is not to be sent requests, and until when.

    Attributes:
        why: Why.
        until_s: Clock until which; infinite where nobody can tell.
    """

    why: ExclusionReason
    until_s: float = float("inf")

    def left_s(self, now_s: float) -> float | None:
        """Return for how much longer, or None where nobody can tell.

        >>> Exclusion(ExclusionReason.RESTING, 5.0).left_s(3.0)
        2.0
        >>> Exclusion(ExclusionReason.LEAVING).left_s(3.0)
        """
        return None if math.isinf(self.until_s) else round(max(0.0, self.until_s - now_s), 2)


@dataclass(slots=True)
class Availability:
    """Whether one life of a replica may be sent requests. Clocks are those of the caller.

    Attributes:
        closed_until_s: Clock until which it is sent nothing, by all that follows but a pause after
            broken answers; infinite where nobody can tell. Choosing looks at nothing else.
        rest_until_s: Clock until which it wants nothing from this process.
        leaving_since_s: Clock when it first said that it leaves; None if it did not.
        sent_in_rest: Requests sent there since its present rest began.
        was_unreadable: Whether it has said something that could not be read.
        has_rested: Whether it ever asked for rest.
        most_trials: Requests without the head of an answer that it may have after a rest.
        trials: Those that it has.
        shed_level: Requests that it had of this process as it asked for rest last.
        shed_rest_s: The rest that it asked for then; 0 if it never did.
        is_draining: Whether the directory says that it leaves.
        is_unreachable: Whether no connection could be made to it at the last try.
        failures: Answers that it broke off, in a row.
        broken_until_s: Clock until which it is tried only if nothing else is left.
        lacks: Models and adapters that it said it does not hold.
        limit: The rate that it names.
        limited_until_s: Clock until which no request there is granted under that.
        patient_until_s: Clock until which none is granted that can wait.
        promised_s: Clock until which refused callers were told to come back under the limit.
        sent_under_limit: Requests sent there since it began to name a limit.

    >>> known = Availability()
    >>> known.note_rest(3.0, now_s=10.0), known.is_resting(12.9), known.is_resting(13.0)
    (True, True, False)
    >>> known.note_rest(0.5, now_s=10.2), known.rest_until_s
    (False, 13.0)
    >>> known.begin_trial(), known.has_room(0, 13.1), known.note_taken(sent_s=13.1)
    (True, False, None)
    >>> known.most_trials, known.has_room(0, 13.2)
    (2, True)
    """

    rest_until_s: float = float("-inf")
    leaving_since_s: float | None = None
    sent_in_rest: int = 0
    was_unreadable: bool = False
    has_rested: bool = False
    most_trials: int | None = None
    trials: int = 0
    shed_level: float = 0.0
    shed_rest_s: float = 0.0
    is_draining: bool = False
    is_unreachable: bool = False
    failures: int = 0
    broken_until_s: float = float("-inf")
    lacks: set[str] = field(default_factory=set)
    limit: AdvertisedLimit = field(default_factory=AdvertisedLimit)
    limited_until_s: float = float("-inf")
    patient_until_s: float = float("-inf")
    promised_s: float = float("-inf")
    sent_under_limit: int = 0
    closed_until_s: float = field(default=float("-inf"), init=False)

    def __post_init__(self) -> None:
        """Work out until when it is closed."""
        self._close()

    def _close(self) -> None:
        """Work out anew until when it is sent nothing."""
        is_shut = self.is_leaving or self.is_draining or self.is_unreachable
        self.closed_until_s = float("inf") if is_shut else self.opens_s

    @property
    def opens_s(self) -> float:
        """Clock when its rest is over and a request there may be granted."""
        return max(self.rest_until_s, self.limited_until_s)

    def opens_for_s(self, is_urgent: bool) -> float:
        """Return the clock when a request of a kind may be sent there again."""
        return self.opens_s if is_urgent else max(self.opens_s, self.patient_until_s)

    @property
    def is_shut(self) -> bool:
        """Whether it is sent nothing until somebody says otherwise."""
        return math.isinf(self.closed_until_s) and self.closed_until_s > 0.0

    def exclusion(self, now_s: float, is_urgent: bool = True) -> Exclusion | None:
        """Return why it is not to be sent requests now, and until when; None when it may be.

        Args:
            now_s: Clock.
            is_urgent: Whether the requests cannot wait.
        """
        if self.is_leaving:
            return Exclusion(ExclusionReason.LEAVING)
        if self.is_draining:
            return Exclusion(ExclusionReason.DRAINING)
        opens_s = self.opens_for_s(is_urgent)
        if now_s < opens_s:
            why = ExclusionReason.RESTING if self.is_resting(now_s) else ExclusionReason.LIMITED
            return Exclusion(why, opens_s)
        if self.is_unreachable:
            return Exclusion(ExclusionReason.UNREACHABLE)
        if now_s < self.broken_until_s:
            return Exclusion(ExclusionReason.BROKEN, self.broken_until_s)
        return None

    def is_sendable(self, now_s: float) -> bool:
        """Whether a request on an open connection may still go there, right before its bytes do."""
        return not self.is_leaving and not self.is_draining and not self.is_resting(now_s)

    # What the replica says.

    def is_resting(self, now_s: float) -> bool:
        """Whether it wants nothing from this process now."""
        return now_s < self.rest_until_s

    @property
    def is_leaving(self) -> bool:
        """Whether it said that it leaves."""
        return self.leaving_since_s is not None

    @property
    def says_anything(self) -> bool:
        """Whether there is anything to remember of this life."""
        return self.is_leaving or self.rest_until_s > float("-inf") or self.limit.per_s is not None

    def note_rest(self, rest_s: float, now_s: float, in_flight: int = 1) -> bool:
        """Take in that it asked for rest; return whether a rest begins with it.

        Args:
            rest_s: How long from now it wants nothing.
            now_s: Clock.
            in_flight: Own requests that it had, with the one that it turned away.
        """
        begins = not self.is_resting(now_s)
        if begins:
            self.sent_in_rest = 0
        if begins and in_flight > 1:
            # That the only request there is turned away does not say how many are too many.
            self.shed_level = in_flight - 1.0
            self.shed_rest_s = rest_s
        self.rest_until_s = max(self.rest_until_s, now_s + rest_s)
        self.most_trials = FIRST_TRIALS
        self.has_rested = True
        self._close()
        return begins

    def note_limit(self, per_s: float, now_s: float) -> bool:
        """Take in that an answer names a limit; return whether it is new, or another one."""
        if not self.limit.is_advertised:
            self.sent_under_limit = 0
        return self.limit.note(per_s, now_s)

    def close_for_limit(self, until_s: float, is_urgent: bool = True) -> None:
        """No request there is granted before a clock, or none that can wait."""
        if not is_urgent:
            self.patient_until_s = until_s
            return
        self.limited_until_s = until_s
        self._close()

    def promise_return_s(self, now_s: float, is_urgent: bool = True) -> float:
        """Return the clock when one more refused caller may come back under the limit.

        Each is told a later one: told the same, all would come at once to be refused again.

        >>> known = Availability()
        >>> known.note_limit(2.0, now_s=0.0), known.close_for_limit(1.0)
        (True, None)
        >>> [known.promise_return_s(0.0) for _ in range(3)]
        [1.0, 1.5, 2.0]
        """
        promised_s = min(self.promised_s, now_s + LONGEST_PROMISE_S)
        promised_s = max(self.opens_for_s(is_urgent), promised_s)
        self.promised_s = promised_s + 1.0 / self.limit.rate_per_s(now_s)
        return promised_s

    def note_leaving(self, now_s: float) -> bool:
        """Take in that it leaves; return whether that is new."""
        is_new = self.leaving_since_s is None
        if is_new:
            self.leaving_since_s = now_s
            self._close()
        return is_new

    # What others say, and what calls show.

    def list_as(self, is_draining: bool) -> None:
        """Take in what the directory says."""
        self.is_draining = is_draining
        self._close()

    def note_lacking(self, resource: str) -> None:
        """It said that it does not hold a model or an adapter; believed until the next push."""
        self.lacks.add(resource)

    def note_whole(self) -> None:
        """An answer came whole: it can be reached, and breaks off no more."""
        self.failures = 0
        self.broken_until_s = float("-inf")
        self.note_reachable()

    def note_break(self, now_s: float) -> None:
        """It could not be reached, or broke an answer off.

        >>> known = Availability()
        >>> known.note_break(1.0), known.note_break(1.0), round(known.broken_until_s, 2)
        (None, None, 1.6)
        """
        self.failures += 1
        pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2.0 ** (self.failures - 1))
        self.broken_until_s = now_s + pause_s

    def note_unreachable(self) -> None:
        """No connection could be made."""
        self.is_unreachable = True
        self._close()

    def note_reachable(self) -> None:
        """A connection could be made."""
        self.is_unreachable = False
        self._close()

    def forget_calls(self) -> None:
        """Its record ends: what calls have shown ends with it, unlike what it said."""
        self.lacks.clear()
        self.is_draining = False
        self.note_whole()

    # The requests after a rest.

    def has_room(self, in_flight: int, now_s: float) -> bool:
        """Whether it may be sent one more request, as far as its last rest is concerned.

        Args:
            in_flight: Own requests that it has.
            now_s: Clock.
        """
        if self.most_trials is not None and self.trials >= self.most_trials:
            return False
        if self.shed_rest_s == 0.0:
            return True
        most = self.most_in_flight(now_s)
        # A part of a request lets a whole one go, but not before it was calm for as long as a rest:
        # all gateways regain that part at the same time.
        is_early = now_s < self.rest_until_s + self.shed_rest_s
        return in_flight + 1.0 <= most if is_early else in_flight < most

    def most_in_flight(self, now_s: float) -> float:
        """Return how many own requests it may have after a rest; infinite once that is long ago.

        >>> known = Availability()
        >>> known.note_rest(1.0, now_s=0.0, in_flight=11)
        True
        >>> [known.most_in_flight(now_s) for now_s in (1.0, 6.0, 11.0, 15.0)]
        [5.0, 7.5, 10.0, inf]
        """
        least = max(1.0, self.shed_level * SHED_SHARE)
        regained = max(1.0, self.shed_level - least)
        calm_rests = (now_s - self.rest_until_s) / self.shed_rest_s
        most = least + regained * calm_rests / REGROWTH_RESTS
        return float("inf") if most >= self.shed_level + 1.0 else round(most, 6)

    def begin_trial(self) -> bool:
        """A sending begins; return whether it is counted, until `end_trial`."""
        if self.most_trials is None:
            return False
        self.trials += 1
        return True

    def end_trial(self) -> None:
        """The head of the answer to a counted sending has come, or its end."""
        self.trials -= 1

    def note_taken(self, sent_s: float) -> None:
        """It took in a request that was sent at a clock, in place of turning it away."""
        if self.most_trials is None or sent_s < self.rest_until_s:
            return
        self.most_trials = None if self.most_trials >= MOST_TRIALS else self.most_trials * 2
