"""A decision of the gateway not to send a request to any replica."""

from dataclasses import dataclass

from crowsill.errors import ErrorKind


@dataclass(frozen=True, slots=True)
class Rejection:
    """The error that the caller gets in place of a response.

    Attributes:
        kind: Kind of the error.
        detail: One sentence for the caller; never contains an API key.
        retry_after_s: Seconds after which the caller may retry; None if a retry can't succeed.
    """

    kind: ErrorKind
    detail: str
    retry_after_s: float | None = None
