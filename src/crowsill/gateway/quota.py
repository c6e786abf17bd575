"""Requests grants from the leader for tenants with a rate limit.

The leader keeps each tenant's token bucket, so the sum over all gateways is bounded whatever
happens to a gateway (see `tenancy/grant_ledger.py`). A request that no replica ran returns its
units for the tenant's next one at this gateway, as long as the grant is valid.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from crowsill.clock import monotonic_s
from crowsill.errors import ErrorKind
from crowsill.gateway.rejection import Rejection
from crowsill.metrics import note_tenant_units
from crowsill.model.tenants import Tenant
from crowsill.transport.messages import Body, GrantReply, GrantRequest

# Time after which a query is sent again, on the stream that is open then.
RESPONSE_TIMEOUT_S = 0.8
QUERY_RETRY_S = 0.05
# Without a leader nothing is granted. A group elects one within 0.4 to 0.8 s of a loss, and its
# gateways reach it 0.1 to 0.3 s later; a rejected caller would not be back sooner.
MAX_LEADER_WAIT_S = 1.2
NO_LEADER_RETRY_AFTER_S = 0.5


@dataclass(frozen=True, slots=True)
class Charge:
    """Units that were granted for a request.

    Attributes:
        tenant: The tenant that they are charged to.
        units: Number of units.
        expires_at_s: Time (`monotonic_s`) after which no request may begin on them.
    """

    tenant: str
    units: float
    expires_at_s: float


class QuotaGrantClient:
    """The grants of all tenants at one gateway."""

    def __init__(self, query: Callable[[GrantRequest, float], Awaitable[Body | None]]) -> None:
        """Create a client.

        Args:
            query: Sends a request to the control group; returns the reply, or None if there was
                none within the given time.
        """
        self._query = query
        self._unused: dict[str, list[Charge]] = {}

    async def charge(
        self, tenant: Tenant, units: float, deadline_at_s: float
    ) -> Charge | Rejection:
        """Obtain units for one request and wait until they may be used.

        Args:
            tenant: The tenant of the request; its rate is limited.
            units: Units that the request counts.
            deadline_at_s: Time (`monotonic_s`) after which the caller has no use for them.
        """
        unused = self._take_unused(tenant.name, units)
        if unused is not None:
            return unused
        deadline_at_s = min(deadline_at_s, monotonic_s() + MAX_LEADER_WAIT_S)
        while True:
            queried_at_s = monotonic_s()
            if queried_at_s >= deadline_at_s:
                note_tenant_units(tenant.name, "no_leader", units)
                detail = "no leader confirmed in time that the tenant's rate limit has capacity"
                return Rejection(ErrorKind.NOT_READY, detail, NO_LEADER_RETRY_AFTER_S)
            timeout_s = min(RESPONSE_TIMEOUT_S, deadline_at_s - queried_at_s)
            reply = await self._query(GrantRequest(tenant.name, units), timeout_s)
            if not isinstance(reply, GrantReply):
                await asyncio.sleep(QUERY_RETRY_S)
                continue
            if not reply.is_granted:
                note_tenant_units(tenant.name, "refused", units)
                detail = f"the tenant's rate limit has no capacity for {units:g} more units"
                return Rejection(ErrorKind.RATE_LIMITED, detail, reply.wait_s)
            await asyncio.sleep(reply.wait_s)
            # The grant took effect after the query was sent, so it is valid at least until this
            # time.
            expires_at_s = queried_at_s + reply.wait_s + reply.lifetime_s
            if monotonic_s() < expires_at_s:
                note_tenant_units(tenant.name, "granted", units)
                return Charge(tenant.name, units, expires_at_s)

    def return_units(self, charge: Charge) -> None:
        """Keep the units of a request that no replica ran."""
        self._unused.setdefault(charge.tenant, []).append(charge)

    def _take_unused(self, tenant: str, units: float) -> Charge | None:
        now_s = monotonic_s()
        valid = [item for item in self._unused.get(tenant, ()) if item.expires_at_s > now_s]
        fitting = next((item for item in valid if item.units >= units), None)
        if fitting is not None:
            valid.remove(fitting)
        self._unused[tenant] = valid
        return fitting
