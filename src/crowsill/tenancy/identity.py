"""Identification of the tenant of a request, with a bound on the age of the known keys. Pure.

After a revocation is acknowledged to the operator, the revoked key must not run any request later
than a bound, at any gateway, connected to the group or not. So a gateway runs a request only while
its freshness proof is younger than the bound. `proof_age_s` counts from the time before the gateway
queried the group, so every change that was acknowledged by then is active at the gateway. If a key
was revoked longer than the bound before a request was sent, it was revoked before that query, and
the gateway's key ring no longer holds it.
"""

from dataclasses import dataclass
from enum import StrEnum

from crowsill.model.tenants import Tenant
from crowsill.tenancy.key_ring import KeyRing

# Time before the bound at which a gateway stops: a request must reach its replica before the bound,
# a lost packet is sent again after 0.2 to 0.6 s, and the clocks of two machines may run at
# different speeds.
REVOCATION_MARGIN_S = 1.0
# Maximum age of the proof with which an unlisted key counts as unknown. A connected gateway queries
# the group every 0.5 s and waits at most 0.8 s for the response; a new key must be served 2 s after
# it was acknowledged.
MAX_PROOF_AGE_FOR_UNKNOWN_KEY_S = 1.5


class IdentityFailure(StrEnum):
    """The reason why a request is not run.

    Attributes:
        UNKNOWN_KEY: No tenant has the key, by a fresh list of keys.
        NOT_CURRENT: The list of keys may be too old for a decision.
    """

    UNKNOWN_KEY = "unknown_key"
    NOT_CURRENT = "not_current"


def is_key_proof_fresh(proof_age_s: float, revocation_s: float) -> bool:
    """Whether a proof of this age is fresh enough to accept a key.

    Args:
        proof_age_s: Age of the freshness proof, from before its query, in seconds.
        revocation_s: Time after which a revoked key must not run a request, in seconds; 0 for no
            bound.

    >>> is_key_proof_fresh(3.9, 5.0), is_key_proof_fresh(4.1, 5.0), is_key_proof_fresh(60.0, 0.0)
    (True, False, True)
    """
    return revocation_s <= 0.0 or proof_age_s <= revocation_s - REVOCATION_MARGIN_S


@dataclass(frozen=True, slots=True)
class Principal:
    """A caller that may use its route.

    Attributes:
        tenant: The tenant of its key; None without a known key on a public route.
    """

    tenant: Tenant | None


class TenantDirectory:
    """The tenants of one configuration, by name and by key."""

    def __init__(self, tenants: list[Tenant]) -> None:
        self._tenants = {tenant.name: tenant for tenant in tenants}
        self._ring = KeyRing(
            (tenant.name, digest) for tenant in tenants for digest in tenant.key_sha256
        )

    def find(self, name: str) -> Tenant | None:
        """Return a tenant by its name, or None."""
        return self._tenants.get(name)

    def identify(
        self,
        authorizations: list[bytes],
        *,
        is_public: bool,
        proof_age_s: float,
        revocation_s: float,
    ) -> Principal | IdentityFailure:
        """Identify the caller of a request, or return why it can't be run.

        Args:
            authorizations: Values of its `Authorization` headers.
            is_public: Whether its route serves callers without a key.
            proof_age_s: Age of the freshness proof, from before its query, in seconds.
            revocation_s: Time after which a revoked key must not run a request, in seconds; 0 for
                no bound.

        >>> directory = TenantDirectory([])
        >>> directory.identify([], is_public=False, proof_age_s=0.1, revocation_s=5.0).value
        'unknown_key'
        >>> directory.identify([], is_public=False, proof_age_s=9.0, revocation_s=5.0).value
        'not_current'
        """
        owner = self._ring.owner(authorizations)
        tenant = None if owner is None else self._tenants[owner]
        if is_public:
            return Principal(tenant)
        if tenant is None:
            return (
                IdentityFailure.UNKNOWN_KEY
                if proof_age_s <= MAX_PROOF_AGE_FOR_UNKNOWN_KEY_S
                else IdentityFailure.NOT_CURRENT
            )
        return (
            Principal(tenant)
            if is_key_proof_fresh(proof_age_s, revocation_s)
            else IdentityFailure.NOT_CURRENT
        )
