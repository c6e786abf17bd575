"""The ports through which outside systems are spoken to, with the product's own defaults.

A deployment on a platform with a dialect of its own passes other implementations to `run_daemon`;
nothing else in the product knows that dialect.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from crowsill.backends.engine_calls import EngineCalls
from crowsill.gateway.headers import HeaderNames
from crowsill.model.route_codec import JsonRouteCodec, RouteCodec

if TYPE_CHECKING:
    from crowsill.control.registrations import Registrations


def _own_registration_application(registrations: "Registrations") -> Any:  # noqa: ANN401
    # Imported late: the entry and gateway roles do without the control members' HTTP interface.
    from crowsill.api.registrations import registration_application

    return registration_application(registrations)


@dataclass(frozen=True, slots=True)
class PlatformPorts:
    """How a daemon speaks to callers, replicas and operators of routes.

    Attributes:
        header_names: Headers of requests and answers.
        codec: Reads route documents.
        registration_application: Makes the ASGI application for replicas that register
            themselves and for operators of routes.
        engine_calls: Makes the port to registered engines; None where no models are placed.
    """

    header_names: HeaderNames = field(default_factory=HeaderNames)
    codec: RouteCodec = field(default_factory=JsonRouteCodec)
    registration_application: Callable[["Registrations"], Any] = _own_registration_application
    engine_calls: Callable[[], EngineCalls] | None = None
