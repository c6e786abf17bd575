"""Documents of route configurations: from the bytes an operator sent to typed values, and back.

The replicated state keeps a document as it was sent. A deployment whose operators write another
form passes its own `RouteCodec`; the product's own form is the JSON of `RouteConfiguration`.
"""

import zlib
from typing import Protocol

import msgspec
from returns.result import Failure, Result, Success

from crowsill.model.routes import RouteConfiguration, route_faults
from crowsill.state.route_store import RouteDocument

COMPRESSION_LEVEL = 1


class RouteCodec(Protocol):
    """Reads the documents of one kind of operator."""

    def decode(self, content: bytes) -> Result[RouteConfiguration, str]:
        """Read a document; the failure says in one line what is wrong with it."""


class JsonRouteCodec:
    """The product's own form: the JSON of `RouteConfiguration`.

    >>> JsonRouteCodec().decode(b'{"version": "x"}').failure()
    'Expected `int`, got `str` - at `$.version`'
    """

    def decode(self, content: bytes) -> Result[RouteConfiguration, str]:
        """Read a document."""
        try:
            return Success(msgspec.json.decode(content, type=RouteConfiguration))
        except msgspec.DecodeError as error:
            return Failure(str(error))


def decode_and_check(codec: RouteCodec, content: bytes) -> Result[RouteConfiguration, str]:
    """Read a document and check what it says."""
    decoded = codec.decode(content)
    if not isinstance(decoded, Success):
        return decoded
    faults = route_faults(decoded.unwrap())
    return Failure("; ".join(faults)) if faults else decoded


def compress_document(version: int, content: bytes) -> RouteDocument:
    """Return the document as the replicated state keeps it.

    >>> decompress_document(compress_document(3, b"abc"))
    b'abc'
    """
    return RouteDocument(version, zlib.compress(content, COMPRESSION_LEVEL))


def decompress_document(document: RouteDocument) -> bytes:
    """Return a kept document as it was sent."""
    return zlib.decompress(document.content) if document.content else b""
