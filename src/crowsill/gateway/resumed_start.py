"""Checks that a resumed stream begins after the last event that its caller received.

Only whole numbers are compared: event ids of other kinds have no order.
"""

import re

from crowsill.gateway.event_position import EventPosition

_COMPLETE_EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)[\r\n]")
# A first event that is larger is relayed unchecked.
MAX_HELD_BYTES = 64 * 1024
MAX_ID_DIGITS = 18


def _read_event_id(text: bytes) -> int | None:
    """Return an event id as a number; None if it is none.

    >>> _read_event_id(b"12"), _read_event_id(b"a-1"), _read_event_id(b"")
    (12, None, None)
    """
    return int(text) if text.isdigit() and len(text) <= MAX_ID_DIGITS else None


class ResumedStart:
    r"""Holds the first bytes of a resumed stream until the id of its first event is known.

    >>> start = ResumedStart(b"2")
    >>> start.feed(b"id: 3"), start.feed(b"\ndata: x\n")
    (b'', b'id: 3\ndata: x\n')
    >>> repeated = ResumedStart(b"2")
    >>> repeated.feed(b"id: 2\ndata: x\n\n"), repeated.is_repeated
    (b'', True)

    Attributes:
        is_repeated: Whether the first event is one that the caller has.
    """

    def __init__(self, last_event_id: bytes) -> None:
        """Create it for a stream that is resumed after an event."""
        self.is_repeated = False
        self._last_id = _read_event_id(last_event_id.strip())
        self._position = EventPosition()
        self._held = b""
        self._is_checked = self._last_id is None

    def feed(self, data: bytes) -> bytes:
        """Continue with a piece of the stream; return what may be relayed now."""
        if self._is_checked:
            return data
        self._held += data
        self._position.feed(data)
        found = _COMPLETE_EVENT_ID.search(self._held)
        if found is not None:
            first_id = _read_event_id(found[1])
            if first_id is not None and self._last_id is not None and first_id <= self._last_id:
                self.is_repeated = True
                return b""
        elif not self._position.has_event and len(self._held) <= MAX_HELD_BYTES:
            return b""
        return self.release()

    def release(self) -> bytes:
        """Return what is still held; all that follows is relayed."""
        self._is_checked = True
        held, self._held = self._held, b""
        return held
