"""Bounds what a sender may send beside the body of an HTTP message. Pure.

An HTTP parser reads heads, interim responses, trailers and chunk extensions for as long as they
last, and keeps unfinished headers in memory.
"""

from dataclasses import dataclass

# The smallest chunks have several bytes of framing for each byte of the body.
MAX_FRAMING_PER_BODY_BYTE = 16


@dataclass(slots=True)
class MessageBounds:
    """Counts the bytes of one message, or of one response and its interim responses.

    Attributes:
        received_bytes: All bytes so far.
        body_bytes: Bytes of the body among them.
        skipped_bytes: Bytes among them of the bodies of other messages.

    >>> bounds = MessageBounds()
    >>> bounds.received_bytes = 1000
    >>> bounds.exceeds(999), bounds.exceeds(1000)
    (True, False)
    >>> bounds.body_bytes = 100
    >>> bounds.exceeds(0)
    False
    """

    received_bytes: int = 0
    body_bytes: int = 0
    skipped_bytes: int = 0

    def exceeds(self, max_head_bytes: int) -> bool:
        """Whether more than `max_head_bytes` are neither a body nor the framing of its chunks."""
        overhead = self.received_bytes - self.body_bytes - self.skipped_bytes
        return overhead > max_head_bytes + MAX_FRAMING_PER_BODY_BYTE * self.body_bytes
