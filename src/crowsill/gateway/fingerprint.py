"""Fingerprints of requests, and digests of the parts of prompts that requests share. Pure.

A fingerprint is a keyed digest that is equal for duplicates of a request. It covers host, path with
query, method, tenant and body. It leaves out what changes from one attempt to the next: ids,
deadlines, other headers and the framing of the body.
"""

import hashlib

from crowsill.gateway.request import CallerRequest
from crowsill.model.prompt_parts import MAX_PARTS_PER_PROMPT

FINGERPRINT_BYTES = 16
PART_DIGEST_BYTES = 8
# Separates these digests from other uses of the cluster key.
_PURPOSE = b"crowsill-request"
_PART_PURPOSE = b"crowsill-part"
# Digests of the same parts are needed again and again.
MAX_CACHED_PARTS = 4096


class Fingerprints:
    """Computes fingerprints; all gateways of a cluster compute the same one for a request."""

    def __init__(self, cluster_key: bytes) -> None:
        """Derive the key of the digest.

        Args:
            cluster_key: The cluster's secret. Without it, a request's content can't be guessed and
                verified from a fingerprint in a log line.
        """
        self._key = hashlib.blake2b(cluster_key, digest_size=32, person=_PURPOSE).digest()
        self._part_key = hashlib.blake2b(cluster_key, digest_size=32, person=_PART_PURPOSE).digest()
        self._part_digests: dict[tuple[str, bytes], bytes] = {}

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

    def of_shared_parts(self, request: CallerRequest, tenant: str) -> list[bytes]:
        """Return the digests of the parts that a request's prompt may share with other requests.

        Args:
            request: The request.
            tenant: As in `of`: no tenant can name a part of another one.

        >>> from crowsill.gateway.request import PromptPart
        >>> parts = [PromptPart(b"a", 9), PromptPart(b"b", 9), PromptPart(b"own", 9)]
        >>> request = CallerRequest(b"POST", b"/a", [], b"x", True, 0.0, parts=parts)
        >>> made = Fingerprints(b"key")
        >>> first, second = made.of_shared_parts(request, "t")
        >>> first == second, made.of_shared_parts(request, "u")[0] == first
        (False, False)
        """
        shared = request.parts[:-1][:MAX_PARTS_PER_PROMPT]
        return [self._part_digest(tenant, part.part_id) for part in shared]

    def _part_digest(self, tenant: str, part_id: bytes) -> bytes:
        digest = self._part_digests.get((tenant, part_id))
        if digest is None:
            named = tenant.encode()
            content = b"%d:%s%s" % (len(named), named, part_id)
            digest = hashlib.blake2b(
                content, key=self._part_key, digest_size=PART_DIGEST_BYTES
            ).digest()
            if len(self._part_digests) >= MAX_CACHED_PARTS:
                self._part_digests.clear()
            self._part_digests[(tenant, part_id)] = digest
        return digest
