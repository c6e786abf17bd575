"""Checksummed frames in a file; distinguishes a torn tail from damage.

One frame holds the data of one synced write, and the next frame is written only after that sync.
An invalid frame without a valid frame behind it is therefore the torn tail of a write that was
never acknowledged, and may be truncated. An invalid frame with a valid frame behind it had been
synced: the file is damaged and is rejected.
"""

import struct
import zlib
from dataclasses import dataclass

MAGIC = b"cRw1"
_HEADER = struct.Struct("<4sII")
HEADER_BYTES = _HEADER.size


class DamagedFileError(Exception):
    """A file is damaged in a part that had been synced."""


@dataclass(frozen=True, slots=True)
class ScannedFrames:
    """The valid frames at the start of a file.

    Attributes:
        payloads: Payloads of the frames, in order.
        valid_bytes: Length of the valid part in bytes; the rest is a torn tail.
    """

    payloads: list[bytes]
    valid_bytes: int


def encode_frame(payload: bytes) -> bytes:
    """Encode a payload as a frame with magic number, length and CRC-32 checksum.

    >>> scan_frames(encode_frame(b"one") + encode_frame(b"two")).payloads
    [b'one', b'two']
    """
    return _HEADER.pack(MAGIC, len(payload), zlib.crc32(payload)) + payload


def _frame_at(content: bytes, offset: int) -> bytes | None:
    if offset + HEADER_BYTES > len(content):
        return None
    magic, length, checksum = _HEADER.unpack_from(content, offset)
    start = offset + HEADER_BYTES
    payload = content[start : start + length]
    if magic != MAGIC or len(payload) != length or zlib.crc32(payload) != checksum:
        return None
    return payload


def scan_frames(content: bytes) -> ScannedFrames:
    """Read frames up to the first invalid one.

    Args:
        content: The content of the file.

    Raises:
        DamagedFileError: A valid frame follows the invalid one.

    >>> torn = encode_frame(b"one") + encode_frame(b"two")[:-1]
    >>> scan_frames(torn).payloads
    [b'one']
    """
    payloads: list[bytes] = []
    offset = 0
    while (payload := _frame_at(content, offset)) is not None:
        payloads.append(payload)
        offset += HEADER_BYTES + len(payload)
    candidate = content.find(MAGIC, offset + 1)
    while candidate != -1:
        if _frame_at(content, candidate) is not None:
            message = f"invalid frame at byte {offset} before a valid frame at byte {candidate}"
            raise DamagedFileError(message)
        candidate = content.find(MAGIC, candidate + 1)
    return ScannedFrames(payloads, offset)
