"""Digests of the keys of old claims, eight bytes each.

A control member may use 64 MB, and a claim with its response takes about half a kilobyte. So only
the most recent claims are stored in full. For an older claim the member stores only that its key
was used. That is enough to never run the request again: a resend gets the result that the outcome
is unknown.
"""

from array import array
from bisect import bisect_left, insort

import msgspec
import xxhash

from crowsill.state.commands import ClaimKey

BUCKET_S = 3600.0
MAX_BUCKET_KEYS = 65_536
_ARRAY_TYPE_CODE = "Q"


class ClaimBucket(msgspec.Struct, array_like=True):
    """Digests of keys claimed in one hour, as stored in a snapshot.

    Attributes:
        hour: Hours since the Unix epoch.
        digests: Sorted digests, eight bytes each in the machine's byte order.
    """

    hour: int
    digests: bytes


def key_digest(key: ClaimKey) -> int:
    """Return a 64-bit digest; ten million keys have a collision with probability 1 in 370,000."""
    text = f"{key.tenant}\0{key.resource}\0{key.key}"
    return xxhash.xxh3_64_intdigest(text.encode())


class ClaimArchive:
    """Digests by the hour of their claim; an hour is dropped after the end of its retention."""

    def __init__(self) -> None:
        self._buckets: list[tuple[int, array[int]]] = []

    def __len__(self) -> int:
        return sum(len(digests) for _, digests in self._buckets)

    def add(self, digest: int, opened_at_s: float) -> None:
        """Add a key that was claimed at `opened_at_s`."""
        hour = int(opened_at_s // BUCKET_S)
        for bucket_hour, digests in reversed(self._buckets):
            if bucket_hour == hour and len(digests) < MAX_BUCKET_KEYS:
                insort(digests, digest)
                return
        self._buckets.append((hour, array(_ARRAY_TYPE_CODE, [digest])))

    def __contains__(self, digest: int) -> bool:
        for _, digests in self._buckets:
            position = bisect_left(digests, digest)
            if position < len(digests) and digests[position] == digest:
                return True
        return False

    def forget_before(self, before_at_s: float) -> None:
        """Drop the hours that ended before `before_at_s`."""
        first_hour = int(before_at_s // BUCKET_S)
        if self._buckets and self._buckets[0][0] < first_hour:
            self._buckets = [bucket for bucket in self._buckets if bucket[0] >= first_hour]

    def dump(self) -> list[ClaimBucket]:
        """Return everything for a snapshot."""
        return [ClaimBucket(hour, digests.tobytes()) for hour, digests in self._buckets]

    def load(self, buckets: list[ClaimBucket]) -> None:
        """Replace the state from a snapshot."""
        self._buckets = []
        for bucket in buckets:
            digests: array[int] = array(_ARRAY_TYPE_CODE)
            digests.frombytes(bucket.digests)
            self._buckets.append((bucket.hour, digests))
