"""Why a gateway does not run a request, before any replica has had it."""

from dataclasses import dataclass

from crowsill.errors import ErrorKind


@dataclass(frozen=True, slots=True)
class Rejection:
    """One error of the closed list, on its way to a caller.

    Attributes:
        kind: What the caller is told.
        detail: One sentence for the reader of the answer; never contains a key.
        retry_after_s: When to come back; None where the same request is of no use.
    """

    kind: ErrorKind
    detail: str
    retry_after_s: float | None = None
