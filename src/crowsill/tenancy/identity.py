"""Whose request it is, and whether that is known well enough to run it now. Pure.

A key that was taken away must run nothing later than a bound after the operator was told so, at any
gateway, in touch with the group or not. A gateway therefore runs a request only while its proof of
being current is younger than that bound: `proof_age_s` counts from before the gateway asked what is
current, so whatever had been acknowledged by then is in force here. A request that is run now was
sent before now; so a key that was taken away earlier than the bound before its sending was taken
away before the question, and is not in the ring any more.
"""

from dataclasses import dataclass
from enum import StrEnum

from crowsill.model.tenants import Tenant
from crowsill.tenancy.key_ring import KeyRing

# How long before the bound a gateway stops: what is sent to a replica is to arrive before it, and
# the clocks of two machines may run apart. A lost packet is sent again after 0.2 to 0.6 s.
REVOCATION_MARGIN_S = 1.0
# A key counts as unknown only where the proof is no older. A gateway that is in touch asks each
# 0.5 s and waits 0.8 s at most; new keys are to be served 2 s after they were acknowledged.
NEW_KEY_PROOF_S = 1.5


class IdentityFailure(StrEnum):
    """Why a request is not run.

    Attributes:
        UNKNOWN_KEY: Nobody has the key, by what is known to be current.
        NOT_CURRENT: What is known here may be too old to tell.
    """

    UNKNOWN_KEY = "unknown_key"
    NOT_CURRENT = "not_current"


def proves_keys(proof_age_s: float, revocation_s: float) -> bool:
    """Whether a proof of this age tells which keys are in force.

    Args:
        proof_age_s: Time since this process asked what is current and was told.
        revocation_s: Time after which a key that was taken away runs nothing; 0 for no bound.

    >>> proves_keys(3.9, 5.0), proves_keys(4.1, 5.0), proves_keys(60.0, 0.0)
    (True, False, True)
    """
    return revocation_s <= 0.0 or proof_age_s <= revocation_s - REVOCATION_MARGIN_S


@dataclass(frozen=True, slots=True)
class Principal:
    """A caller that may use its route.

    Attributes:
        tenant: Whose key it showed; None on a route that needs none.
    """

    tenant: Tenant | None


class TenantDirectory:
    """The tenants of one configuration."""

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
        """Decide on one request.

        Args:
            authorizations: Values of its `Authorization` headers.
            is_public: Whether its route serves callers without a key.
            proof_age_s: Time since this process asked what is current and was told.
            revocation_s: Time after which a key that was taken away runs nothing; 0 for no bound.

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
                if proof_age_s <= NEW_KEY_PROOF_S
                else IdentityFailure.NOT_CURRENT
            )
        return (
            Principal(tenant)
            if proves_keys(proof_age_s, revocation_s)
            else IdentityFailure.NOT_CURRENT
        )
