"""Operators' view of replicas that are backing off, draining or unreachable."""

import asyncio
import hashlib
import threading
from types import SimpleNamespace

import msgspec
import pytest
from typer.testing import CliRunner

from crowsill.api.operators import operator_application
from crowsill.api.server import HttpServer
from crowsill.cli.main import application
from crowsill.control.operations import OperatorService
from crowsill.control.replica_grants import ReplicaGrants
from crowsill.control.replica_overview import RegisteredReplicaLine
from crowsill.gateway.replica_registry import ReplicaRegistry
from crowsill.model.exclusions import MAX_REPORTED_EXCLUSIONS
from crowsill.model.fleet import FleetView
from crowsill.model.instances import Instance, LoadedModel, ReplicaHeartbeat
from crowsill.model.replica_limits import LimitReport
from crowsill.settings import HttpListener, Settings
from crowsill.state.commands import DrainInstance, RecordHeartbeat
from crowsill.state.directory import DirectoryChange
from crowsill.state.machine import StateMachine
from crowsill.transport.messages import EntryStatus

TOKEN = "operator"


def instance(number, **more):
    return Instance(f"i-{number}", "till", f"127.0.0.1:{number}", "z", 8, **more)


def gateway_view():
    """Return a gateway's exclusions of replicas: backing off, draining and unreachable."""
    registry = ReplicaRegistry()
    listed = [instance(number) for number in range(1, 5)]
    registry.adopt(DirectoryChange(1, listed, []), True, 0.0)
    registry.find("i-1").availability.note_backoff(2.5, now_s=0.0)
    registry.find("i-2").note_draining(0.0)
    registry.find("i-3").availability.note_unreachable()
    return registry.excluded(0.5)


class Member:
    """A leader or follower that has received a report from one gateway."""

    def __init__(self, leads):
        self.driver = SimpleNamespace(is_leader=leads)
        entry = EntryStatus("g-1.abc", "g-1", "z", 0, gateway_view())
        entries = SimpleNamespace(live=lambda _now_s: [entry])
        grants = ReplicaGrants()
        grants.note([LimitReport("i-3", 1.5, advertised_ago_s=0.2)])
        self.reports = SimpleNamespace(live_entries=entries, replica_grants=grants)


@pytest.fixture
def settings(tmp_path):
    """The settings file of an operator with two members, of which the second leads."""
    started, loop = threading.Event(), asyncio.new_event_loop()
    state = StateMachine()
    for number in range(1, 5):
        models = [LoadedModel("m")] if number == 4 else []
        state.apply(RecordHeartbeat(ReplicaHeartbeat(instance(number, models=models), 1)))
    state.apply(DrainInstance("i-2"))
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    servers = []
    for leads in (False, True):
        operations = OperatorService(Settings("c1", "z", "key"), Member(leads), state, FleetView())
        listener = HttpListener("127.0.0.1", 0)
        servers.append(HttpServer(operator_application(operations, [digest]), listener))

    def serve():
        asyncio.set_event_loop(loop)
        for server in servers:
            loop.run_until_complete(server.start())
        started.set()
        loop.run_forever()

    thread = threading.Thread(target=serve)
    thread.start()
    assert started.wait(10)
    path = tmp_path / "crowsill.toml"
    members = ", ".join(f'"http://127.0.0.1:{server.port}"' for server in servers)
    path.write_text(f'members = [{members}]\ntoken = "{TOKEN}"\n')
    yield str(path)
    for server in servers:
        asyncio.run_coroutine_threadsafe(server.stop(), loop).result(10)
    loop.call_soon_threadsafe(loop.stop)
    thread.join(10)


def test_replicas_are_listed_with_the_gateways_that_exclude_them_reason_and_time(settings):
    shown = CliRunner().invoke(application, ["replicas", "-s", settings]).output
    assert shown.splitlines() == [
        "till i-1 z 127.0.0.1:1 ready",
        "  g-1: resting for 2.0 s more",
        "till i-2 z 127.0.0.1:2 draining",
        "  g-1: leaving",
        "till i-3 z 127.0.0.1:3 ready",
        "  advertises a rate limit of 1.5 requests per second: 0 granted by this leader",
        "  g-1: unreachable",
        "till i-4 z 127.0.0.1:4 ready holds m",
    ]
    encoded = CliRunner().invoke(application, ["replicas", "--json", "-s", settings]).output
    lines = msgspec.json.decode(encoded, type=list[RegisteredReplicaLine])
    assert [(line.instance_id, line.limit_per_s) for line in lines][2:] == [
        ("i-3", 1.5),
        ("i-4", None),
    ]
    shown = CliRunner().invoke(application, ["replicas", "--excluded", "-s", settings]).output
    assert "i-4" not in shown and "i-1" in shown


def test_heartbeat_reports_a_bounded_number_of_exclusions_the_most_severe_first():
    registry = ReplicaRegistry()
    listed = [instance(number) for number in range(1, 60)]
    registry.adopt(DirectoryChange(1, listed, []), True, 0.0)
    for number in range(1, 60):
        registry.find(f"i-{number}").availability.note_backoff(5.0, now_s=0.0)
    registry.find("i-59").note_draining(0.0)
    exclusions = registry.excluded(0.0)
    assert len(exclusions) == MAX_REPORTED_EXCLUSIONS and exclusions[0].instance_id == "i-59"
