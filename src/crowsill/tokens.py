"""Bearer tokens, which are stored and compared only as SHA-256 digests."""

import hashlib

_SCHEME = "bearer "


def bearer_digest(authorization: str) -> bytes | None:
    """Return the digest of the token in an `Authorization` header; None without one.

    >>> bearer_digest("Bearer x") == bearer_digest("bearer  x"), bearer_digest("Basic x")
    (True, None)
    """
    if not authorization.lower().startswith(_SCHEME):
        return None
    token = authorization[len(_SCHEME) :].strip()
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).digest()
