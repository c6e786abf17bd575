"""Prefix affinity: prompts with the same prefix go to the same replica, whose cache holds it.

Rendezvous hashing (Thaler and Ravishankar, 1998) with bounded load (Mirrokni, Thorup and
Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018).
"""

from collections.abc import Sequence

import xxhash

# Length of the prompt prefix that is hashed, in bytes.
PREFIX_BYTES = 512
# Upper bound of a replica's load, relative to the mean load of all candidates.
LOAD_BOUND_FACTOR = 1.25


def prefix_hash(resource: str, prompt: bytes) -> int:
    """Return a hash of the resource and the prompt prefix; never 0."""
    digest = xxhash.xxh3_64_intdigest(prompt[:PREFIX_BYTES], seed=len(resource))
    return xxhash.xxh3_64_intdigest(resource.encode(), seed=digest) or 1


def preferred_replica(prefix: int, replica_ids: Sequence[str]) -> str:
    """Return the replica with the highest hash for this prefix.

    >>> preferred_replica(7, ["a", "b"]) == preferred_replica(7, ["b", "a"])
    True
    """
    return max(replica_ids, key=lambda name: xxhash.xxh3_64_intdigest(name.encode(), seed=prefix))


def within_bound(load: int, total: int, replicas: int) -> bool:
    """Whether a replica with `load` requests may get one more.

    Args:
        load: Requests at the replica.
        total: Requests at all candidates.
        replicas: Number of candidates.

    >>> within_bound(load=4, total=4, replicas=2), within_bound(load=2, total=4, replicas=2)
    (False, True)
    """
    return load + 1 <= LOAD_BOUND_FACTOR * (total + 1) / replicas + 1
