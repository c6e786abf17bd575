"""Fingerprints of requests: a keyed digest that is equal for duplicates of a request. Pure.

The digest covers host, path with query, method, tenant and body. It leaves out what changes from
one attempt to the next: ids, deadlines, other headers and the framing of the body.
"""

import hashlib

from crowsill.gateway.request import CallerRequest

FINGERPRINT_BYTES = 16
# Separates these digests from other uses of the cluster key.
_PURPOSE = b"crowsill-request"


class Fingerprints:
    """Computes fingerprints; all gateways of a cluster compute the same one for a request."""

    def __init__(self, cluster_key: bytes) -> None:
        """Derive the key of the digest.

        Args:
            cluster_key: The cluster's secret. Without it, a request's content can't be guessed and
                verified from a fingerprint in a log line.
        """
        self._key = hashlib.blake2b(cluster_key, digest_size=32, person=_PURPOSE).digest()

    def of(self, request: CallerRequest, tenant: str) -> bytes:
        """Return the fingerprint of a request.

        Args:
            request: The request.
            tenant: The caller's tenant where callers need API keys, so that no other tenant can
                send a request with the same fingerprint; else empty.

        The caller's address is not included, because one caller may use several addresses. If it
        were, a request sent from four addresses could crash 12 replicas before its quarantine
        instead of 3.

        >>> first = CallerRequest(b"POST", b"/a", [], b"x", True, 0.0, request_id=b"1")
        >>> again = CallerRequest(b"POST", b"/a", [(b"N", b"1")], b"x", True, 9.0, request_id=b"2")
        >>> made = Fingerprints(b"key")
        >>> made.of(first, "") == made.of(again, ""), made.of(first, "") == made.of(first, "t")
        (True, False)
        """
        digest = hashlib.blake2b(key=self._key, digest_size=FINGERPRINT_BYTES)
        for part in (tenant.encode(), request.host.encode(), request.method, request.target):
            # The length prefix makes the encoding of the parts unambiguous.
            digest.update(b"%d:" % len(part))
            digest.update(part)
        digest.update(request.body)
        return digest.digest()
