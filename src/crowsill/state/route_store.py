"""The replicated route configuration: the document with the highest version, as it was sent."""

import msgspec


class RouteDocument(msgspec.Struct, frozen=True, array_like=True):
    """A route configuration as the operator sent it.

    Attributes:
        version: The operator's version; 0 if no document was ever accepted.
        content: The compressed document, which the state machine does not decode.
    """

    version: int = 0
    content: bytes = b""


class RouteStore:
    """Stores the document in effect.

    >>> store = RouteStore()
    >>> store.submit(RouteDocument(4, b"x")), store.submit(RouteDocument(3, b"y"))
    (True, False)
    >>> store.submit(RouteDocument(4, b"z")), store.current.content
    (False, b'x')
    """

    def __init__(self) -> None:
        self.current = RouteDocument()

    def submit(self, document: RouteDocument) -> bool:
        """Put a document into effect if its version is higher; return whether it is."""
        if document.version <= self.current.version:
            return False
        self.current = document
        return True

    def load(self, document: RouteDocument) -> None:
        """Replace the state from a snapshot."""
        self.current = document
