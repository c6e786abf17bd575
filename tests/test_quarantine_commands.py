"""Operators' view of quarantined requests, and the command that lifts a quarantine."""

import asyncio
import hashlib
import threading
from types import SimpleNamespace

import pytest
from typer.testing import CliRunner

from crowsill.api.operators import operator_application
from crowsill.api.server import HttpServer
from crowsill.cli.main import application
from crowsill.control.operations import OperatorService
from crowsill.model.fleet import FleetView
from crowsill.model.prompt_parts import InterruptedPrompt
from crowsill.model.suspects import SuspectRequest
from crowsill.settings import HttpListener, Settings
from crowsill.state.commands import RecordCrash, ReviewParts
from crowsill.state.machine import StateMachine
from crowsill.transport.messages import Submitted

TOKEN = "operator"
CRASHING_REQUEST = SuspectRequest(b"\x0c" * 16, "r7", "shop.example/pay/a", "till", 0.1)
PART = b"\x0e" * 8
INNOCENT_REQUEST = SuspectRequest(b"\x0d" * 16, "r8", "shop.example/pay/b", "till", 0.1)


def machine():
    made = StateMachine()
    for instance_id, requests in (
        ("i-1", [CRASHING_REQUEST, INNOCENT_REQUEST]),
        ("i-2", [CRASHING_REQUEST]),
        ("i-3", [CRASHING_REQUEST]),
    ):
        made.apply(RecordCrash(instance_id, requests, 0.0, 1000.0 + int(instance_id[-1])))
    return made


class Leader:
    """A leading member whose service applies commands at once."""

    def __init__(self, state):
        self._state = state
        self.driver = SimpleNamespace(is_leader=True)
        self.leader_stream = None

    async def handle_as_leader(self, request, _driver):
        return Submitted(self._state.apply(request.command))


class OperatorSettings(str):
    """Path of an operator's settings file, with the state of the member that it names."""

    def __new__(cls, path, state):
        made = super().__new__(cls, path)
        made.state = state
        return made


@pytest.fixture
def settings(tmp_path):
    """The settings file of an operator whose member runs in a thread of this test."""
    started, loop = threading.Event(), asyncio.new_event_loop()
    state = machine()
    operations = OperatorService(Settings("c1", "z", "key"), Leader(state), state, FleetView())
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    server = HttpServer(operator_application(operations, [digest]), HttpListener("127.0.0.1", 0))

    def serve():
        asyncio.set_event_loop(loop)
        loop.run_until_complete(server.start())
        started.set()
        loop.run_forever()

    thread = threading.Thread(target=serve)
    thread.start()
    assert started.wait(10)
    path = tmp_path / "crowsill.toml"
    path.write_text(f'members = ["http://127.0.0.1:{server.port}"]\ntoken = "{TOKEN}"\n')
    yield OperatorSettings(path, state)
    asyncio.run_coroutine_threadsafe(server.stop(), loop).result(10)
    loop.call_soon_threadsafe(loop.stop)
    thread.join(10)


def command(*words):
    return CliRunner().invoke(application, ["quarantine", *words])


def test_quarantined_requests_are_listed_with_their_crashes_and_can_be_lifted(settings):
    shown = command("list", "-s", settings).output
    assert (
        f"{CRASHING_REQUEST.fingerprint.hex()} quarantined since 1970-01-01T00:16:43Z till" in shown
    )
    assert "shop.example/pay/a (last id r7)" in shown
    assert "crashed: i-1 i-2 i-3, the first at 1970-01-01T00:16:41Z" in shown
    assert INNOCENT_REQUEST.fingerprint.hex() not in shown
    assert (
        f"{INNOCENT_REQUEST.fingerprint.hex()} suspect"
        in command("list", "--suspects", "-s", settings).output
    )
    assert command("lift", CRASHING_REQUEST.fingerprint.hex(), "-s", settings).output == "lifted\n"
    again = command("lift", CRASHING_REQUEST.fingerprint.hex(), "-s", settings)
    assert again.output == "no crash is recorded for it\n"
    assert command("list", "-s", settings).output == "no request is quarantined\n"


def test_quarantined_parts_are_listed_and_can_be_lifted(settings):
    assert "part of" not in command("list", "-s", settings).output
    for number in range(5):
        prompt = InterruptedPrompt(f"p{number}", [PART], 0.1)
        at_s = 1010.0 + number
        settings.state.apply(RecordCrash(f"e-{number}", [], 0.0, at_s, [prompt]))
    settings.state.apply(ReviewParts(3600.0, 1020.0))
    shown = command("list", "-s", settings).output
    assert f"{PART.hex()} quarantined since 1970-01-01T00:16:54Z" in shown
    assert "part of 5 prompts (last id p4)" in shown
    assert "crashed: e-0 e-1 e-2 e-3 e-4, the first at 1970-01-01T00:16:50Z" in shown
    assert command("lift", PART.hex(), "-s", settings).output == "lifted\n"
    assert PART.hex() not in command("list", "-s", settings).output


def test_invalid_fingerprint_is_rejected(settings):
    refused = command("lift", "none", "-s", settings)
    assert refused.exit_code == 1 and "not hex" in refused.output


def test_trace_of_a_rejected_request_shows_the_crashes_of_replicas(tmp_path):
    log = tmp_path / "log"
    log.write_text(
        "2026-01-02T03:00:00.000Z ERROR E509 quarantined fingerprint=0c0d request=r1 node=c\n"
        "2026-01-02T03:00:00.000Z ERROR E509 quarantined fingerprint=ffff request=r2 node=c\n"
        "2026-01-02T03:59:00.000Z INFO E201 request_refused request=r9 kind=quarantined "
        'detail="replicas ended while they ran it; fingerprint 0c0d" node=g\n'
    )
    shown = CliRunner().invoke(application, ["trace", "r9", str(log)]).output
    assert "fingerprint=0c0d request=r1" in shown and "request=r2" not in shown


def test_trace_of_a_prompt_with_a_quarantined_part_shows_the_crashes_of_replicas(tmp_path):
    log = tmp_path / "log"
    log.write_text(
        "2026-01-02T03:00:00.000Z ERROR E514 parts_quarantined parts=0e0e request=r1 node=c\n"
        "2026-01-02T03:00:00.000Z ERROR E514 parts_quarantined parts=ffff request=r2 node=c\n"
        "2026-01-02T03:59:00.000Z INFO E201 request_refused request=r9 kind=quarantined "
        'detail="replicas crashed while running prompts with part 0e0e" node=g\n'
    )
    shown = CliRunner().invoke(application, ["trace", "r9", str(log)]).output
    assert "parts=0e0e request=r1" in shown and "request=r2" not in shown
