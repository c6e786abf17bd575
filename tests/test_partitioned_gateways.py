"""Gateways that reach no replica while callers, the control group and other gateways reach them."""

import asyncio
import socket

import msgspec
import pytest

from crowsill.model.instances import Instance
from crowsill_lab.demo.processes import MAX_HELD_PORTS, free_ports
from tests.control_group import until
from tests.gateway_world import LOCAL, never_respond, respond_ok, routes, world
from tests.partitioned_site import FailingLink, PartitionedSite, served_share

# Time after which a machine knows what has changed around it; the users' bound.
CONTACT_S = 3.0
PLAYED_S = 5.0
MODEL = ("crowsill-model: m", "crowsill-token-counts: 10,10")


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 60))


@pytest.mark.parametrize(
    ("route", "cut_off", "how"),
    [
        ("once", [0, 1], "reset"),
        ("once", [0, 1], "silent"),
        ("once", [0, 1], "no_new"),
        ("once", [0, 1], "accepted"),
        ("safe", [0, 1], "reset"),
        ("safe", [0, 1], "silent"),
        ("once", [0, 1, 2], "reset"),
        ("once", [0, 1, 2], "silent"),
        ("engine", [0, 1], "reset"),
    ],
)
def test_callers_of_gateways_without_any_replica_are_served(tmp_path, route, cut_off, how):
    # These gateways refused every request while others reached all replicas.
    async def scenario():
        async with PartitionedSite(tmp_path) as site:
            headers = MODEL if route == "engine" else ()
            assert served_share(await site.send(route, 1.0, headers=headers, prefix="w")) == 1.0
            site.cut(cut_off, how)
            tries = await site.send(route, PLAYED_S, headers=headers)
            late = [item for item in tries if item.sent_s >= CONTACT_S]
            assert served_share([item for item in late if item.gateway not in cut_off]) > 0.98
            assert served_share([item for item in late if item.gateway in cut_off]) > 0.98
            for item in tries:
                assert site.runs.get(item.request_id, 0) <= (1 if route != "safe" else 2)
                assert item.status not in (503, 429, 421) or item.request_id not in site.runs

    run(scenario())


@pytest.mark.parametrize("how", ["reset", "silent"])
def test_many_replicas_are_used_again_soon_after_their_links_are_back(how):
    # All of 140 excluded replicas waited for the same 17 s before a first one was tried.
    async def scenario():
        async with world(respond_ok) as here:
            link = FailingLink(here._replicas[0].port)
            records = here.role.registry.listed
            here.adopt(
                [Instance(f"i-{n}", "plain", f"{LOCAL}:{link.port}", "z1", 8) for n in range(70)]
            )
            link.fail(how)
            for record in records():
                here.role.replica_watch.check(record)
            await until(lambda: all(item.availability.is_unreachable for item in records()))
            await asyncio.sleep(1.0)
            link.restore()
            await until(
                lambda: not any(item.availability.is_unreachable for item in records()), CONTACT_S
            )
            assert here.role.pool.opened < 6 * len(records())
            link.stop()

    run(scenario())


def test_a_silent_replica_that_no_longer_opens_connections_is_not_taken_for_a_slow_one():
    # Where all gateways had lost their links, requests waited 0.5 s for such a connection.
    async def scenario():
        configuration = routes()
        services = [
            msgspec.structs.replace(service, probe_path="/health")
            for service in configuration.services
        ]
        configuration = msgspec.structs.replace(configuration, services=services)
        async with world(never_respond, configuration=configuration) as here:
            record = here.role.registry.find("i-1")
            here.role.replica_watch.check(record)
            await until(lambda: record.availability.is_silent)
            await here._replicas[0].stop()
            await until(lambda: not record.availability.is_silent, CONTACT_S)
            assert record.availability.is_unreachable

    run(scenario())


@pytest.mark.parametrize("how", ["reset", "no_new"])
def test_a_link_that_refuses_connections_leaves_its_port_to_no_other_process(how):
    # Two runs at the same time sent requests to each other's replicas, which then ran them twice.
    async def scenario():
        link = FailingLink(1)
        # As many links as a large site has.
        free_ports(MAX_HELD_PORTS)
        link.fail(how)
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind((LOCAL, link.port))
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(LOCAL, link.port)
        link.restore()
        _, writer = await asyncio.open_connection(LOCAL, link.port)
        writer.close()
        link.stop()

    asyncio.run(scenario())
