"""Admits a request: identifies its tenant and charges the tenant's rate."""

import asyncio

from crowsill.clock import monotonic_s
from crowsill.errors import ErrorKind
from crowsill.gateway.context import ExchangeContext
from crowsill.gateway.headers import all_values
from crowsill.gateway.quota import Charge
from crowsill.gateway.rejection import Rejection
from crowsill.gateway.request import CallerRequest
from crowsill.model.routes import Route
from crowsill.model.tenants import Tenant
from crowsill.tenancy.identity import IdentityFailure, Principal

# A gateway that resumes after a freeze, or whose member was lost, regains current state within this
# time: by one reply to a heartbeat (0.8 s at most), or by a new stream.
MAX_FRESHNESS_WAIT_S = 0.8
POLL_S = 0.1
STALE_RETRY_AFTER_S = 0.5
_UNKNOWN_KEY = Rejection(ErrorKind.UNAUTHENTICATED, "a known key is required")
_STALE = Rejection(
    ErrorKind.NOT_READY,
    "this gateway cannot prove that its keys are current",
    STALE_RETRY_AFTER_S,
)


class Admission:
    """Identity and charge of one request.

    Attributes:
        requires_key: Whether callers need keys; then keys are not forwarded.
        tenant: The caller's tenant; None without tenants, and for callers without a key.
        units: Units that it counts against the tenant's rate; 0 if that is not limited.
    """

    def __init__(
        self, context: ExchangeContext, request: CallerRequest, is_charged: bool = True
    ) -> None:
        """Create the admission of one request.

        Args:
            context: The gateway process.
            request: The request.
            is_charged: Whether this gateway charges the tenant; a peer that passed the request on
                has charged it.
        """
        self._is_charged = is_charged
        self.requires_key = False
        self.tenant: Tenant | None = None
        self.units = 0.0
        self._context = context
        self._request = request
        self._is_public = False
        self._charge: Charge | None = None

    def rank(self, route: Route) -> int:
        """Return the rank of the request; the tenant's rank takes precedence over the route's."""
        if self.tenant is None or self.tenant.rank is None:
            return route.rank
        return self.tenant.rank

    async def admit(self, route: Route, deadline_at_s: float) -> Rejection | None:
        """Decide whether the request may run; return a rejection if not.

        Args:
            route: Its route.
            deadline_at_s: Time (`monotonic_s`) after which the caller has no use for a response.
        """
        self._is_public = route.public
        wait_ends_at_s = min(deadline_at_s, monotonic_s() + MAX_FRESHNESS_WAIT_S)
        rejection = self.recheck()
        while rejection is _STALE and monotonic_s() < wait_ends_at_s:
            await self._context.wait_for_change(POLL_S)
            rejection = self.recheck()
        if rejection is not None:
            return rejection
        return await self._charge_units(deadline_at_s)

    def recheck(self) -> Rejection | None:
        """Check again that the caller's key is valid.

        The caller must not await anything between this check and sending the request.
        """
        table = self._context.table
        directory = None if table is None else table.tenants
        self.requires_key = directory is not None
        if directory is None:
            self.tenant = None
            return None
        found = directory.identify(
            all_values(self._request.headers, b"authorization"),
            is_public=self._is_public,
            proof_age_s=self._context.proof_age_s(),
            revocation_s=self._context.revocation_s,
        )
        if isinstance(found, Principal):
            self.tenant = found.tenant
            return None
        return _UNKNOWN_KEY if found is IdentityFailure.UNKNOWN_KEY else _STALE

    async def charge_again(self, deadline_at_s: float) -> Rejection | None:
        """Charge another run, because a replica may have run the request already."""
        self._charge = None
        return await self._charge_units(deadline_at_s)

    async def _charge_units(self, deadline_at_s: float) -> Rejection | None:
        tenant = self.tenant
        # A request on a public route is charged to no tenant: anybody may send it without a key.
        if tenant is None or not tenant.is_limited or self._is_public or not self._is_charged:
            return None
        self.units = tenant.cost(self._request.prompt_tokens + self._request.output_tokens)
        charged = await self._context.quota_grants.charge(tenant, self.units, deadline_at_s)
        if isinstance(charged, Rejection):
            return charged
        self._charge = charged
        return None

    def return_units(self) -> None:
        """Return the charged units for the tenant's next request: no replica ran this one."""
        charge, self._charge = self._charge, None
        if charge is not None:
            self._context.quota_grants.return_units(charge)


def to_monotonic_at_s(loop_deadline_s: float) -> float:
    """Convert a deadline of the event loop to the clock that also runs during a freeze."""
    return monotonic_s() + loop_deadline_s - asyncio.get_running_loop().time()
