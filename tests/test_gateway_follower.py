"""When a gateway counts as current, and which control member it follows."""

import asyncio
from random import Random
from types import SimpleNamespace

from crowsill.gateway import follower as follower_module
from crowsill.gateway.crash_guard import CrashGuard
from crowsill.gateway.follower import GatewayFollower, GatewayHooks
from crowsill.gateway.replica_registry import ReplicaRegistry
from crowsill.logs import configure_logs
from crowsill.model.instances import Instance
from crowsill.settings import Address
from crowsill.state.directory import DirectoryChange
from crowsill.state.route_store import RouteDocument
from crowsill.transport.connection import ConnectionServer
from crowsill.transport.messages import DirectoryUpdate, Freshness, MemberBehind, RoutesUpdate
from crowsill.transport.stream import LocalIdentity


class ConfirmingMember:
    """A stream to a member that confirms given versions."""

    def __init__(self, routes_version, directory_version):
        self.currency = Freshness(0, 3, [], routes_version, directory_version)
        self.peer = SimpleNamespace(node="m1")

    async def request(self, _heartbeat, _timeout_s):
        return self.currency


def follower(current):
    def note_current(gateways, _proved_s):
        current.append(gateways)

    guard = CrashGuard()
    hooks = GatewayHooks(lambda document: None, lambda ended: None, note_current, guard.adopt)
    local = LocalIdentity("g1", "g1.1", "z", b"k" * 32)
    return GatewayFollower(local, [], ReplicaRegistry(), guard, hooks=hooks, random=Random(1))


def routes(version):
    return RoutesUpdate(RouteDocument(version, b""))


def directory(version):
    found = Instance("i-1", "s", "127.0.0.1:1", "z", 4)
    return DirectoryUpdate(DirectoryChange(version, [found], []), True)


def test_a_gateway_is_current_as_soon_as_it_has_what_was_confirmed():
    # After a restart of all machines, gateways had received everything half a second to two seconds
    # before the next heartbeat. Without this they would queue all requests until that heartbeat.
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


def test_updates_without_a_confirmation_prove_nothing():
    current = []
    here = follower(current)
    here._on_push(None, routes(7))
    here._on_push(None, directory(3))
    assert current == []


def test_the_confirmation_of_a_lost_member_is_discarded():
    async def scenario():
        current = []
        here = follower(current)
        assert await here._heartbeat(ConfirmingMember(7, 0))
        here.note_disconnected()
        here._on_push(None, routes(7))
        assert current == []

    asyncio.run(scenario())


def test_a_member_that_lacks_what_it_confirmed_is_left_and_logged():
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


class ZoneMember:
    """A control member with a real listener that reports the zones of all members."""

    def __init__(self, zone):
        self.zone = zone
        self.heartbeats = 0
        self.is_behind = False

    async def start(self):
        local = LocalIdentity(f"c-{self.zone}", f"c-{self.zone}.1", self.zone, b"k" * 32)
        self._server = ConnectionServer(
            local, self._answer, lambda _stream, _body: None, lambda _stream: None
        )
        self.address = Address("127.0.0.1", await self._server.start("127.0.0.1", 0))
        return self

    async def _answer(self, _stream, _body):
        self.heartbeats += 1
        if self.is_behind:
            return MemberBehind()
        members = [f"{item.address.host}:{item.address.port}" for item in self.group]
        return Freshness(0, 3, members, member_zones=[item.zone for item in self.group])

    @property
    def followers(self):
        return len(self._server.connections)

    async def stop(self):
        await self._server.stop()


async def _until(is_so):
    async with asyncio.timeout(5):
        while not is_so():
            await asyncio.sleep(0.01)


def _play_zones(monkeypatch, scenario):
    """Run a scenario with a gateway of zone `z` that knows only the member of another zone."""
    monkeypatch.setattr(follower_module, "HEARTBEAT_S", 0.02)
    monkeypatch.setattr(follower_module, "ZONE_SWITCH_SPREAD_S", 0.1)
    monkeypatch.setattr(follower_module, "ZONE_SWITCH_RETRY_S", 0.2)

    async def play():
        home, abroad = await ZoneMember("z").start(), await ZoneMember("y").start()
        home.group = abroad.group = [abroad, home]
        current = []
        here = follower(current)
        here.use_seeds([abroad.address])
        running = asyncio.create_task(here.run())
        try:
            await scenario(home, abroad, current)
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            await home.stop()
            await abroad.stop()

    asyncio.run(play())


def test_a_current_gateway_switches_to_the_member_of_its_own_zone(monkeypatch):
    # If each of 195 gateways in five zones followed any member, four in five pushes of the
    # directory, 30 to 110 per second, would cross between zones: 0.15 to 0.37 GB in 34 s.
    async def scenario(home, abroad, current):
        await _until(lambda: home.followers == 1 and abroad.followers == 0)
        assert current, "it is served by the member that it reaches first"
        seen = abroad.heartbeats
        await _until(lambda: home.heartbeats > 10)
        assert abroad.heartbeats == seen

    _play_zones(monkeypatch, scenario)


def test_a_gateway_whose_own_member_lags_follows_another_and_comes_back(monkeypatch):
    async def scenario(home, abroad, _current):
        await _until(lambda: home.followers == 1 and abroad.followers == 0)
        home.is_behind = True
        await _until(lambda: abroad.followers == 1)
        asked = home.heartbeats
        seen = abroad.heartbeats
        await _until(lambda: abroad.heartbeats > seen + 3)
        assert home.heartbeats <= asked + 1, "it is not tried again at once"
        home.is_behind = False
        await _until(lambda: home.followers == 1 and abroad.followers == 0)

    _play_zones(monkeypatch, scenario)
