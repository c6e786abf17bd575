"""When a gateway counts as current, by what the group confirmed and what has come."""

import asyncio
from random import Random
from types import SimpleNamespace

from crowsill.gateway.crash_guard import CrashGuard
from crowsill.gateway.follower import GatewayFollower, GatewayHooks
from crowsill.gateway.replica_book import ReplicaBook
from crowsill.logs import configure_logs
from crowsill.model.instances import Instance
from crowsill.state.directory import DirectoryChange
from crowsill.state.route_store import RouteDocument
from crowsill.transport.messages import Currency, DirectoryUpdate, RoutesUpdate
from crowsill.transport.stream import LocalIdentity


class ConfirmingMember:
    """A stream to a member that confirms given versions."""

    def __init__(self, routes_version, directory_version):
        self.currency = Currency(0, 3, [], routes_version, directory_version)
        self.peer = SimpleNamespace(node="m1")

    async def request(self, _heartbeat, _timeout_s):
        return self.currency


def follower(current):
    def note_current(gateways, _proved_s):
        current.append(gateways)

    guard = CrashGuard()
    hooks = GatewayHooks(lambda document: None, lambda ended: None, note_current, guard.adopt)
    local = LocalIdentity("g1", "g1.1", "z", b"k" * 32)
    return GatewayFollower(local, [], ReplicaBook(), guard, hooks=hooks, random=Random(1))


def routes(version):
    return RoutesUpdate(RouteDocument(version, b""))


def directory(version):
    found = Instance("i-1", "s", "127.0.0.1:1", "z", 4)
    return DirectoryUpdate(DirectoryChange(version, [found], []), True)


def test_a_gateway_is_current_as_soon_as_what_was_confirmed_has_come():
    # Found after the loss of all power on the second site: gateways had everything half a second to
    # two seconds before the next heartbeat that said so, and held all requests meanwhile.
    async def scenario():
        current = []
        here = follower(current)
        assert await here._heartbeat(ConfirmingMember(7, 3))
        here._on_push(None, routes(6))
        here._on_push(None, directory(3))
        assert current == [], "an older version was confirmed before"
        here._on_push(None, routes(7))
        assert current == [3]

    asyncio.run(scenario())


def test_what_comes_without_a_confirmation_proves_nothing():
    current = []
    here = follower(current)
    here._on_push(None, routes(7))
    here._on_push(None, directory(3))
    assert current == []


def test_what_a_lost_member_confirmed_is_forgotten():
    async def scenario():
        current = []
        here = follower(current)
        assert await here._heartbeat(ConfirmingMember(7, 0))
        here.lost()
        here._on_push(None, routes(7))
        assert current == []

    asyncio.run(scenario())


def test_a_member_that_does_not_bring_what_it_confirmed_is_left_and_named_in_the_log():
    lines = []
    configure_logs("g1", "INFO", lines.append)

    async def scenario():
        here = follower([])
        member = ConfirmingMember(7, 3)
        assert await here._heartbeat(member)
        here._on_push(None, routes(7))
        assert lines == []
        assert not await here._heartbeat(member)

    asyncio.run(scenario())
    assert "E409 routes_awaited member=m1 routes=7 confirmed_routes=7 directory=0" in lines[0]
