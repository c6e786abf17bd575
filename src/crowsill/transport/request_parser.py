"""A parser of HTTP requests that ignores offers to upgrade the protocol.

A server may ignore a received `Upgrade` header (RFC 9110, section 7.8). `httptools` instead reports
the request as complete without its body, and then stops.
"""

from collections.abc import Callable
from typing import Any

import httptools

Headers = list[tuple[bytes, bytes]]


def encode_head_without_upgrade(
    method: bytes, target: bytes, version: str, headers: Headers
) -> bytes:
    r"""Return the head of a request without its offer to upgrade.

    >>> headers = [(b"Upgrade", b"h2c"), (b"Connection", b"Upgrade, x-hop"), (b"A", b"1")]
    >>> encode_head_without_upgrade(b"GET", b"/", "1.1", headers)
    b'GET / HTTP/1.1\r\nConnection: x-hop\r\nA: 1\r\n\r\n'
    """
    lines = [b"%s %s HTTP/%s" % (method, target, version.encode())]
    for name, value in headers:
        kept = value
        if name.lower() == b"upgrade":
            continue
        if name.lower() == b"connection":
            options = [option.strip() for option in value.split(b",")]
            kept = b", ".join(option for option in options if option.lower() != b"upgrade")
        lines.append(b"%s: %s" % (name, kept))
    return b"\r\n".join(lines) + b"\r\n\r\n"


class RequestParser:
    """Parses requests; parses the head of one that offers an upgrade again, without the offer.

    Its protocol must ignore `on_headers_complete` and `on_message_complete` while `offers_upgrade`
    returns True: they follow again, with the body between them.
    """

    def __init__(self, protocol: Any, read_head: Callable[[], tuple[bytes, Headers]]) -> None:  # noqa: ANN401
        """Create a parser.

        Args:
            protocol: Receives the callbacks of `httptools.HttpRequestParser`.
            read_head: Returns the target and the headers of the request in progress.
        """
        self._protocol = protocol
        self._read_head = read_head
        self._parser = httptools.HttpRequestParser(protocol)

    def offers_upgrade(self) -> bool:
        """Whether the request in progress offers an upgrade, or is a `CONNECT`."""
        return self._parser.should_upgrade()

    def feed_data(self, data: bytes) -> None:
        """Parse received bytes.

        Raises:
            httptools.HttpParserUpgrade: The method is `CONNECT`.
            httptools.HttpParserError: The bytes are no HTTP request.
        """
        while True:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                method, version = self._parser.get_method(), self._parser.get_http_version()
                if method == b"CONNECT":
                    raise
                target, headers = self._read_head()
                head = encode_head_without_upgrade(method, target, version, headers)
                data = head + data[offer.args[0] :]
                self._parser = httptools.HttpRequestParser(self._protocol)

    def get_method(self) -> bytes:
        """Return the method of the request."""
        return self._parser.get_method()

    def get_http_version(self) -> str:
        """Return the version of HTTP, such as `1.1`."""
        return self._parser.get_http_version()

    def should_keep_alive(self) -> bool:
        """Whether the connection may be used for further requests."""
        return self._parser.should_keep_alive()

    def should_upgrade(self) -> bool:
        """Whether the connection changes its protocol, which it never does."""
        return False
