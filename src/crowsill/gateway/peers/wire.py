"""The HTTP format of requests between gateways: the caller's request plus a few headers.

A peer returns the replica's response unchanged. When it rejects the request itself and knows that
no replica ran it, its response has the `not_run` header of replicas, and the number of attempts.
"""

import hmac
from dataclasses import dataclass

from crowsill.gateway.forwarding import encode_request
from crowsill.gateway.headers import HeaderNames, end_to_end_headers, find_header, read_number
from crowsill.gateway.request import CallerRequest

PROOF = b"crowsill-peer-proof"
SERVICE = b"crowsill-peer-service"
ATTEMPTS = b"crowsill-peer-attempts"
MAY_WAIT = b"crowsill-peer-may-wait"
SOFTWARE_VERSION = b"crowsill-peer-software-version"
PEER_HEADERS = frozenset((PROOF, SERVICE, ATTEMPTS, MAY_WAIT, SOFTWARE_VERSION))
# Size of the added headers and of a longer deadline; the peer accepts this much more than callers
# may send.
MAX_ADDED_HEADER_BYTES = 1024


@dataclass(frozen=True, slots=True)
class PeerTerms:
    """What one gateway tells another about a request.

    Attributes:
        service: Service that the request goes to.
        attempts: How often it was sent to replicas so far.
        may_wait: Whether the peer may let it wait for a replica; otherwise the sender asks others.
        software_version: Software version of the replicas that may run it; None for any.
    """

    service: str
    attempts: int
    may_wait: bool
    software_version: str | None = None


def _encode_version(version: str | None) -> bytes:
    """Encode a software version, which is any text, for a header; empty for none.

    >>> _encode_version(None), _encode_version(""), _encode_version("v1")
    (b'', b'=', b'=7631')
    """
    return b"" if version is None else b"=" + version.encode().hex().encode()


def _decode_version(value: bytes | None) -> str | None:
    """Return the software version in a header whose proof is valid."""
    return None if not value else bytes.fromhex(value[1:].decode("ascii")).decode()


def _proof(key: bytes, address: str, terms: PeerTerms, request: CallerRequest) -> bytes:
    """Return the proof that a member of the group sends this request to this address."""
    fields = (
        address.encode(),
        terms.service.encode(),
        b"%d %d" % (terms.attempts, terms.may_wait),
        _encode_version(terms.software_version),
        request.request_id,
        request.method,
        request.target,
        request.body,
    )
    digest = hmac.new(key, b"gateway peer", "sha256")
    for field in fields:
        digest.update(b"%d:" % len(field))
        digest.update(field)
    return digest.hexdigest().encode()


def encode_peer_request(
    request: CallerRequest,
    names: HeaderNames,
    terms: PeerTerms,
    *,
    key: bytes,
    address: str,
    remaining_s: float,
) -> bytes:
    """Return the HTTP request for a peer.

    Args:
        request: The caller's request.
        names: Header names that callers use.
        terms: What the peer is told.
        key: The cluster key.
        address: `IP:port` of the peer.
        remaining_s: Time until the request's deadline.
    """
    headers = end_to_end_headers(request.headers, PEER_HEADERS | {names.deadline})
    headers.append((names.deadline, b"%d" % max(1, int(remaining_s * 1000))))
    headers.append((SERVICE, terms.service.encode()))
    headers.append((ATTEMPTS, b"%d" % terms.attempts))
    headers.append((MAY_WAIT, b"%d" % terms.may_wait))
    if terms.software_version is not None:
        headers.append((SOFTWARE_VERSION, _encode_version(terms.software_version)))
    headers.append((PROOF, _proof(key, address, terms, request)))
    return encode_request(request, headers)


def take_peer_terms(request: CallerRequest, key: bytes, address: str) -> PeerTerms | None:
    """Remove a peer's headers from a request and return what they tell.

    Returns:
        None if the sender does not prove to be a gateway of the group.

    Args:
        request: The request as received.
        key: The cluster key.
        address: `IP:port` of this gateway's listener for peers.
    """
    proof = find_header(request.headers, PROOF)
    service = find_header(request.headers, SERVICE)
    attempts = read_number(find_header(request.headers, ATTEMPTS))
    may_wait = find_header(request.headers, MAY_WAIT)
    if proof is None or service is None or attempts is None:
        return None
    try:
        version = _decode_version(find_header(request.headers, SOFTWARE_VERSION))
    except ValueError:
        return None
    terms = PeerTerms(service.decode("latin-1"), int(attempts), may_wait == b"1", version)
    if not hmac.compare_digest(proof, _proof(key, address, terms, request)):
        return None
    request.headers = [item for item in request.headers if item[0].lower() not in PEER_HEADERS]
    return terms
