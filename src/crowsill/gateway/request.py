"""A complete request of a caller and the fields that the gateway reads from its headers."""

from dataclasses import dataclass, field

from crowsill.gateway.headers import HeaderNames, Headers, find_header, read_number


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: bytes
    tokens: int


@dataclass(slots=True)
class CallerRequest:
    """A request as the caller sent it, with the values of its headers.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        headers: All headers as sent.
        body: The complete body.
        keep_alive: Whether the caller's connection may be reused.
        allows_chunks: Whether the caller understands chunks; HTTP/1.0 has none.
        arrived_at_s: Monotonic time at which the last byte was read.
        host: `Host` without the port, lower-case.
        path: Path without the query.
        request_id: The caller's id of the request; empty without one.
        wait_ms: How long the caller waits for the response, or None.
        model: Model that the request needs; empty for a plain service.
        adapter: Adapter of the model; empty without one.
        prompt_tokens: Number of tokens of the prompt.
        output_tokens: Maximum number of tokens of the output.
        length_hint: The caller's estimate of the number of output tokens; None without one.
        parts: Parts of the prompt, in order.
        last_event_id: Id of the last event of the stream that the caller resumes; empty if it
            resumes none.
        resumed_request_id: Id of the request that brought the first event of that stream; empty if
            the caller does not name it.
        software_version: Software version of the replicas that may run it, which the gateway sets;
            None for any.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    arrived_at_s: float
    allows_chunks: bool = True
    host: str = ""
    path: str = "/"
    request_id: bytes = b""
    wait_ms: float | None = None
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    length_hint: float | None = None
    parts: list[PromptPart] = field(default_factory=list)
    last_event_id: bytes = b""
    resumed_request_id: bytes = b""
    software_version: str | None = None

    @property
    def resource(self) -> str:
        """The resource that a replica needs to run it: `model`, `model/adapter`, or empty."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


def read_headers(request: CallerRequest, names: HeaderNames) -> CallerRequest:
    """Set the fields that come from headers; values that can't be parsed count as absent."""
    headers = request.headers
    host = find_header(headers, b"host") or b""
    request.host = _without_port(host.decode("latin-1")).lower()
    request.path = request.target.partition(b"?")[0].decode("latin-1")
    request.request_id = find_header(headers, names.request_id) or b""
    request.wait_ms = read_number(find_header(headers, names.deadline))
    model = (find_header(headers, names.model) or b"").decode("latin-1")
    request.model, _, request.adapter = model.partition("/")
    counts = (find_header(headers, names.token_counts) or b"").split(b",")
    request.prompt_tokens = int(read_number(counts[0]) or 0)
    request.output_tokens = int(read_number(counts[1]) or 0) if len(counts) > 1 else 0
    request.length_hint = read_number(find_header(headers, names.length_hint))
    request.last_event_id = find_header(headers, names.last_event_id) or b""
    request.resumed_request_id = find_header(headers, names.resumed_request) or b""
    request.parts = _read_parts(find_header(headers, names.prompt_parts))
    return request


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host


def _read_parts(value: bytes | None) -> list[PromptPart]:
    if not value:
        return []
    parts: list[PromptPart] = []
    for entry in value.split(b","):
        part_id, _, tokens = entry.strip().partition(b":")
        parts.append(PromptPart(part_id, int(read_number(tokens) or 0)))
    return parts
