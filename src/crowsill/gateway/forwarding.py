"""Encodes a caller's request for a replica: only connection and gateway headers change."""

from dataclasses import dataclass

from crowsill.gateway.headers import HeaderNames, Headers, end_to_end_headers
from crowsill.gateway.request import CallerRequest

MAX_RANK = 9
METHODS_WITH_BODY = (b"POST", b"PUT", b"PATCH")


@dataclass(frozen=True, slots=True)
class ForwardingTerms:
    """Values that the gateway sets in a forwarded request.

    Attributes:
        replica: The only replica that may run the request.
        rank: Rank of the request; 0 is the most urgent.
        remaining_s: Time until the request's deadline.
        is_keyed: Whether callers need API keys. If so, neither the key nor a tenant header of the
            caller is forwarded.
        tenant: Tenant that the request is charged to; empty for none.
    """

    replica: str
    rank: int
    remaining_s: float
    is_keyed: bool = False
    tenant: str = ""


def encode_forwarded_request(
    request: CallerRequest, names: HeaderNames, terms: ForwardingTerms
) -> bytes:
    """Return the HTTP request for one instance.

    Args:
        request: The caller's request.
        names: Header names that replicas know.
        terms: Values that the gateway sets.
    """
    gateway_set_names = [names.deadline, names.expect_instance, names.priority]
    if terms.is_keyed:
        gateway_set_names += [names.tenant, b"authorization"]
    headers = end_to_end_headers(request.headers, names.reserved.union(gateway_set_names))
    if terms.tenant:
        headers.append((names.tenant, terms.tenant.encode()))
    headers.append((names.deadline, b"%d" % max(1, int(terms.remaining_s * 1000))))
    headers.append((names.expect_instance, terms.replica.encode()))
    if request.model:
        headers.append((names.priority, b"%d" % min(MAX_RANK, terms.rank)))
    return encode_request(request, headers)


def encode_request(request: CallerRequest, headers: Headers) -> bytes:
    """Return an HTTP request with a caller's method, target and body, and the given headers."""
    headers = list(headers)
    if request.body or request.method in METHODS_WITH_BODY:
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    lines = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
    lines.extend(b"%s: %s\r\n" % header for header in headers)
    lines.append(b"\r\n")
    lines.append(request.body)
    return b"".join(lines)
