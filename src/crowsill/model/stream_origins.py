"""Which service and software version began a stream, by the request that began it. Pure.

Replicas of several software versions may serve one service at the same time. What two of them
write does not fit together, so a stream that its caller resumes continues only at the version that
began it. The caller may come to any gateway, so gateways record at the control members what began
each resumable stream.
"""

import math
from collections import OrderedDict

import msgspec
import xxhash

# A record of a stream is this multiple of the longest time that its caller waits, since the caller
# may resume it within that time, and the resumed stream may be resumed again.
LIFETIME_FACTOR = 2.0
MAX_RECORDS = 65536
# A record that would be kept longer by less than this is not renewed: lifetimes are whole seconds.
MIN_RENEWAL_S = 2.0
# Longer names of versions are replaced by a digest.
MAX_VERSION_LENGTH = 64


class StreamOrigin(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """The service and the software version of the replica that began a stream.

    Attributes:
        service: Name of the service.
        software_version: Software version of the replica; empty if it reported none.
    """

    service: str
    software_version: str


class StreamOriginRecord(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """What began the streams of one request id.

    Attributes:
        key: See `stream_key`.
        origin: What began them; None if streams of several origins have this key.
        lifetime_s: Seconds for which the record is kept from now on.
    """

    key: bytes
    origin: StreamOrigin | None
    lifetime_s: int


def stream_key(request_id: bytes, tenant: str, host: str, path: str) -> bytes:
    """Return the key under which the origin of a stream is recorded.

    Callers choose request ids, so the key also covers what two callers can't share by chance.

    Args:
        request_id: Id of the request that began the stream.
        tenant: Name of the tenant; empty without one.
        host: Host that the request named.
        path: Path of the request.

    >>> len(stream_key(b"r1", "", "a.example", "/x/"))
    8
    >>> stream_key(b"r1", "a", "h", "/") == stream_key(b"r1", "b", "h", "/")
    False
    """
    digest = xxhash.xxh3_64()
    for field in (request_id, tenant.encode(), host.encode(), path.encode()):
        digest.update(b"%d:" % len(field))
        digest.update(field)
    return digest.digest()


def software_version_of(text: str) -> str:
    """Return the value that stands for a replica's software version, of limited length.

    >>> software_version_of("v1.2"), software_version_of("")
    ('v1.2', '')
    >>> len(software_version_of("v" * 1000)) <= MAX_VERSION_LENGTH
    True
    """
    if len(text) <= MAX_VERSION_LENGTH:
        return text
    return f"xxh3:{xxhash.xxh3_128_hexdigest(text.encode())}"


class StreamOrigins:
    """Records of what began streams, each for a limited time, and limited in number."""

    def __init__(self, max_records: int = MAX_RECORDS) -> None:
        self._max_records = max_records
        # The origin, and the monotonic time at which the record expires, by key.
        self._records: OrderedDict[bytes, tuple[StreamOrigin | None, float]] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of records, including expired ones."""
        return len(self._records)

    def note(self, record: StreamOriginRecord, now_s: float) -> bool:
        """Add or renew a record; return whether anything new is known.

        A second origin of the same key makes the origin unknown, since either stream may be
        resumed.
        """
        known = self.find(record.key, now_s)
        origin = record.origin
        if known is not None:
            if known.origin is None:
                return False
            if known.origin != origin:
                origin = None
            elif record.lifetime_s < known.lifetime_s + MIN_RENEWAL_S:
                return False
        self._records[record.key] = (origin, now_s + record.lifetime_s)
        self._records.move_to_end(record.key)
        self._remove_oldest(now_s)
        return True

    def _remove_oldest(self, now_s: float) -> None:
        while self._records:
            oldest = next(iter(self._records))
            is_expired = self._records[oldest][1] <= now_s
            if not is_expired and len(self._records) <= self._max_records:
                return
            del self._records[oldest]

    def find(self, key: bytes, now_s: float) -> StreamOriginRecord | None:
        """Return the record of a key, or None if there is none.

        >>> origins, one = StreamOrigins(), StreamOrigin("engines", "v1")
        >>> origins.note(StreamOriginRecord(b"k", one, 10), 0.0)
        True
        >>> origins.find(b"k", 4.0)
        StreamOriginRecord(key=b'k', origin=StreamOrigin(service='engines', software_version='v1'), lifetime_s=6)
        >>> origins.find(b"k", 10.0) is None
        True
        """  # noqa: E501
        found = self._records.get(key)
        if found is None or found[1] <= now_s:
            return None
        return StreamOriginRecord(key, found[0], math.ceil(found[1] - now_s))

    def records(self, now_s: float) -> list[StreamOriginRecord]:
        """Return all records that have not expired."""
        return [
            StreamOriginRecord(key, origin, math.ceil(expires_at_s - now_s))
            for key, (origin, expires_at_s) in self._records.items()
            if expires_at_s > now_s
        ]
