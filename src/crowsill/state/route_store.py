"""The replicated route configuration: the highest version wins, and is kept as it was sent."""

import msgspec


class RouteDocument(msgspec.Struct, frozen=True, array_like=True):
    """A route configuration as the operator sent it.

    Attributes:
        version: The operator's version; 0 means that none was ever accepted.
        content: The document, compressed; opaque here.
    """

    version: int = 0
    content: bytes = b""


class RouteStore:
    """Holds the document in force.

    >>> store = RouteStore()
    >>> store.submit(RouteDocument(4, b"x")), store.submit(RouteDocument(3, b"y"))
    (True, False)
    >>> store.submit(RouteDocument(4, b"z")), store.current.content
    (False, b'x')
    """

    def __init__(self) -> None:
        self.current = RouteDocument()

    def submit(self, document: RouteDocument) -> bool:
        """Put a document in force if its version is higher; return whether it was."""
        if document.version <= self.current.version:
            return False
        self.current = document
        return True

    def load(self, document: RouteDocument) -> None:
        """Replace the state by that of a snapshot."""
        self.current = document
