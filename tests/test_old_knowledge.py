"""Decisions that permit something because nothing is known against it, made from old knowledge."""

import asyncio
import threading

import msgspec
import pytest

from crowsill.gateway.routing_table import GatewayRoutingTable
from crowsill.model.instances import Instance, ReplicaHeartbeat
from crowsill.state.commands import RecordHeartbeat
from crowsill.transport.messages import SubmitCommand
from crowsill.transport.stream_messages import FoundStreamOrigin
from tests.control_group import ControlGroup, until
from tests.gateway_world import routes, run, world
from tests.resumed_streams import adopt_versions, events_of, resuming, streaming


class SteppedDisk:
    """Makes each write of a member's journal wait for a permission, once it is stepped."""

    def __init__(self, journal):
        self._save = journal.save
        self._permissions = threading.Semaphore(0)
        self._is_stepped = False
        self.waiting = 0
        journal.save = self._save_when_permitted

    def _save_when_permitted(self, ready):
        if self._is_stepped:
            self.waiting += 1
            self._permissions.acquire()
        self._save(ready)

    def step(self):
        """Let each further write wait."""
        self._is_stepped = True

    def permit_one(self):
        """Permit one write."""
        self._permissions.release()

    def stop(self):
        """Permit all writes."""
        self._is_stepped = False
        self._permissions.release(100)


def registration(number, version, service="engines"):
    """Return the command that records a replica of a software version."""
    described = Instance(
        f"i-{number}", service, f"10.0.0.{number}:80", "z", 8, software_version=version
    )
    return SubmitCommand(RecordHeartbeat(ReplicaHeartbeat(described, 1)))


def versions_at(role):
    """Return the software versions of the replicas that a member has recorded."""
    directory = role._service.driver.machine.directory
    return {item.software_version for item in directory.instances}


async def commit_ahead_of_the_leader(leader, followers, disk):
    """Have followers apply the registration of a second version that the leader has not applied.

    The leader tells them of the commit with its next entry, and applies the commit only after its
    own write of that entry.
    """
    submit, driver = leader._service.submit_or_forward, leader._service.driver
    await submit(registration(1, "v1"))
    await until(lambda: all(versions_at(role) == {"v1"} for role in followers))
    await until(lambda: driver.applied_index == driver.node.commit_index)
    disk.step()
    second = asyncio.create_task(submit(registration(2, "v2")))
    await until(lambda: disk.waiting == 1)
    third = asyncio.create_task(submit(registration(3, "v2")))
    await until(lambda: driver.node.commit_index > driver.applied_index)
    disk.permit_one()
    await until(lambda: "v2" in versions_at(followers[0]))
    return second, third


# A leader that had not applied the registration of a second version confirmed that there was one,
# while gateways that followed other members already sent to it: a stream of two versions.
def test_a_leader_infers_no_version_while_other_members_may_have_applied_more(tmp_path):
    async def scenario():
        group = ControlGroup(tmp_path)
        await group.start()
        leader = next(role for role in group.roles if group._leads(role))
        followers = [role for role in group.roles if role is not leader]
        disk = SteppedDisk(leader._journal)
        try:
            tasks = await commit_ahead_of_the_leader(leader, followers, disk)
            assert versions_at(leader) == {"v1"}
            assert leader._service.driver.has_lease()
            found = await leader._service.infer_stream_origin("engines")
            assert found.sole_version is None
            disk.stop()
            await asyncio.gather(*tasks)
            found = await leader._service.infer_stream_origin("engines")
            assert found.has_several_versions
        finally:
            disk.stop()
            await group.stop()

    asyncio.run(scenario())


def answer_for_routes(here, routes_version, configuration=None):
    """Have a member confirm the only version of any service, as of a version of the routes.

    Args:
        here: The gateway.
        routes_version: Version of the routes that the leader confirmed.
        configuration: Routes that the gateway receives while it waits for the answer.
    """

    async def query(_question, _timeout_s):
        if configuration is not None:
            here.role._table = GatewayRoutingTable(configuration)
        return FoundStreamOrigin(None, "v1", routes_version=routes_version)

    here.role.stream_origins._query = query


def moved_routes():
    """Return newer routes in which the route of resumable streams leads to another service."""
    document = msgspec.to_builtins(routes(version=2))
    for route in document["routes"]:
        if route["name"] == "resumable":
            route["services"][0]["service"] = "engines"
    return msgspec.convert(document, type(routes()))


# A stream that another service had begun went on at the service to which old routes lead.
@pytest.mark.parametrize("arrives", [False, True])
def test_no_version_is_inferred_for_a_service_that_only_old_routes_name(arrives):
    async def scenario():
        ran = []
        async with world(streaming(b"v1", ran)) as here:
            adopt_versions(here, ("v1",))
            answer_for_routes(here, 2, moved_routes() if arrives else None)
            caller = await here.caller()
            headers = resuming("began-at-another-service")
            status, _, body = await caller.request("resumable", "s", headers=headers)
            assert (status, msgspec.json.decode(body)["kind"]) == (503, "stream_unknown")
            assert ran == []

    run(scenario())


def test_a_version_is_inferred_once_the_routes_are_those_that_a_leader_confirmed():
    async def scenario():
        async with world(streaming(b"v1")) as here:
            adopt_versions(here, ("v1",))
            answer_for_routes(here, 2, routes(version=2))
            caller = await here.caller()
            headers = resuming("began-elsewhere")
            status, _, body = await caller.request("resumable", "s", headers=headers)
            assert (status, body) == (200, events_of(b"v1", 3, 4))

    run(scenario())
