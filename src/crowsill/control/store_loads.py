"""Loads from the weight store that leaders recorded, as one member applied them. Pure.

The store allows a number of loads in any sliding window, across leaders. A leader commits a record
before it orders a load, so a successor that has applied all records of its predecessors knows each
load that may have begun, and until when: a record that is older is renewed before the order is sent
again. A member that has just started, or that was given a snapshot, lacks the times
of earlier records and knows nothing of the window until it has passed.
"""

from collections import deque

from crowsill.state.commands import RecordStoreLoad

# Time after its record in which a load may begin, in seconds.
RECORDED_LOAD_LIFETIME_S = 2.0
# Age at which a record is renewed before the order is sent again: an order, and the response to it,
# take less than the rest of the lifetime.
RECORD_RENEWAL_S = 1.0
# More than the store starts in any window.
MAX_RECORDED_LOADS = 4000


class StoreLoadLog:
    """The recorded loads of one member, with the monotonic time at which each was applied.

    >>> log = StoreLoadLog(now_s=0.0)
    >>> log.note(RecordStoreLoad("s"), now_s=3.0)
    >>> log.since("s", 2.0), log.since("s", 5.5), log.since("s", 1.5)
    ([5.0], [], None)
    """

    def __init__(self, now_s: float) -> None:
        """Create the log of a member that starts now."""
        self._complete_since_s = now_s
        self._loads: deque[tuple[float, str]] = deque()

    def note(self, record: RecordStoreLoad, now_s: float) -> None:
        """Note that a record was applied."""
        self._loads.append((now_s, record.service))
        if len(self._loads) > MAX_RECORDED_LOADS:
            self._complete_since_s, _ = self._loads.popleft()

    def note_restored(self, now_s: float) -> None:
        """Note that a snapshot replaced the state: the records in it were not applied here."""
        self._complete_since_s = now_s

    def since(self, service: str, since_s: float) -> list[float] | None:
        """Return the latest start of each load of a service that may have begun since a time.

        Returns:
            Monotonic times in seconds; None if this member does not know all of them.
        """
        recorded_since_s = since_s - RECORDED_LOAD_LIFETIME_S
        if recorded_since_s < self._complete_since_s:
            return None
        return [
            at_s + RECORDED_LOAD_LIFETIME_S
            for at_s, name in self._loads
            if name == service and at_s >= recorded_since_s
        ]
