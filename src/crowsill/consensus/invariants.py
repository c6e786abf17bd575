"""Invariants of the running system, checked in tests and in production."""


class InvariantError(AssertionError):
    """An invariant is violated; the process must stop."""


def require(condition: bool, statement: str) -> None:
    """Raise `InvariantError` unless `condition` holds.

    Args:
        condition: The invariant.
        statement: Description of the invariant, for the error message.
    """
    if not condition:
        raise InvariantError(statement)
