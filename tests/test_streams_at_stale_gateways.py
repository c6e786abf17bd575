"""Streams that callers resume at a gateway that does not know the newest replicas."""

import asyncio
import contextlib
import re
import time

import msgspec
import pytest

from crowsill.model.stream_origins import StreamOrigin, StreamOriginRecord
from crowsill.transport.stream_messages import FoundStreamOrigin
from tests.gateway_world import run, world
from tests.resumed_streams import adopt_versions, answer_by_member, events_of, resuming, streaming
from tests.stream_site import StreamCaller, StreamingReplica, stream_site

STREAMS = 60
EVENTS_BEFORE_BREAK = 5
# Members that stand still for this time answer nothing while a gateway looks for a stream's origin.
MEMBER_PAUSE_S = 2.0
CALLER_TIMEOUT_S = 12.0
# Of streams that are resumed while replicas of their version serve, this share continues.
MIN_CONTINUED_SHARE = 0.9


def followed_member(site, front):
    """Return the member that a gateway follows."""
    names = re.findall(r"E304 peer_connected member=(\S+)", front.log.read_text())
    return next(member for member in site.core if member.name == names[-1])


async def begin_streams(fronts):
    """Begin streams and break all of them off after some events; return their callers."""
    callers = [StreamCaller(number, breaks_after=EVENTS_BEFORE_BREAK) for number in range(STREAMS)]
    begun = [caller.try_at(fronts[caller.number % len(fronts)]) for caller in callers]
    await asyncio.gather(*begun)
    return callers


async def resume_streams(callers, front):
    """Resume all streams at one gateway, again and again until they end."""
    until_at_s = time.monotonic() + CALLER_TIMEOUT_S
    await asyncio.gather(*(caller.follow([front], until_at_s) for caller in callers))


def check_versions(callers):
    """Check that streams of both versions began and that none has events of both."""
    assert {caller.events[0][1] for caller in callers} == {"v1", "v2"}
    assert [caller.events for caller in callers if len(caller.versions) > 1] == []
    assert all(caller.is_in_order for caller in callers)


# Members and gateways on machines of their own, or three members beside gateways.
APART = {"fronts": 4}
TOGETHER = {"fronts": 4, "core": 3, "shares_machines": True}


@contextlib.asynccontextmanager
async def site_with_a_stale_gateway(folder, machines):
    """Start a site in which replicas of a version join while the first gateway stands still.

    The member that it follows stands still, too, since what that member had sent before would be
    read first. It is the one on the gateway's machine, unless that one started late.
    """
    async with stream_site(folder, ("v1", "v1"), **machines) as (site, replicas):
        stale, *others = site.fronts
        member = followed_member(site, stale)
        stale.pause()
        member.pause()
        for number in (8, 9):
            replicas.append(await StreamingReplica(site, number, "v2").start())
        await site.until(lambda: all_serve_version(others, "v2"))
        yield site, stale, others, member


async def all_serve_version(fronts, version):
    """Whether a new stream at each gateway was begun by a version."""
    for front in fronts:
        caller = StreamCaller(0xFFFF, breaks_after=1)
        await caller.try_at(front)
        if caller.versions != {version}:
            return False
    return True


# Callers held streams of two versions: a gateway that had stood still while the second version
# joined took the only one that it knew for the one that had begun their streams.
@pytest.mark.parametrize("machines", [APART, TOGETHER])
def test_a_gateway_that_stood_still_does_not_continue_streams_at_the_only_version_it_knows(
    tmp_path, machines
):
    async def scenario():
        async with site_with_a_stale_gateway(tmp_path, machines) as (site, stale, others, _member):
            callers = await begin_streams(others)
            resuming = asyncio.create_task(resume_streams(callers, stale))
            await asyncio.sleep(0.5)
            for machine in site.core:
                machine.pause()
            stale.resume()
            await asyncio.sleep(MEMBER_PAUSE_S)
            for machine in site.core:
                machine.resume()
            await resuming
            check_versions(callers)

    asyncio.run(scenario())


# The same, where members answer as it runs on; the one that it followed may be the last to do so.
@pytest.mark.parametrize("machines", [APART, TOGETHER])
@pytest.mark.parametrize("resumes_member", [True, False])
def test_streams_that_are_resumed_at_a_gateway_that_stood_still_go_on(
    tmp_path, resumes_member, machines
):
    async def scenario():
        async with site_with_a_stale_gateway(tmp_path, machines) as (_site, stale, others, member):
            callers = await begin_streams(others)
            resuming = asyncio.create_task(resume_streams(callers, stale))
            await asyncio.sleep(0.5)
            if resumes_member:
                member.resume()
            stale.resume()
            await resuming
            check_versions(callers)
            complete = sum(caller.is_complete for caller in callers)
            assert complete >= MIN_CONTINUED_SHARE * len(callers)

    asyncio.run(scenario())


# A caller was told that no replica of its version is left by a gateway that did not know them yet.
def test_a_gateway_that_is_out_of_step_waits_for_its_directory_before_it_calls_a_version_gone():
    async def scenario():
        async with world(streaming(b"v1"), streaming(b"v2")) as here:
            adopt_versions(here, ("v1",))
            record = StreamOriginRecord(b"k", StreamOrigin("plain", "v2"), 10)
            answer_by_member(here, FoundStreamOrigin(record))
            here.role._confirmed_at_s = float("-inf")
            loop = asyncio.get_running_loop()
            loop.call_later(0.5, adopt_versions, here, ("v1", "v2"))
            caller = await here.caller()
            status, _, body = await caller.request("resumable", "s", headers=resuming("r1"))
            assert (status, body) == (200, events_of(b"v2", 3, 4))

    run(scenario())


# In the test process: the directory of a gateway without any member may be of any age.
def test_a_stream_of_unknown_origin_is_rejected_where_no_member_answers():
    async def scenario():
        ran = []
        async with world(streaming(b"v1", ran)) as here:
            adopt_versions(here, ("v1",))
            caller = await here.caller()
            headers = resuming("began-elsewhere")
            status, found, body = await caller.request("resumable", "s", headers=headers)
            assert (status, msgspec.json.decode(body)["kind"]) == (503, "stream_unknown")
            assert float(found["retry-after"]) > 0.0
            assert ran == []

    run(scenario())
