"""Names of the headers that the gateway reads and sets, and how it reads their values.

The names are a parameter: a deployment whose callers and replicas use others passes its own
`HeaderNames`. All names are lower-case bytes; they are written on the wire as given in `spelled`.
"""

from dataclasses import dataclass

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names, lower-case.

    Attributes:
        request_id: Identity of one request of a caller; a replica repeats it in its answer.
        deadline: Milliseconds that the sender will wait.
        expect_instance: Only this instance may run the request.
        stamp: Signature of a replica on its answer.
        not_run: Set by a replica that did not run the request.
        load: Requests running, waiting, and slots of a replica.
        leaving: Names of the header by which a replica says that it leaves; any of them counts.
        limit: Names of the header by which a replica names the requests a second that it takes from
            all gateways together; any of them counts.
        model: Model, and after a slash its adapter.
        token_counts: Tokens of the prompt and most tokens out.
        prompt_parts: Parts of the prompt as `ID:TOKENS`, joined by commas.
        priority: Rank among the requests of a replica.
        instance: Identity of the instance that answers.
        last_event_id: Last event that a caller has seen of a stream.
        tenant: Tenant that a request counts to; told to replicas.
        reserved: Further names that only the gateway may set; a caller's are left out.
    """

    request_id: bytes = b"crowsill-request-id"
    deadline: bytes = b"crowsill-deadline-ms"
    expect_instance: bytes = b"crowsill-expect-instance"
    stamp: bytes = b"crowsill-server-stamp"
    not_run: bytes = b"crowsill-not-run"
    load: bytes = b"crowsill-server-load"
    leaving: tuple[bytes, ...] = (b"crowsill-server-leaving",)
    limit: tuple[bytes, ...] = (b"crowsill-server-limit",)
    model: bytes = b"crowsill-model"
    token_counts: bytes = b"crowsill-token-counts"
    prompt_parts: bytes = b"crowsill-prompt-parts"
    priority: bytes = b"crowsill-priority"
    instance: bytes = b"crowsill-instance-id"
    last_event_id: bytes = b"last-event-id"
    tenant: bytes = b"crowsill-tenant"
    reserved: frozenset[bytes] = frozenset()


# Headers that pertain to one connection only (RFC 9110, section 7.6.1), and the framing of a
# body, which is made anew.
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
    """Return the headers that are passed on.

    Args:
        headers: Headers of a message.
        also_dropped: Further lower-case names to leave out.

    >>> end_to_end_headers([(b"Connection", b"x-hop"), (b"X-Hop", b"1"), (b"A", b"2")])
    [(b'A', b'2')]
    """
    dropped = CONNECTION_HEADERS | also_dropped
    named = find_header(headers, b"connection")
    if named is not None:
        dropped = dropped | {word.strip().lower() for word in named.split(b",")}
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def read_number(value: bytes | None) -> float | None:
    """Read a number that is not negative; None when there is none.

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
