"""Encodes a caller's request as it goes to a replica: unchanged but for its connection."""

from crowsill.gateway.dialect import HeaderNames, end_to_end_headers
from crowsill.gateway.request import CallerRequest
from crowsill.model.routes import Route

MOST_PATIENT_RANK = 9
METHODS_WITH_BODY = (b"POST", b"PUT", b"PATCH")


def encode_forwarded(
    request: CallerRequest, names: HeaderNames, instance_id: str, route: Route, left_s: float
) -> bytes:
    """Return the bytes of a request for one instance.

    Args:
        request: The caller's request.
        names: Header names that replicas know.
        instance_id: The instance that is to run it, and no other.
        route: Its route.
        left_s: Time that is left for it.
    """
    set_here = (names.deadline, names.expect_instance, names.priority)
    headers = end_to_end_headers(request.headers, names.reserved.union(set_here))
    headers.append((names.deadline, b"%d" % max(1, int(left_s * 1000))))
    headers.append((names.expect_instance, instance_id.encode()))
    if request.model:
        headers.append((names.priority, b"%d" % min(MOST_PATIENT_RANK, route.rank)))
    if request.body or request.method in METHODS_WITH_BODY:
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    lines = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
    lines.extend(b"%s: %s\r\n" % header for header in headers)
    lines.append(b"\r\n")
    lines.append(request.body)
    return b"".join(lines)
