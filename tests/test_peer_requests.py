"""Requests that one gateway passes to another: unchanged, by proven gateways, over one hop."""

import asyncio
import time

import pytest

from tests.control_group import until
from tests.gateway_world import ID, LOCAL, NAMES, Caller, encode_response
from tests.partitioned_site import PartitionedSite, served_share
from tests.test_partitioned_gateways import run

FREED_S = 0.5


async def know_peers(site):
    """Wait until every gateway knows all others, with what they reach."""
    await until(
        lambda: all(
            len(role.peers.registry._known) == len(site.gateways) - 1 for role in site.gateways
        )
    )


async def lose_links(site, numbers, how="reset"):
    """Cut gateways off, and wait until they know it and the others know it of them."""
    await know_peers(site)
    site.cut(numbers, how)
    for number in numbers:
        await site.try_once(number, "once", f"lost-{number}")
        await until(lambda number=number: site.gateways[number]._links.unreachable_services())
    offers = [site.gateways[number].peers._listener.address for number in numbers]
    await until(
        lambda: all(
            known.offer.unreachable_services
            for role in site.gateways
            for address, known in role.peers.registry._known.items()
            if address in offers
        )
    )


async def peer_caller(site, number):
    """Connect to a gateway's listener for peers, as a process that does not know the key."""
    host, port = site.gateways[number].peers._listener.address.split(":")
    return Caller(*await asyncio.open_connection(host, int(port)))


def sent_lines(request):
    """Return the lines of a request's head, without the values that the gateway chooses."""
    chosen = (NAMES.deadline, NAMES.expect_instance)
    lines = request[0].split("\r\n")
    return sorted(line for line in lines if not line.lower().encode().startswith(chosen))


def test_a_request_reaches_the_replica_unchanged_over_a_peer(tmp_path):
    async def scenario():
        async with PartitionedSite(tmp_path, gateways=2) as site:
            await lose_links(site, [0])
            body = b"\x00chunk\r\n" * 3000
            headers = ["X-Odd:  a:b ", "Accept-Encoding: identity", "X-Odd: c"]
            for number in (0, 1):
                port = site.gateways[number].port()
                caller = Caller(*await asyncio.open_connection(LOCAL, port))
                status, _, _ = await caller.request("once", "r1", body, headers)
                assert status == 200
            requests = [item for replica in site.replicas for item in replica.requests]
            by_peer, direct = [item for item in requests if item[1][ID] == "r1"]
            assert sent_lines(by_peer) == sent_lines(direct)
            assert by_peer[2] == direct[2] == body

    run(scenario())


def test_only_gateways_of_the_group_are_served_as_peers(tmp_path):
    async def scenario():
        async with PartitionedSite(tmp_path, gateways=2) as site:
            forged = [
                "crowsill-peer-service: plain",
                "crowsill-peer-attempts: 0",
                "crowsill-peer-may-wait: 1",
                f"crowsill-peer-proof: {'0' * 64}",
            ]
            for headers in ([], forged):
                caller = await peer_caller(site, 0)
                status, _, _ = await caller.request("once", "r1", b"x", headers)
                assert status == 403
            # The same headers at the callers' listener are those of any request.
            caller = Caller(*await asyncio.open_connection(LOCAL, site.gateways[0].port()))
            status, _, _ = await caller.request("once", "r2", b"x", forged)
            assert status == 200 and site.runs == {"r2": 1}

    run(scenario())


@pytest.mark.parametrize("how", ["reset", "silent"])
def test_requests_are_rejected_at_once_where_no_gateway_reaches_a_replica(tmp_path, how):
    # Two gateways without links would otherwise pass requests to and fro.
    async def scenario():
        async with PartitionedSite(tmp_path, gateways=3) as site:
            await lose_links(site, [0, 1, 2], how)
            tries = await site.send("once", 1.0)
            assert {item.status for item in tries} == {503}
            assert max(item.taken_s for item in tries) < 0.3
            assert not any(item.request_id in site.runs for item in tries)

    run(scenario())


@pytest.mark.parametrize(("route", "expected"), [("once", 502), ("safe", 200)])
def test_a_hop_that_breaks_leaves_the_outcome_open(tmp_path, route, expected):
    async def scenario():
        started = asyncio.Event()

        async def work(headers, writer, _number):
            site.note_run(headers)
            started.set()
            await asyncio.sleep(0.5)
            writer.write(encode_response(headers[ID]))
            return True

        site = PartitionedSite(tmp_path, gateways=3, script=work)
        async with site:
            await lose_links(site, [0])
            started.clear()
            sending = asyncio.create_task(site.try_once(0, route, "r1"))
            await started.wait()
            for role in site.gateways[1:]:
                role._running.abort_all()
            found = await sending
            assert found.status == expected
            assert site.runs["r1"] == (2 if route == "safe" else 1)

    run(scenario())


def test_events_pass_both_hops_one_by_one_and_a_caller_that_leaves_frees_the_replica(tmp_path):
    async def scenario():
        more, freed_at_s = asyncio.Event(), []

        async def stream(headers, writer, _number):
            writer.write(encode_response(headers[ID], length=False, body=b"", extra="X: y"))
            writer.write(b"first")
            await more.wait()
            writer.write(b"second")
            await writer.drain()
            while not writer.transport.is_closing():
                writer.write(b".")
                await asyncio.sleep(0.02)
            freed_at_s.append(time.monotonic())
            return False

        async with PartitionedSite(tmp_path, gateways=2, script=stream) as site:
            await know_peers(site)
            site.cut([0], "reset")
            for link in site.links[0]:
                await until(lambda link=link: link._listener is None)
            caller = Caller(*await asyncio.open_connection(LOCAL, site.gateways[0].port()))
            caller.send("stream", "r1", b"x")
            status, _ = await caller.head()
            assert status == 200
            assert (await caller.reader.readexactly(10)) == b"5\r\nfirst\r\n"
            more.set()
            assert b"second" in await caller.reader.read(100)
            left_at_s = time.monotonic()
            caller.disconnect()
            await until(lambda: freed_at_s)
            assert freed_at_s[0] - left_at_s < FREED_S

    run(scenario())


def test_a_gateway_that_stops_finishes_requests_of_peers_and_takes_no_more(tmp_path):
    async def scenario():
        started = asyncio.Event()

        async def work(headers, writer, _number):
            site.note_run(headers)
            started.set()
            await asyncio.sleep(0.6)
            writer.write(encode_response(headers[ID]))
            return True

        site = PartitionedSite(tmp_path, gateways=3, script=work)
        async with site:
            await lose_links(site, [0, 2])
            started.clear()
            sending = asyncio.create_task(site.try_once(0, "once", "r1"))
            await started.wait()
            address = site.gateways[1].peers._listener.address
            draining = asyncio.create_task(site.gateways[1].drain())
            assert (await sending).status == 200
            await until(
                lambda: (
                    site.gateways[0].peers.registry.choose("plain", set(), time.monotonic()) is None
                    or time.monotonic()
                    - site.gateways[0].peers.registry._known[address].received_at_s
                    > 1.0
                )
            )
            assert await draining

    run(scenario())


@pytest.mark.parametrize("how", ["reset", "silent", "no_new"])
def test_replicas_are_used_directly_again_soon_after_the_links_are_back(tmp_path, how):
    async def scenario():
        async with PartitionedSite(tmp_path, gateways=2) as site:
            await site.send("once", 0.5, prefix="w")
            site.cut([0], how)
            await site.send("once", 3.0)
            site.restore([0])
            await until(
                lambda: (
                    not site.gateways[0]._links.unreachable_services()
                    and all(
                        record.availability.exclusion(time.monotonic()) is None
                        for record in site.gateways[0].registry.listed()
                    )
                ),
                4.0,
            )
            hops = site.gateways[1]._running
            tries = await site.send("once", 1.0, prefix="b")
            assert served_share(tries) == 1.0 and hops.exchanges == 0

    run(scenario())


def test_lost_links_leave_nothing_against_replicas_and_requests(tmp_path):
    # Gateways that lost their links reported crashes of replicas that went on to serve others.
    async def scenario():
        async def work(headers, writer, _number):
            site.note_run(headers)
            await asyncio.sleep(0.3)
            writer.write(encode_response(headers[ID]))
            return True

        site = PartitionedSite(tmp_path, gateways=3, script=work)
        async with site:
            await know_peers(site)
            sending = asyncio.create_task(site.send("once", 2.0, 0.02))
            await asyncio.sleep(1.0)
            site.cut([0], "reset")
            await sending
            await asyncio.sleep(1.0)
            for member in site.group.roles:
                assert member._machine.crashes.version == 0
            role = site.gateways[0]
            assert role.crash_guard.has_suspects is False
            assert not role.retry_budgets.earned("plain")._retries_at_s
            site.restore([0])
            records = role.registry.listed()
            await until(lambda: not any(item.availability.is_unreachable for item in records))
            for record in records:
                assert record.error_share == 0.0 and record.availability.failures == 0

    run(scenario())


def test_a_missing_model_is_reported_by_the_gateway_of_its_caller_only(tmp_path):
    # Each gateway that was asked for help reported the model as missing for seconds.
    async def scenario():
        async with PartitionedSite(tmp_path, gateways=3) as site:
            await lose_links(site, [0])
            for role in site.gateways[1:]:
                for record in role.registry.listed():
                    record.availability.note_missing("m")
            headers = ("crowsill-model: m", "crowsill-token-counts: 10,10")
            found = await site.try_once(0, "engine", "missing", headers=headers)
            assert found.status == 503
            retained = [
                bool(role.demand._missing._retention_ends_at_s) for role in site.gateways[1:]
            ]
            assert retained == [False, False]

    run(scenario())
