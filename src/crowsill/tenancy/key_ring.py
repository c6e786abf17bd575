"""Lookup of the tenant by a caller's API key. Pure."""

from collections.abc import Iterable

from crowsill.tokens import bearer_digest


class KeyRing:
    """Names of tenants by the digests of their keys.

    Keys are looked up by digest, so the lookup time doesn't reveal how much of a guessed key is
    correct.

    >>> ring = KeyRing([("shop", "2d711642b726b04401627ca9fbac32f5c8530fb1903cc4db02258717921a4881")])
    >>> ring.owner([b"Bearer x"]), ring.owner([b"bearer  x"]), ring.owner([b"Bearer y"])
    ('shop', 'shop', None)
    >>> ring.owner([]), ring.owner([b"Bearer x", b"Bearer x"]), ring.owner([b"Basic x"])
    (None, None, None)
    """  # noqa: E501

    def __init__(self, keys: Iterable[tuple[str, str]]) -> None:
        """Create a key ring.

        Args:
            keys: For each key, the name of its tenant and its SHA-256 digest as hex.
        """
        self._owners = {bytes.fromhex(digest): name for name, digest in keys}

    def owner(self, authorizations: list[bytes]) -> str | None:
        """Return the name of the tenant whose key a caller presented, or None.

        Args:
            authorizations: Values of its `Authorization` headers. More than one value identifies
                nobody: a proxy between might have used another one.
        """
        if len(authorizations) != 1:
            return None
        digest = bearer_digest(authorizations[0].decode("utf-8", "surrogateescape"))
        return None if digest is None else self._owners.get(digest)
