"""Encodes a caller's request as it goes to a replica: unchanged but for its connection."""

from dataclasses import dataclass

from crowsill.gateway.headers import HeaderNames, end_to_end_headers
from crowsill.gateway.request import CallerRequest

MAX_RANK = 9
METHODS_WITH_BODY = (b"POST", b"PUT", b"PATCH")


@dataclass(frozen=True, slots=True)
class ForwardingTerms:
    """What the gateway tells a replica of a request.

    Attributes:
        replica: The replica that is to run it, and no other.
        rank: Its rank; 0 is the most urgent.
        remaining_s: Time that is left for it.
        is_keyed: Whether callers show keys: then neither the key nor the tenant that a caller names
            is passed on.
        tenant: Tenant that it counts to; empty for none.
    """

    replica: str
    rank: int
    remaining_s: float
    is_keyed: bool = False
    tenant: str = ""


def encode_forwarded_request(
    request: CallerRequest, names: HeaderNames, terms: ForwardingTerms
) -> bytes:
    """Return the bytes of a request for one instance.

    Args:
        request: The caller's request.
        names: Header names that replicas know.
        terms: What the gateway sets itself.
    """
    set_here = [names.deadline, names.expect_instance, names.priority]
    if terms.is_keyed:
        set_here += [names.tenant, b"authorization"]
    headers = end_to_end_headers(request.headers, names.reserved.union(set_here))
    if terms.tenant:
        headers.append((names.tenant, terms.tenant.encode()))
    headers.append((names.deadline, b"%d" % max(1, int(terms.remaining_s * 1000))))
    headers.append((names.expect_instance, terms.replica.encode()))
    if request.model:
        headers.append((names.priority, b"%d" % min(MAX_RANK, terms.rank)))
    if request.body or request.method in METHODS_WITH_BODY:
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    lines = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
    lines.extend(b"%s: %s\r\n" % header for header in headers)
    lines.append(b"\r\n")
    lines.append(request.body)
    return b"".join(lines)
