"""Under overload, a first and a later try of one rank are admitted alike, at every cut."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest

from crowsill.clock import monotonic_s
from crowsill.gateway.admission_level import LevelView
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.request_pressure import RequestPressure
from crowsill.gateway.selection import NoReplicaReason
from crowsill.model.routes import Route, RouteKind
from crowsill.model.service_pressure import AdmissionLevel, ServiceLevel, TenantLevel

RANK = 2


def _is_admitted(cut_class, wait_ms):
    """Whether a request is admitted; `wait_ms` is None at a first try."""
    view = LevelView()
    cut = TenantLevel(0, cut_class, 0, 20)
    view.note(AdmissionLevel(1, 1, [ServiceLevel("s", 100, [cut])], [""]), monotonic_s())
    counter = SimpleNamespace(note_asked=lambda *_: None, note_refused=lambda *_: None)
    shared = SimpleNamespace(
        view=view, random=Random(1), counter=counter, log_changes=lambda _now_s: None
    )
    registry = SimpleNamespace(of_service=lambda _service: [])
    context = SimpleNamespace(shared_admission=shared, registry=registry)
    request = CallerRequest(b"POST", b"/", [], b"", True, 0.0, wait_ms=wait_ms)
    route = Route(
        "r", "h", "/", RouteKind.AT_MOST_ONCE, 30000, [], target_latency_ms=20000, rank=RANK
    )
    admission = SimpleNamespace(rank=lambda found: found.rank, tenant=None)
    pressure = RequestPressure(context, request, is_from_peer=False)
    return pressure.admit(route, "s", admission, lambda _route: NoReplicaReason.ALL_FULL) is None


@pytest.mark.parametrize("cut_class", range(8))
def test_a_later_try_is_admitted_like_a_first_one(cut_class):
    async def scenario():
        assert _is_admitted(cut_class, None) == _is_admitted(cut_class, 25000.0)

    asyncio.run(scenario())
