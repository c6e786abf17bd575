"""Where the bytes of an event stream (`text/event-stream`) end: between two events or inside one.

Lines end with LF, CRLF or CR, and an empty line ends an event, as defined in the HTML Standard,
section 9.2 "Server-sent events".
"""

import re

_BYTE_ORDER_MARK = b"\xef\xbb\xbf"
_COMMENT = ord(":")
_LINE_ENDS = (b"\r\n", b"\n", b"\r")
_EVENT_ID = re.compile(rb"^id: ?([^\r\n]*)\r?$", re.MULTILINE)
# Event ids in log lines are cut off after this many bytes.
_MAX_LOGGED_ID_BYTES = 24


class EventPosition:
    r"""The position at the end of the bytes received so far, in pieces of any size.

    >>> position = EventPosition()
    >>> position.feed(b"data: 1\n\ndata: 2")
    >>> position.has_event, position.is_inside_event
    (True, True)
    >>> position.feed(b"\n\n")
    >>> position.is_inside_event
    False

    Attributes:
        has_event: Whether at least one event is complete.
    """

    def __init__(self) -> None:
        self.has_event = False
        self._has_fields = False
        self._is_line_empty = True
        self._is_comment = False
        self._line_end = b""
        self._previous_line_end = b""
        self._expected_mark = _BYTE_ORDER_MARK

    @property
    def is_inside_event(self) -> bool:
        """Whether a line or an event has begun and is not complete."""
        # After lines that end with CRLF, a final CR lacks its LF.
        lacks_lf = self._line_end == b"\r" and self._previous_line_end == b"\r\n"
        is_inside_mark = 0 < len(self._expected_mark) < len(_BYTE_ORDER_MARK)
        return self._has_fields or not self._is_line_empty or lacks_lf or is_inside_mark

    def feed(self, data: bytes) -> None:
        """Continue with a piece of the stream."""
        if self.has_event and data.endswith((b"\n\n", b"\r\n\r\n")):
            # Most pieces are whole events. An empty line at the end decides, whatever precedes it.
            self._start_block()
            self._line_end = self._previous_line_end = b"\r\n" if data[-2:-1] == b"\r" else b"\n"
            return
        if self._expected_mark:
            data = self._skip_byte_order_mark(data)
        if self._line_end == b"\r" and self._is_line_empty and data.startswith(b"\n"):
            self._line_end = b"\r\n"
            data = data[1:]
        for line in data.splitlines(keepends=True):
            self._feed_line(line)

    def _skip_byte_order_mark(self, data: bytes) -> bytes:
        """Return the data without the part of a leading byte order mark that it begins with."""
        expected = self._expected_mark
        size = min(len(expected), len(data))
        if data[:size] == expected[:size]:
            self._expected_mark = expected[size:]
            return data[size:]
        if expected != _BYTE_ORDER_MARK:
            # The bytes that were skipped begin a line.
            self._is_line_empty = False
        self._expected_mark = b""
        return data

    def _feed_line(self, line: bytes) -> None:
        """Continue with a part of one line, with its line end if the line is complete."""
        line_end = next((end for end in _LINE_ENDS if line.endswith(end)), b"")
        if len(line) > len(line_end):
            if self._is_line_empty:
                self._is_comment = line[0] == _COMMENT
            self._is_line_empty = False
        if not line_end:
            return
        if self._is_line_empty:
            self.has_event = self.has_event or self._has_fields
            self._start_block()
        else:
            self._has_fields = self._has_fields or not self._is_comment
        self._is_line_empty = True
        self._previous_line_end, self._line_end = self._line_end, line_end

    def _start_block(self) -> None:
        self._has_fields = False
        self._is_line_empty = True


def first_event_id(data: bytes) -> str:
    r"""Return the first event id in a piece of an event stream, for the log; empty without one.

    >>> first_event_id(b"id: 3\ndata: x\n\nid: 4\ndata: y\n\n"), first_event_id(b"data: x\n\n")
    ('3', '')
    """
    match = _EVENT_ID.search(data)
    return "" if match is None else match[1][:_MAX_LOGGED_ID_BYTES].decode("latin-1")


def last_event_id(data: bytes) -> str:
    r"""Return the last event id in a piece of an event stream, for the log; empty without one.

    >>> last_event_id(b"id: 3\r\ndata: x\r\n\r\nid:4\r\ndata: y\r\n\r\n")
    '4'
    """
    found = _EVENT_ID.findall(data)
    return found[-1][:_MAX_LOGGED_ID_BYTES].decode("latin-1") if found else ""
