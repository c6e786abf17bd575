"""Decoding and compression of route configuration documents.

The replicated state stores a document as the operator sent it. A deployment whose operators use
another format supplies its own `RouteCodec`; the default format is the JSON of
`RouteConfiguration`.
"""

import zlib
from typing import Protocol

import msgspec
from returns.result import Failure, Result, Success

from crowsill.json_input import decode_json
from crowsill.model.routes import RouteConfiguration, route_faults
from crowsill.state.route_store import RouteDocument

COMPRESSION_LEVEL = 1


_decoder = msgspec.json.Decoder(RouteConfiguration)


class RouteCodec(Protocol):
    """Decodes route documents of one format."""

    def decode(self, content: bytes) -> Result[RouteConfiguration, str]:
        """Decode a document; the failure is a one-line description of the error."""


class JsonRouteCodec:
    """The default format: the JSON of `RouteConfiguration`.

    >>> JsonRouteCodec().decode(b'{"version": "x"}').failure()
    'Expected `int`, got `str` - at `$.version`'
    """

    def decode(self, content: bytes) -> Result[RouteConfiguration, str]:
        """Decode a document."""
        return decode_json(content, _decoder)


def decode_and_check(codec: RouteCodec, content: bytes) -> Result[RouteConfiguration, str]:
    """Decode a document and validate the route configuration."""
    decoded = codec.decode(content)
    if not isinstance(decoded, Success):
        return decoded
    faults = route_faults(decoded.unwrap())
    return Failure("; ".join(faults)) if faults else decoded


def compress_document(version: int, content: bytes) -> RouteDocument:
    """Return the compressed document that the replicated state stores.

    >>> decompress_document(compress_document(3, b"abc"))
    b'abc'
    """
    return RouteDocument(version, zlib.compress(content, COMPRESSION_LEVEL))


def decompress_document(document: RouteDocument) -> bytes:
    """Return a stored document as the operator sent it."""
    return zlib.decompress(document.content) if document.content else b""
