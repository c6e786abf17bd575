"""How a response tells where its body ends (RFC 9112, section 6.3)."""

from enum import StrEnum

from crowsill.gateway.headers import Headers, all_values

NO_CONTENT_STATUSES = frozenset((204, 304))


class Framing(StrEnum):
    """What ends the body of a response.

    Attributes:
        UNKNOWN: No head has been received.
        NONE: There is no body.
        LENGTH: The number of bytes in `Content-Length`.
        CHUNKS: The last chunk.
        CLOSE: The end of the connection; it also ends if the sender crashes.
    """

    UNKNOWN = "unknown"
    NONE = "none"
    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


def find_framing(status: int, headers: Headers, is_head_request: bool) -> Framing:
    """Return the framing of a response.

    >>> find_framing(200, [(b"Content-Length", b"4")], False)
    <Framing.LENGTH: 'length'>
    >>> find_framing(200, [(b"Transfer-Encoding", b"gzip, chunked")], False)
    <Framing.CHUNKS: 'chunks'>
    >>> find_framing(200, [(b"Connection", b"close")], False)
    <Framing.CLOSE: 'close'>
    >>> find_framing(200, [], True)
    <Framing.NONE: 'none'>
    """
    if is_head_request or status in NO_CONTENT_STATUSES:
        return Framing.NONE
    codings = b",".join(all_values(headers, b"transfer-encoding")).lower().split(b",")
    if codings[-1].strip() == b"chunked":
        return Framing.CHUNKS
    if codings != [b""]:
        return Framing.CLOSE
    return Framing.LENGTH if all_values(headers, b"content-length") else Framing.CLOSE
