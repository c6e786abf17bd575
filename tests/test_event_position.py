"""The position in an event stream, for any line ends and any pieces."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowsill.gateway.event_position import EventPosition

PARTS = [b"\n", b"\r", b"\r\n", b":", b": c", b"data: x", b"id", "größer".encode(), b"\xef\xbb\xbf"]


def position_after(*pieces):
    position = EventPosition()
    for piece in pieces:
        position.feed(piece)
    return position


@given(st.lists(st.sampled_from(PARTS), max_size=12), st.data())
def test_pieces_do_not_change_the_position(parts, data):
    body = b"".join(parts)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(body)), max_size=6)))
    pieces = [body[start:end] for start, end in zip([0, *cuts], [*cuts, len(body)], strict=True)]
    in_pieces, at_once = position_after(*pieces), position_after(body)
    assert in_pieces.has_event == at_once.has_event
    assert in_pieces.is_inside_event == at_once.is_inside_event


@given(st.sampled_from([b"\n", b"\r", b"\r\n"]), st.integers(1, 4), st.data())
def test_only_the_end_of_an_event_is_outside_an_event(line_end, events, data):
    event = line_end.join([b"id: 1", b": a comment", b"data: x", b"data: y", b"", b""])
    body = event * events
    size = data.draw(st.integers(1, len(body)))
    position = position_after(body[:size])
    assert position.is_inside_event == (size % len(event) != 0)
    assert position.has_event == (size >= len(event) - len(line_end) + 1)


@pytest.mark.parametrize(
    ("body", "has_event", "is_inside_event"),
    [
        (b"", False, False),
        (b"\xef\xbb\xbf", False, False),
        (b"\xef\xbb", False, True),
        (b"\xef\xbb\xbfdata: x\n\n", True, False),
        (b"data: x\n\n: keep-alive\n", True, False),
        (b"data: x\n\n: keep-a", True, True),
        (b"data: x\r\n\n", True, False),
        (b"data: x\n\r\n", True, False),
        (b"data: x\n\n\n\n", True, False),
        (b"data: x\r\n\r", True, True),
        (b"\n\n: only a comment\n\n", False, False),
        (b"event: ping\n\n", True, False),
        (b"data: x\n\ndata: y\n", True, True),
    ],
)
def test_position_at_the_end(body, has_event, is_inside_event):
    position = position_after(body)
    assert (position.has_event, position.is_inside_event) == (has_event, is_inside_event)
