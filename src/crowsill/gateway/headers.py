"""Names of the headers that the gateway reads and sets, and functions that read their values.

The names are a parameter: a deployment whose callers and replicas use other names passes its own
`HeaderNames`. All names are lower-case bytes.
"""

from dataclasses import dataclass

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names, lower-case.

    Attributes:
        request_id: Id of a caller's request; the replica repeats it in its response.
        deadline: Milliseconds that the sender waits.
        expect_instance: The only instance that may run the request.
        stamp: Signature of the replica on its response.
        not_run: Set by a replica that did not run the request.
        load: Running requests, waiting requests and slots of the replica.
        leaving: Names of the headers by which a replica reports that it drains; any of them counts.
        limit: Names of the headers by which a replica advertises its rate limit, in requests per
            second from all gateways together; any of them counts.
        brittle: Names of the headers by which a replica says how many requests a second it can
            reject without a crash; any of them counts.
        model: Model, followed by a slash and the adapter if there is one.
        token_counts: Number of prompt tokens and maximum number of output tokens.
        length_hint: The caller's estimate of the number of output tokens.
        prompt_parts: Parts of the prompt as `ID:TOKENS`, separated by commas.
        priority: Rank of the request at the replica.
        instance: Id of the instance that responds.
        last_event_id: Id of the last event of a stream that the caller received.
        resumed_request: Id of the request that brought the first event of the stream that a caller
            resumes.
        tenant: Tenant that a request is charged to; sent to replicas.
        reserved: Further names that only the gateway may set; a caller's headers of these names are
            dropped.
    """

    request_id: bytes = b"crowsill-request-id"
    deadline: bytes = b"crowsill-deadline-ms"
    expect_instance: bytes = b"crowsill-expect-instance"
    stamp: bytes = b"crowsill-server-stamp"
    not_run: bytes = b"crowsill-not-run"
    load: bytes = b"crowsill-server-load"
    leaving: tuple[bytes, ...] = (b"crowsill-server-leaving",)
    limit: tuple[bytes, ...] = (b"crowsill-server-limit",)
    brittle: tuple[bytes, ...] = (b"crowsill-server-brittle",)
    model: bytes = b"crowsill-model"
    token_counts: bytes = b"crowsill-token-counts"
    length_hint: bytes = b"crowsill-length-hint"
    prompt_parts: bytes = b"crowsill-prompt-parts"
    priority: bytes = b"crowsill-priority"
    instance: bytes = b"crowsill-instance-id"
    last_event_id: bytes = b"last-event-id"
    resumed_request: bytes = b"crowsill-resumed-request"
    tenant: bytes = b"crowsill-tenant"
    reserved: frozenset[bytes] = frozenset()


# Headers of a single connection (RFC 9110, section 7.6.1), and the framing of a body, which the
# gateway sets again.
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header of this lower-case name, or None.

    >>> find_header([(b"Host", b"a.example")], b"host")
    b'a.example'
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def all_values(headers: Headers, name: bytes) -> list[bytes]:
    """Return the values of all headers of this lower-case name.

    >>> all_values([(b"A", b"1"), (b"a", b"2")], b"a")
    [b'1', b'2']
    """
    return [value for key, value in headers if key.lower() == name]


def end_to_end_headers(headers: Headers, also_dropped: frozenset[bytes] = frozenset()) -> Headers:
    """Return the headers to forward.

    Args:
        headers: Headers of a message.
        also_dropped: Further lower-case names to drop.

    >>> end_to_end_headers([(b"Connection", b"x-hop"), (b"X-Hop", b"1"), (b"A", b"2")])
    [(b'A', b'2')]
    """
    dropped = CONNECTION_HEADERS | also_dropped
    named = find_header(headers, b"connection")
    if named is not None:
        dropped = dropped | {item.strip().lower() for item in named.split(b",")}
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def read_number(value: bytes | None) -> float | None:
    """Parse a non-negative number below 1e12; return None if there is none.

    >>> read_number(b"1500"), read_number(b"-1"), read_number(b"soon"), read_number(None)
    (1500.0, None, None, None)
    """
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < 1e12 else None
