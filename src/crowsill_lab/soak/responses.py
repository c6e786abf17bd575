"""How replicas of a soak send responses: framed in each way, in pieces, and broken off.

A replica can crash between two pieces. Callers must never take a part of a response for the whole.
"""

import asyncio
import socket
import struct
from dataclasses import dataclass
from enum import StrEnum
from random import Random

STREAM_PATH = "/stream/"
MAX_EVENTS = 8
MAX_EVENT_PAUSE_S = 0.06
MAX_PIECE_PAUSE_S = 0.02
BROKEN_SHARE = 0.3
LINE_ENDS = (b"\n", b"\r\n", b"\r")
EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
# A plain response is usually framed by its length.
FRAMED_BY_LENGTH_SHARE = 0.7


class BodyFraming(StrEnum):
    """What ends a body: its length, the last chunk, or the end of the connection."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class Body:
    """A body as it is sent.

    Attributes:
        content: The whole body.
        framing: What ends it.
        sizes: Where it is cut into pieces, ascending, without its ends.
        max_pause_s: Longest pause after a piece in seconds.
        sent_size: Number of bytes that are sent before the replica breaks off.
        is_reset: Whether it then resets the connection; otherwise it closes it.
    """

    content: bytes
    framing: BodyFraming
    sizes: list[int]
    max_pause_s: float
    sent_size: int
    is_reset: bool = False

    @property
    def is_broken(self) -> bool:
        """Whether the replica breaks it off."""
        return self.sent_size < len(self.content)

    def head_lines(self) -> list[str]:
        """Return the header lines of its framing."""
        if self.framing is BodyFraming.LENGTH:
            return [f"Content-Length: {len(self.content)}"]
        return ["Transfer-Encoding: chunked"] if self.framing is BodyFraming.CHUNKS else []

    async def send(self, writer: asyncio.StreamWriter, random: Random) -> bool:
        """Send it after its head; return whether the connection stays open."""
        cuts = [size for size in self.sizes if size < self.sent_size]
        for start, end in zip([0, *cuts], [*cuts, self.sent_size], strict=True):
            if writer.transport.is_closing():
                return False
            if start == end:
                continue
            piece = self.content[start:end]
            is_chunked = self.framing is BodyFraming.CHUNKS
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece) if is_chunked else piece)
            await asyncio.sleep(random.random() * self.max_pause_s)
        if self.is_broken and self.is_reset:
            reset(writer)
        if self.is_broken or writer.transport.is_closing():
            return False
        if self.framing is BodyFraming.CHUNKS:
            writer.write(b"0\r\n\r\n")
        return self.framing is not BodyFraming.CLOSE


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, unless it has ended."""
    if writer.transport.is_closing():
        return
    linger = struct.pack("ii", 1, 0)
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


# Starts of responses that are none, and the piece that follows without end.
ENDLESS_RESPONSES = (
    (b"HTTP/1.1 200 S\r\n", b"A: 1\r\n" * 4096),
    (b"HTTP/1.1 200 S\r\nA: ", b"x" * 65536),
    (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1024),
    (b"HTTP/1.1 200 S\r\nTransfer-Encoding: chunked\r\n\r\n", b"400\r\n%s\r\n" % (b"y" * 1024)),
    (b"HTTP/1.1 500 S\r\n\r\n", b"z" * 65536),
    (b"HTTP/1.1 200 S\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"A: 1\r\n" * 4096),
)
ENDLESS_SHARE = 0.01
# More than the buffers of a connection hold.
MAX_ENDLESS_BYTES = 32 * 1024 * 1024


async def send_endless(writer: asyncio.StreamWriter, random: Random) -> bool:
    """Send bytes that are no response; return whether all `MAX_ENDLESS_BYTES` were taken."""
    first, piece = random.choice(ENDLESS_RESPONSES)
    writer.write(first)
    for _ in range(MAX_ENDLESS_BYTES // len(piece)):
        if writer.transport.is_closing():
            return False
        writer.write(piece)
        try:
            await writer.drain()
        except ConnectionError:
            return False
    return True


def response_body(request_id: str, body: bytes) -> bytes:
    """Return the body of the plain response to a request.

    >>> response_body("r1", b"x")
    b'r1:x'
    """
    return request_id.encode() + b":" + body


def stream_body(request_id: str) -> bytes:
    r"""Return the event stream that responds to a request.

    >>> stream_body("06")
    b'id: 0\ndata: 06\n\nid: 1\ndata: 06\n\n'
    """
    number = int(request_id, 16)
    line_end = LINE_ENDS[number % len(LINE_ENDS)]
    events = number // len(LINE_ENDS) % MAX_EVENTS
    lines = [
        line
        for event in range(max(1, events))
        for line in (b"id: %d" % event, b"data: " + request_id.encode(), b"")
    ]
    return line_end.join([*lines, b""])


def draw_plain(content: bytes, random: Random) -> Body:
    """Return a plain response; it may be sent in two pieces."""
    framing = BodyFraming.LENGTH
    if random.random() >= FRAMED_BY_LENGTH_SHARE:
        framing = random.choice([BodyFraming.CHUNKS, BodyFraming.CLOSE])
    sizes = [random.randrange(len(content))]
    return Body(content, framing, sizes, MAX_PIECE_PAUSE_S, len(content))


def draw_stream(content: bytes, random: Random) -> Body:
    """Return a stream in any pieces; some are broken off at any byte."""
    framing = random.choice(list(BodyFraming))
    sizes = sorted({random.randrange(len(content)) for _ in range(random.randrange(12))})
    sent_size = len(content)
    if random.random() < BROKEN_SHARE:
        sent_size = random.randrange(len(content))
    is_reset = random.random() < 0.5
    if framing is BodyFraming.CLOSE and content[:sent_size].endswith(EVENT_ENDS):
        # Nothing would tell this from a whole stream.
        sent_size = len(content)
    return Body(content, framing, sizes, MAX_EVENT_PAUSE_S, sent_size, is_reset)
