"""Interfaces to outside systems, with the product's own defaults.

A deployment on a platform with its own protocols passes other implementations to `run_daemon`.
Nothing else in the product depends on those protocols.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from crowsill.backends.engine_calls import EngineCalls
from crowsill.gateway.headers import HeaderNames
from crowsill.model.route_codec import JsonRouteCodec, RouteCodec

if TYPE_CHECKING:
    from crowsill.control.registrations import Registrations


def _default_registration_application(registrations: "Registrations") -> Any:  # noqa: ANN401
    # Imported late because the entry and gateway roles do not need the HTTP API of control members.
    from crowsill.api.registrations import registration_application

    return registration_application(registrations)


@dataclass(frozen=True, slots=True)
class PlatformPorts:
    """Interfaces of a daemon to callers, replicas and operators of routes.

    Attributes:
        header_names: Header names of requests and responses.
        codec: Decodes route documents.
        registration_application: Creates the ASGI application for replicas that register
            themselves and for operators of routes.
        engine_calls: Creates the client for registered engines; None if no models are placed.
    """

    header_names: HeaderNames = field(default_factory=HeaderNames)
    codec: RouteCodec = field(default_factory=JsonRouteCodec)
    registration_application: Callable[["Registrations"], Any] = _default_registration_application
    engine_calls: Callable[[], EngineCalls] | None = None
