"""Decisions that permit something because nothing is known against it, made from old knowledge."""

import asyncio
import threading

import msgspec
import pytest
from returns.result import Success

from crowsill.control.registrations import Registrations
from crowsill.gateway.routing_table import GatewayRoutingTable
from crowsill.model.instances import Instance, ReplicaHeartbeat
from crowsill.model.route_codec import JsonRouteCodec
from crowsill.state.commands import RecordHeartbeat
from crowsill.transport.messages import SubmitCommand, Submitted
from crowsill.transport.stream_messages import FoundStreamOrigin
from tests.control_group import ControlGroup, until, until_done
from tests.gateway_world import ID, NOT_RUN, encode_response, routes, run, world
from tests.resumed_streams import adopt_versions, answer_by_member, events_of, resuming, streaming


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


def only_for(instance_id, script):
    """Return a script that rejects requests for other instances, as a replica does."""

    async def guarded(headers, writer, number):
        if headers["crowsill-expect-instance"] == instance_id:
            return await script(headers, writer, number)
        writer.write(encode_response(headers[ID], b"", "421 Other", f"{NOT_RUN}: 1"))
        return True

    return guarded


def recorded_origins(here):
    """Return the list that receives the origins that a gateway records."""
    origins = []

    def notify(notice):
        origins.extend(record.origin for record in notice.records)
        return True

    here.role.stream_origins._notify = notify
    return origins


def test_a_replica_that_started_again_runs_nothing_for_a_gateway_that_is_out_of_step():
    async def scenario():
        ran = []
        async with world(only_for("i-9", streaming(b"v2", ran))) as here:
            adopt_versions(here, ("v1",))
            answer_by_member(here, FoundStreamOrigin(None, "v1"))
            origins = recorded_origins(here)
            for headers in ([], resuming("began-elsewhere")):
                caller = await here.caller()
                status, _, body = await caller.request("resumable", "s", headers=headers)
                assert (status // 100, b"v2" in body) == (5, False)
            assert (ran, origins) == ([], [])

    run(scenario())


def replace_version_while_connecting(here, version):
    """Have the first replica listed with another version while a connection to it is opened."""
    acquire = here.role.pool.acquire

    async def acquire_and_replace(*args):
        connection = await acquire(*args)
        adopt_versions(here, (version,))
        return connection

    here.role.pool.acquire = acquire_and_replace


def test_a_resumed_stream_is_not_sent_if_the_version_changes_after_the_choice():
    async def scenario():
        ran = []
        async with world(streaming(b"v2", ran)) as here:
            adopt_versions(here, ("v1",))
            answer_by_member(here, FoundStreamOrigin(None, "v1"))
            replace_version_while_connecting(here, "v2")
            caller = await here.caller()
            headers = resuming("began-elsewhere")
            status, _, body = await caller.request("resumable", "s", headers=headers)
            assert (status, msgspec.json.decode(body)["kind"]) == (503, "stream_lost")
            assert ran == []

    run(scenario())


def test_the_record_of_a_stream_names_the_version_that_is_listed_as_it_is_sent():
    async def scenario():
        async with world(streaming(b"v2")) as here:
            adopt_versions(here, ("v1",))
            origins = recorded_origins(here)
            replace_version_while_connecting(here, "v2")
            caller = await here.caller()
            caller.send("resumable", "r1")
            await caller.head()
            assert [item.software_version for item in origins] == ["v2"]

    run(scenario())


def test_a_resumed_stream_that_waits_is_rejected_when_another_version_takes_the_place_of_its_own():
    async def scenario():
        ran = []
        event = asyncio.Event()

        async def script(headers, writer, number):
            if number > 1:
                return await streaming(b"v2", ran)(headers, writer, number)
            extra = f"{NOT_RUN}: 1\r\nRetry-After: 0.6"
            writer.write(encode_response(headers[ID], b"", "503 Full", extra))
            event.set()
            return True

        async with world(script) as here:
            adopt_versions(here, ("v1",))
            answer_by_member(here, FoundStreamOrigin(None, "v1"))
            caller = await here.caller()
            caller.send("resumable", "s", headers=resuming("began-elsewhere"))
            await event.wait()
            await asyncio.sleep(0.1)
            adopt_versions(here, ("v2",))
            status, found = await caller.head()
            body = await caller.body(found)
            assert (status, msgspec.json.decode(body)["kind"]) == (503, "stream_lost")
            assert ran == []

    run(scenario())


def cut_off(role):
    """Drop all messages of consensus from a member and to it."""
    driver = role._service.driver
    driver._send = driver.receive = lambda _envelopes: None


async def record_at_a_leader(group, roles, command):
    """Have a leader among some members record a replica."""

    async def recorded():
        for role in roles:
            if group._leads(role):
                reply = await role._service.submit_or_forward(command)
                return isinstance(reply, Submitted)
        return False

    await until_done(recorded)


@pytest.mark.parametrize("trouble", ["leader_cut_off", "follower_cut_off", "disk_hangs"])
def test_a_member_that_lacks_a_version_infers_none(tmp_path, trouble):
    async def scenario():
        group = ControlGroup(tmp_path)
        await group.start()
        leads = trouble == "leader_cut_off"
        number = next(n for n, role in enumerate(group.roles) if group._leads(role) is leads)
        lacking = group.roles[number]
        others = [role for role in group.roles if role is not lacking]
        try:
            await record_at_a_leader(group, group.roles, registration(1, "v1"))

            async def infers_the_first():
                found = await lacking._service.infer_stream_origin("engines")
                return found.sole_version == "v1"

            await until_done(infers_the_first)
            if trouble == "disk_hangs":
                group.disks[number].hang()
            else:
                cut_off(lacking)
            await record_at_a_leader(group, others, registration(2, "v2"))
            assert versions_at(lacking) == {"v1"}
            found = await lacking._service.infer_stream_origin("engines")
            assert found == FoundStreamOrigin(None)
        finally:
            await group.stop()

    asyncio.run(scenario())


# The former leader has handed over, and the new one has recorded a second version.
def test_a_leader_that_has_handed_over_infers_no_version_that_the_next_one_denies(tmp_path):
    async def scenario():
        group = ControlGroup(tmp_path)
        await group.start()
        former = next(role for role in group.roles if group._leads(role))
        others = [role for role in group.roles if role is not former]
        try:
            await record_at_a_leader(group, group.roles, registration(1, "v1"))
            group.disks[group.roles.index(former)].hang()
            handing_over = asyncio.create_task(former._service.driver.hand_over_leadership(5.0))
            await record_at_a_leader(group, others, registration(2, "v2"))
            assert versions_at(former) == {"v1"}
            found = await former._service.infer_stream_origin("engines")
            assert found.sole_version is None
            await handing_over
        finally:
            await group.stop()

    asyncio.run(scenario())


async def deregister_at_a_member_that_is_behind(group, number):
    """Deregister a replica, which keeps its name over restarts, where it is not known yet.

    Args:
        group: The members.
        number: Number of a follower, whose disk hangs from now on.
    """
    role = group.roles[number]
    group.disks[number].hang()
    described = Instance("i-1@5", "engines", "10.0.0.1:80", "z", 8, replica="i-1", started_ms=5)
    others = [other for other in group.roles if other is not role]
    heartbeat = RecordHeartbeat(ReplicaHeartbeat(described, 1))
    await record_at_a_leader(group, others, SubmitCommand(heartbeat))
    machine = role._service.driver.machine
    registrations = Registrations(role._service, machine, JsonRouteCodec(), 1)
    return asyncio.create_task(registrations.deregister("i-1")), others


# The member acknowledged that the replica is gone, and requests still went there.
@pytest.mark.parametrize("catches_up", [True, False])
def test_a_member_that_is_behind_does_not_call_a_replica_gone_that_it_does_not_know(
    tmp_path, catches_up
):
    async def scenario():
        group = ControlGroup(tmp_path)
        await group.start()
        number = group.follower_number()
        try:
            task, others = await deregister_at_a_member_that_is_behind(group, number)
            if catches_up:
                group.disks[number].resume()
            result = await task
            assert isinstance(result, Success) is catches_up
            leader = next(role for role in others if group._leads(role))
            assert bool(leader._service.driver.machine.directory.instances) is not catches_up
        finally:
            await group.stop()

    asyncio.run(scenario())


def test_records_that_no_member_received_are_sent_to_the_next_one():
    async def scenario():
        async with world(streaming(b"v1")) as here:
            adopt_versions(here, ("v1",))
            here.role.stream_origins._notify = lambda _notice: False
            caller = await here.caller()
            caller.send("resumable", "r1")
            await caller.head()
            origins = recorded_origins(here)
            here.role._on_member()
            assert [item.software_version for item in origins] == ["v1"]

    run(scenario())
