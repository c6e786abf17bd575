"""Filter for authentication: finds the tenant that sends a request."""

from returns.result import Failure, Result, Success

from crowsill.errors import ErrorKind, Problem
from crowsill.pipeline.incoming import IncomingRequest
from crowsill.pipeline.routing_table import RoutingTable, TenantRoutes

_UNKNOWN_TOKEN = Problem(ErrorKind.UNAUTHENTICATED, "a known bearer token is required")


def authenticate(request: IncomingRequest, table: RoutingTable) -> Result[TenantRoutes, Problem]:
    """Return the routes of the tenant that the bearer token belongs to."""
    owner = table.key_ring.owner([request.authorization.encode("latin-1", "replace")])
    return Failure(_UNKNOWN_TOKEN) if owner is None else Success(table.tenants[owner])
