"""A control process without a data folder, together with members that have one."""

import asyncio
from random import Random

import aiohttp
import pytest

from crowsill.control import bootstrap
from crowsill.control import redirector as redirector_module
from crowsill.control.bootstrap import agree_on_seed_members
from crowsill.control.redirector import ControlRedirector
from crowsill.settings import Address, ControlSettings, HttpListener, parse_settings
from crowsill.transport.connection import ConnectionServer
from crowsill.transport.membership_messages import EmptyCheckReply, FindGroup, GroupReferral
from crowsill.transport.messages import NotLeader, Pong
from crowsill.transport.query import query_once
from crowsill.transport.stream import LocalIdentity
from crowsill_lab.demo.processes import free_ports

HOST = "127.0.0.1"
SEEDS = [Address("10.1.0.1", 7), Address("10.2.0.1", 7), Address("10.3.0.1", 7)]


def local(name="n"):
    return LocalIdentity(name, f"{name}.1", "z", b"")


async def start_redirector(seeds):
    """Start a redirector; return it with its inner port and its HTTP port."""
    inner, outer = free_ports(2)
    control = ControlSettings(
        data_folder="",
        listen=Address(HOST, inner),
        seeds=seeds,
        registrations=HttpListener(HOST, outer),
    )
    control_redirector = ControlRedirector(control, local(), Random(1))
    await control_redirector.start()
    return control_redirector, inner, outer


async def send_request(port, method="PUT", path="/instances/i-1?x=1"):
    """Return status and location of a response."""
    async with (
        aiohttp.ClientSession() as session,
        session.request(
            method, f"http://{HOST}:{port}{path}", data=b"{}", allow_redirects=False
        ) as response,
    ):
        return response.status, response.headers.get("Location")


async def start_member(reply):
    """Start a member that sends the same reply to every request; return its address and server."""

    async def on_request(_connection, body):
        assert isinstance(body, FindGroup)
        return reply

    server = ConnectionServer(local("m"), on_request, lambda *_: None, lambda _: None)
    return Address(HOST, await server.start(HOST, 0)), server


def test_callers_get_503_until_a_leader_is_known_and_then_a_redirect():
    async def scenario():
        leader, leader_server = await start_member(GroupReferral([f"{HOST}:1"]))
        follower, follower_server = await start_member(NotLeader(f"{HOST}:{leader.port}"))
        control_redirector, inner, outer = await start_redirector([])
        try:
            assert (await send_request(outer))[0] == 503
            control_redirector.use_seeds(
                ControlSettings("", Address(HOST, inner), seeds=[follower])
            )
            async with asyncio.timeout(5):
                while (await send_request(outer))[0] != 307:
                    await asyncio.sleep(0.05)
            _, location = await send_request(outer)
            assert location == f"http://{HOST}:{outer}/instances/i-1?x=1"
            assert (await send_request(outer, "GET", "/config"))[0] == 307
        finally:
            await control_redirector.stop()
            await leader_server.stop()
            await follower_server.stop()

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_redirector_without_contacts_learns_the_group_from_a_referral():
    # A process without stored state whose seeds have none either must not respond "no leader" for
    # good: it learns the group from the leader's referral.
    async def scenario():
        leader, leader_server = await start_member(GroupReferral([f"{HOST}:1"]))
        control_redirector, inner, outer = await start_redirector([])
        own_address = Address(HOST, inner)
        try:
            assert (await send_request(outer))[0] == 503
            assert await query_once(own_address, FindGroup("x:1"), local(), 1.0) == NotLeader(None)
            referral = GroupReferral([f"{HOST}:{leader.port}"])
            assert await query_once(own_address, referral, local(), 1.0) == Pong()
            async with asyncio.timeout(5):
                while (await send_request(outer))[0] != 307:
                    await asyncio.sleep(0.05)
            response = await query_once(own_address, FindGroup("x:1"), local(), 1.0)
            assert response.leader == f"{HOST}:{leader.port}"
            # The leader's own response replaces the addresses from referrals.
            assert response.members == [f"{HOST}:1"]
        finally:
            await control_redirector.stop()
            await leader_server.stop()

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_redirector_follows_a_new_leader_as_soon_as_it_announces_itself(monkeypatch):
    # Without the announcement callers are redirected to the former leader for up to 2 s.
    monkeypatch.setattr(redirector_module, "REFRESH_INTERVAL_S", 60.0)

    async def scenario():
        new, leader_server = await start_member(GroupReferral([f"{HOST}:1"]))
        old, old_server = await start_member(GroupReferral([f"{HOST}:1"]))
        control_redirector, inner, _ = await start_redirector([old])
        try:
            async with asyncio.timeout(5):
                while control_redirector._locator.leader != old:
                    await asyncio.sleep(0.01)
            await old_server.stop()
            referral = GroupReferral([f"{HOST}:{new.port}"])
            assert await query_once(Address(HOST, inner), referral, local(), 1.0) == Pong()
            async with asyncio.timeout(10):
                while control_redirector._locator.leader != new:
                    await asyncio.sleep(0.01)
        finally:
            await control_redirector.stop()
            await leader_server.stop()

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_redirector_reports_that_it_never_votes():
    async def scenario():
        control_redirector, inner, _ = await start_redirector([])
        try:
            response = await bootstrap.check_if_empty(Address(HOST, inner), local("other"))
            assert response == EmptyCheckReply("", True, may_vote=False)
        finally:
            await control_redirector.stop()

    asyncio.run(asyncio.wait_for(scenario(), 20))


@pytest.mark.parametrize(
    ("own", "without_disk", "expected"),
    [
        (0, set(), [0, 1, 2]),
        (1, set(), None),
        (1, {0}, [1, 2]),
        (2, {0}, None),
        (2, {0, 1}, [2]),
    ],
)
def test_the_first_seed_with_a_disk_forms_the_group(monkeypatch, own, without_disk, expected):
    async def response(seed, _local):
        position = SEEDS.index(seed)
        return EmptyCheckReply(f"m{position}.1", True, may_vote=position not in without_disk)

    monkeypatch.setattr(bootstrap, "check_if_empty", response)
    formed = asyncio.run(agree_on_seed_members(SEEDS, SEEDS[own], local(f"m{own}")))
    if expected is None:
        assert formed is None
    else:
        assert [item.host for item in formed.members] == [
            SEEDS[position].host for position in expected
        ]


def test_a_seed_that_is_not_empty_shows_that_a_group_exists(monkeypatch):
    async def response(seed, _local):
        return EmptyCheckReply("m.1", is_empty=seed != SEEDS[2])

    monkeypatch.setattr(bootstrap, "check_if_empty", response)
    assert asyncio.run(agree_on_seed_members(SEEDS, SEEDS[0], local())) is None


def test_settings_without_a_data_folder_require_seeds():
    text = (
        'node = "a"\nzone = "z"\n[control]\ndata_folder = ""\nlisten = {host = "1.1.1.1", port = 1}'
    )
    assert "seeds are needed" in parse_settings(text, "x.toml").failure()
