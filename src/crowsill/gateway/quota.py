"""A gateway's grants: asks the leader for what a tenant's requests need.

The leader keeps each tenant's bucket, so that the sum over all gateways is bounded whatever becomes
of a gateway (see `tenancy/grant_ledger.py`). A request that nobody ran gives its units back for the
tenant's next one at this gateway, as long as the grant is good.
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

# Time after which a question is asked again, on whatever stream there is then.
RESPONSE_TIMEOUT_S = 0.8
QUERY_RETRY_S = 0.05
# Without a leader nothing is granted. A group elects one within 0.4 to 0.8 s of a loss, and its
# gateways reach it 0.1 to 0.3 s later; a caller that is sent away comes back no sooner.
MAX_LEADER_WAIT_S = 1.2
NO_LEADER_RETRY_AFTER_S = 0.5


@dataclass(frozen=True, slots=True)
class Charge:
    """Units that were granted for a request.

    Attributes:
        tenant: Whose they are.
        units: How many.
        expires_at_s: Clock after which no request may begin on them.
    """

    tenant: str
    units: float
    expires_at_s: float


class GrantClient:
    """The grants of all tenants at one gateway."""

    def __init__(self, query: Callable[[GrantRequest, float], Awaitable[Body | None]]) -> None:
        """Make a client.

        Args:
            query: Sends a question to the group; the reply, or None when there was none within the
                time given.
        """
        self._query = query
        self._unused: dict[str, list[Charge]] = {}

    async def charge(
        self, tenant: Tenant, units: float, deadline_at_s: float
    ) -> Charge | Rejection:
        """Have units granted for one request; wait until they may be used.

        Args:
            tenant: Whose request it is; its rate is limited.
            units: What it counts.
            deadline_at_s: Clock (`monotonic_s`) after which the caller has no use for it.
        """
        unused = self._take_unused(tenant.name, units)
        if unused is not None:
            return unused
        deadline_at_s = min(deadline_at_s, monotonic_s() + MAX_LEADER_WAIT_S)
        while True:
            queried_at_s = monotonic_s()
            if queried_at_s >= deadline_at_s:
                note_tenant_units(tenant.name, "no_leader", units)
                detail = "nobody could say whether the tenant's rate has room"
                return Rejection(ErrorKind.NOT_READY, detail, NO_LEADER_RETRY_AFTER_S)
            timeout_s = min(RESPONSE_TIMEOUT_S, deadline_at_s - queried_at_s)
            reply = await self._query(GrantRequest(tenant.name, units), timeout_s)
            if not isinstance(reply, GrantReply):
                await asyncio.sleep(QUERY_RETRY_S)
                continue
            if not reply.is_granted:
                note_tenant_units(tenant.name, "refused", units)
                detail = f"the tenant's rate has no room for {units:g} more"
                return Rejection(ErrorKind.RATE_LIMITED, detail, reply.wait_s)
            await asyncio.sleep(reply.wait_s)
            # It took effect after it was asked for, so it is good for at least as long as this.
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
