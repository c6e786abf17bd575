"""Records the streams that callers of a soak resume, and what must never happen to them."""

from collections import Counter
from dataclasses import dataclass, field

# Number of events of each stream; they are numbered from 1.
EVENTS = 15


@dataclass(slots=True)
class ResumedStream:
    """One stream as its caller received it.

    Attributes:
        service: Service that the stream belongs to.
        events: Number and software version of each event.
        began: Id of the request that brought the first event; empty before it came.
        tries: Gateway, status and number of events after each try.
        ended: Whether a try ended it as complete.
    """

    service: str
    events: list[tuple[int, str]] = field(default_factory=list)
    began: str = ""
    tries: list[tuple[str, int, int]] = field(default_factory=list)
    ended: bool = False

    def faults(self) -> list[str]:
        """Return what is wrong with what was received so far.

        >>> ResumedStream("s", [(1, "a"), (2, "a")]).faults()
        []
        >>> ResumedStream("s", [(1, "a"), (2, "b")]).faults()
        ['events of several software versions']
        >>> ResumedStream("s", [(1, "a"), (1, "a"), (3, "a")]).faults()
        ['events are missing or came twice']
        >>> ResumedStream("s", [(1, "a")], ended=True).faults()
        ['ended as complete before its last event']
        """
        found = []
        if len({version for _, version in self.events}) > 1:
            found.append("events of several software versions")
        if [number for number, _ in self.events] != list(range(1, len(self.events) + 1)):
            found.append("events are missing or came twice")
        if self.ended and len(self.events) < EVENTS:
            found.append("ended as complete before its last event")
        return found

    def text(self) -> str:
        """Return it as printed in a report."""
        events = " ".join(f"{number}:{version}" for number, version in self.events)
        return f"{self.service} {self.began}, events {events}, tries {self.tries}"


@dataclass(slots=True)
class StreamLedger:
    """All streams that callers resume.

    Attributes:
        begun: Number of streams with a first event.
        resumed: Number of streams that were resumed.
        continued: Number of those that went on.
        resumed_out_of_step: Number of tries to resume a stream at a gateway that was out of step.
        continued_out_of_step: Number of those tries that brought events.
        complete: Number of streams that were received whole.
        begun_by: Number of streams that each software version of each service began.
    """

    begun: int = 0
    resumed: int = 0
    continued: int = 0
    resumed_out_of_step: int = 0
    continued_out_of_step: int = 0
    complete: int = 0
    begun_by: Counter[tuple[str, str]] = field(default_factory=Counter)

    def note_try(self, stream: ResumedStream, events_before: int, is_out_of_step: bool) -> None:
        """Record a try.

        Args:
            stream: The stream after the try.
            events_before: Number of its events before the try.
            is_out_of_step: Whether its gateway was out of step.
        """
        if not events_before or not is_out_of_step:
            return
        self.resumed_out_of_step += 1
        self.continued_out_of_step += len(stream.events) > events_before

    def note_first_event(self, stream: ResumedStream) -> None:
        """Record that a stream has begun."""
        self.begun += 1
        self.begun_by[stream.service, stream.events[0][1]] += 1

    def note_stream(self, stream: ResumedStream) -> None:
        """Record a stream that its caller no longer resumes."""
        first = next((index for index, item in enumerate(stream.tries) if item[2]), None)
        if first is None:
            return
        later = stream.tries[first + 1 :]
        self.resumed += bool(later)
        self.continued += bool(later) and later[-1][2] > stream.tries[first][2]
        self.complete += stream.ended

    def text(self) -> str:
        """Return it as printed in a report."""
        versions = len(self.begun_by)
        return (
            f"{self.begun} begun by {versions} versions of services, {self.resumed} resumed, "
            f"{self.continued} of them went on, {self.complete} whole; at gateways out of step "
            f"{self.continued_out_of_step} of {self.resumed_out_of_step} tries brought events"
        )
