"""Encodes responses to callers: heads, chunks, and the gateway's own error responses."""

import http

from crowsill.errors import Problem, error_body
from crowsill.gateway.headers import Headers

_REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}


def encode_head(status: int, reason: bytes, headers: Headers) -> bytes:
    r"""Encode the status line and headers of a response.

    >>> encode_head(200, b"OK", [(b"A", b"1")])
    b'HTTP/1.1 200 OK\r\nA: 1\r\n\r\n'
    """
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, reason)]
    lines.extend(b"%s: %s\r\n" % header for header in headers)
    lines.append(b"\r\n")
    return b"".join(lines)


def encode_chunk(data: bytes) -> bytes:
    r"""Encode one chunk of a chunked body.

    >>> encode_chunk(b"abc")
    b'3\r\nabc\r\n'
    """
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


def encode_problem(
    problem: Problem,
    request_id: bytes,
    id_header: bytes,
    close: bool,
    retry_after_s: float | None,
    *,
    more_headers: Headers | None = None,
) -> bytes:
    """Encode an error response of the gateway itself.

    Args:
        problem: The error; its kind selects status and body.
        request_id: The caller's id of the request, repeated if there is one.
        id_header: Name of the header that carries the id.
        close: Whether the connection closes after this response.
        retry_after_s: Overrides `Retry-After`, in seconds and fractions.
        more_headers: Further headers.
    """
    answer = problem.answer
    body = error_body(problem, request_id.decode("latin-1"))
    headers: Headers = [(b"Content-Type", b"application/json")]
    headers.append((b"Content-Length", b"%d" % len(body)))
    if request_id:
        headers.append((id_header, request_id))
    after_s = answer.retry_after_s if retry_after_s is None else retry_after_s
    if after_s is not None and answer.retryable:
        headers.append((b"Retry-After", f"{after_s:g}".encode()))
    headers.extend(more_headers or [])
    if close:
        headers.append((b"Connection", b"close"))
    reason = _REASONS.get(answer.status, b"Error")
    return encode_head(answer.status, reason, headers) + body
