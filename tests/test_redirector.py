"""A control process without a disk, beside members that have one."""

import asyncio
from random import Random

import aiohttp
import pytest

from crowsill.control import bootstrap
from crowsill.control import redirector as redirector_module
from crowsill.control.bootstrap import agree_with_seeds
from crowsill.control.redirector import ControlRedirector
from crowsill.settings import Address, ControlSettings, HttpListener, parse_settings
from crowsill.transport.connection import ConnectionServer
from crowsill.transport.membership_messages import FindGroup, GroupReferral, MemberBlank
from crowsill.transport.messages import NotLeader, Pong
from crowsill.transport.question import ask_once
from crowsill.transport.stream import LocalIdentity
from crowsill_lab.demo.processes import free_ports

HOST = "127.0.0.1"
SEEDS = [Address("10.1.0.1", 7), Address("10.2.0.1", 7), Address("10.3.0.1", 7)]


def local(name="n"):
    return LocalIdentity(name, f"{name}.1", "z", b"")


async def redirector(seeds):
    """Start one; return it and its HTTP port."""
    inner, outer = free_ports(2)
    control = ControlSettings(
        data_folder="",
        listen=Address(HOST, inner),
        seeds=seeds,
        registrations=HttpListener(HOST, outer),
    )
    made = ControlRedirector(control, local(), Random(1))
    await made.start()
    return made, inner, outer


async def ask(port, method="PUT", path="/instances/i-1?x=1"):
    """Return status and location of an answer."""
    async with (
        aiohttp.ClientSession() as session,
        session.request(
            method, f"http://{HOST}:{port}{path}", data=b"{}", allow_redirects=False
        ) as answer,
    ):
        return answer.status, answer.headers.get("Location")


async def member(reply):
    """Start a member that answers everything with one reply; return its address."""

    async def on_request(_connection, body):
        assert isinstance(body, FindGroup)
        return reply

    server = ConnectionServer(local("m"), on_request, lambda *_: None, lambda _: None)
    return Address(HOST, await server.start(HOST, 0)), server


def test_callers_are_refused_until_a_leader_is_known_and_then_sent_there():
    async def scenario():
        leader, leading = await member(GroupReferral([f"{HOST}:1"]))
        follower, following = await member(NotLeader(f"{HOST}:{leader.port}"))
        made, inner, outer = await redirector([])
        try:
            assert (await ask(outer))[0] == 503
            made.use_seeds(ControlSettings("", Address(HOST, inner), seeds=[follower]))
            async with asyncio.timeout(5):
                while (await ask(outer))[0] != 307:
                    await asyncio.sleep(0.05)
            _, location = await ask(outer)
            assert location == f"http://{HOST}:{outer}/instances/i-1?x=1"
            assert (await ask(outer, "GET", "/config"))[0] == 307
        finally:
            await made.stop()
            await leading.stop()
            await following.stop()

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_one_that_knows_nobody_is_told_and_passes_it_on():
    # Without a memory and with seeds that know as little, it used to answer "no leader" for ever.
    async def scenario():
        leader, leading = await member(GroupReferral([f"{HOST}:1"]))
        made, inner, outer = await redirector([])
        own = Address(HOST, inner)
        try:
            assert (await ask(outer))[0] == 503
            assert await ask_once(own, FindGroup("x:1"), local(), 1.0) == NotLeader(None)
            told = GroupReferral([f"{HOST}:{leader.port}"])
            assert await ask_once(own, told, local(), 1.0) == Pong()
            async with asyncio.timeout(5):
                while (await ask(outer))[0] != 307:
                    await asyncio.sleep(0.05)
            answer = await ask_once(own, FindGroup("x:1"), local(), 1.0)
            assert answer.leader == f"{HOST}:{leader.port}"
            # What the leader itself said counts; hearsay is over.
            assert answer.members == [f"{HOST}:1"]
        finally:
            await made.stop()
            await leading.stop()

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_a_new_leader_is_pointed_at_as_soon_as_it_says_so(monkeypatch):
    # Callers were sent to the last leader until the next question, up to 2 s later.
    monkeypatch.setattr(redirector_module, "REFRESH_INTERVAL_S", 60.0)

    async def scenario():
        new, leading = await member(GroupReferral([f"{HOST}:1"]))
        old, led = await member(GroupReferral([f"{HOST}:1"]))
        made, inner, _ = await redirector([old])
        try:
            async with asyncio.timeout(5):
                while made._locator.leader != old:
                    await asyncio.sleep(0.01)
            await led.stop()
            told = GroupReferral([f"{HOST}:{new.port}"])
            assert await ask_once(Address(HOST, inner), told, local(), 1.0) == Pong()
            async with asyncio.timeout(10):
                while made._locator.leader != new:
                    await asyncio.sleep(0.01)
        finally:
            await made.stop()
            await leading.stop()

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_other_processes_learn_that_it_never_votes():
    async def scenario():
        made, inner, _ = await redirector([])
        try:
            answer = await bootstrap.check_if_empty(Address(HOST, inner), local("other"))
            assert answer == MemberBlank("", True, may_vote=False)
        finally:
            await made.stop()

    asyncio.run(asyncio.wait_for(scenario(), 20))


@pytest.mark.parametrize(
    ("own", "diskless", "expected"),
    [
        (0, set(), [0, 1, 2]),
        (1, set(), None),
        (1, {0}, [1, 2]),
        (2, {0}, None),
        (2, {0, 1}, [2]),
    ],
)
def test_the_first_seed_with_a_disk_forms_the_group(monkeypatch, own, diskless, expected):
    async def answer(seed, _local):
        place = SEEDS.index(seed)
        return MemberBlank(f"m{place}.1", True, may_vote=place not in diskless)

    monkeypatch.setattr(bootstrap, "check_if_empty", answer)
    formed = asyncio.run(agree_with_seeds(SEEDS, SEEDS[own], local(f"m{own}")))
    if expected is None:
        assert formed is None
    else:
        assert [item.host for item in formed.members] == [SEEDS[place].host for place in expected]


def test_a_seed_that_is_not_blank_means_that_a_group_exists(monkeypatch):
    async def answer(seed, _local):
        return MemberBlank("m.1", is_blank=seed != SEEDS[2])

    monkeypatch.setattr(bootstrap, "check_if_empty", answer)
    assert asyncio.run(agree_with_seeds(SEEDS, SEEDS[0], local())) is None


def test_without_a_disk_seeds_are_needed():
    text = (
        'node = "a"\nzone = "z"\n[control]\ndata_folder = ""\nlisten = {host = "1.1.1.1", port = 1}'
    )
    assert "seeds are needed" in parse_settings(text, "x.toml").failure()
