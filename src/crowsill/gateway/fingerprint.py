"""What stays the same when a caller sends a request again: a keyed digest of it. Pure.

Ids, deadlines, the order and case of headers and the framing of a body change from one sending to
the next; host, path with query, method, tenant and body do not.
"""

import hashlib

from crowsill.gateway.request import CallerRequest

FINGERPRINT_BYTES = 16
# Keeps digests of this kind apart from any other use of the cluster key.
_PURPOSE = b"crowsill-request"


class Fingerprints:
    """Makes fingerprints; all gateways of a cluster make the same one of a request."""

    def __init__(self, cluster_key: bytes) -> None:
        """Make it.

        Args:
            cluster_key: Keys the digest, so that nobody else can tell from a log line what a
                request held.
        """
        self._key = hashlib.blake2b(cluster_key, digest_size=32, person=_PURPOSE).digest()

    def of(self, request: CallerRequest, tenant: str) -> bytes:
        """Return the fingerprint of a request.

        Args:
            request: The request.
            tenant: Whose it is where callers show keys, so that no other tenant can make a request
                that has the same fingerprint; else empty.

        The address that a request came from is no part of it: one caller may come from several
        sites. With it, a request from four addresses ended 12 replicas in place of 3.

        >>> first = CallerRequest(b"POST", b"/a", [], b"x", True, 0.0, request_id=b"1")
        >>> again = CallerRequest(b"POST", b"/a", [(b"N", b"1")], b"x", True, 9.0, request_id=b"2")
        >>> made = Fingerprints(b"key")
        >>> made.of(first, "") == made.of(again, ""), made.of(first, "") == made.of(first, "t")
        (True, False)
        """
        digest = hashlib.blake2b(key=self._key, digest_size=FINGERPRINT_BYTES)
        for part in (tenant.encode(), request.host.encode(), request.method, request.target):
            # The length first: no two different rows of parts give the same bytes.
            digest.update(b"%d:" % len(part))
            digest.update(part)
        digest.update(request.body)
        return digest.digest()
