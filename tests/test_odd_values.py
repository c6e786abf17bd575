"""Values that can't be recorded are rejected where they enter, and end no control member."""

import asyncio
import copy
import json

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from crowsill.json_input import MAX_VERSION, decode_json
from crowsill.model.configuration import ConfigurationChange
from crowsill.model.instances import ReplicaHeartbeat
from crowsill.model.route_codec import JsonRouteCodec, compress_document, decode_and_check
from crowsill.model.routes import RouteConfiguration
from crowsill.state.commands import (
    ChangeConfiguration,
    PublishRoutes,
    RecordHeartbeat,
    RemoveInstance,
    command_fault,
)
from crowsill.state.route_store import RouteDocument
from crowsill.transport.messages import CommandRejected, SubmitCommand, Submitted
from tests.control_group import ControlGroup
from tests.gateway_world import routes
from tests.platform_site import PlatformSite, configuration

LONG_VERSION = 20261204181530123456
DEEPER_THAN_STACK = 20_000


def nested(depth):
    return b'{"version":1,"unknown":' + b"[" * depth + b"]" * depth + b"}"


# One configuration ended the leader's process, and each next leader's, and got no answer.
def test_a_version_beyond_64_bits_is_rejected_and_ends_no_member(tmp_path):
    async def scenario():
        site = PlatformSite(tmp_path)
        site.start()
        try:
            assert await site.publish(configuration(1)) == 200
            for version in (LONG_VERSION, 2**63, 10**400, -(10**30)):
                for member in site.core:
                    document = json.dumps(configuration(version)).encode()
                    status, body = await site.call_with_body("PUT", "/config", document, member)
                    assert status == 422
                    assert b"$.version" in body
            for member in site.core:
                status, _ = await site.call_with_body("PUT", "/config", nested(5000), member)
                assert status in (400, 413, 422)
                status = await site.call("PUT", "/instances/i-1", nested(5000), member)
                assert status == 400
            assert await site.publish(configuration(MAX_VERSION)) == 200
            assert all(member.process.poll() is None for member in site.core)
        finally:
            site.stop()

    asyncio.run(asyncio.wait_for(scenario(), 60))


# A command that fails to be encoded failed the others of its batch, and ended the leader.
def test_a_command_that_cannot_be_encoded_is_rejected_alone(tmp_path):
    async def scenario():
        group = ControlGroup(tmp_path)
        await group.start()
        try:
            driver = next(
                role._service.driver for role in group.roles if role._service.driver.is_leader
            )
            bad = PublishRoutes(RouteDocument(2**64, b""))
            replies = await asyncio.gather(
                driver.submit(bad),
                driver.submit(RemoveInstance("i-1")),
                driver.submit(bad),
                driver.submit(PublishRoutes(compress_document(1, b"{}"))),
            )
            assert [type(reply) for reply in replies] == [
                *(CommandRejected, Submitted),
                *(CommandRejected, Submitted),
            ]
            follower = next(
                role._service for role in group.roles if not role._service.driver.is_leader
            )
            reply = await follower.submit_or_forward(SubmitCommand(bad))
            assert isinstance(reply, CommandRejected)
            assert "publish-routes" in reply.detail
        finally:
            await group.stop()

    asyncio.run(asyncio.wait_for(scenario(), 30))


# A command that fails as it is applied ended each member, again after each restart.
def test_a_command_that_cannot_be_applied_ends_no_member(tmp_path):
    async def scenario():
        group = ControlGroup(tmp_path)
        await group.start()
        try:
            for role in group.roles:
                machine = role._service.driver.machine

                def remove(_instance_id):
                    raise ValueError("cannot be applied")

                machine.directory.remove = remove
            driver = next(
                role._service.driver for role in group.roles if role._service.driver.is_leader
            )
            failed = await driver.submit(RemoveInstance("i-1"))
            assert failed.result.accepted is False
            after = await driver.submit(PublishRoutes(compress_document(7, b"{}")))
            assert after.result.accepted
            async with asyncio.timeout(5.0):
                while any(
                    role._service.driver.machine.routes.current.version != 7 for role in group.roles
                ):
                    await asyncio.sleep(0.02)
        finally:
            await group.stop()

    asyncio.run(asyncio.wait_for(scenario(), 30))


@pytest.mark.parametrize("kind", [RouteConfiguration, ReplicaHeartbeat, ConfigurationChange])
def test_deep_nesting_is_a_fault_of_the_document(kind):
    decoded = decode_json(nested(DEEPER_THAN_STACK), msgspec.json.Decoder(kind))
    assert decoded.failure()


# Fuzz: documents of each entry with one odd value.

ODD_NUMBERS = [
    *(-1, 0, 2**31, 2**53, 2**53 + 1, 2**63 - 1, 2**63, 2**64, LONG_VERSION, 10**400),
    *(-(2**63), -(10**30), 1.5, -0.0, 1e308, 5e-324),
]
odd_values = st.one_of(
    st.sampled_from(ODD_NUMBERS),
    st.integers(),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=300),
    st.sampled_from([None, True, [], {}, "", "\ud800", "\x00\r\n", "x" * 10_000]),
)

ROUTES = json.loads(msgspec.json.encode(routes()))
HEARTBEAT = {
    "instance": [
        *("i-1", "plain", "127.0.0.1:80", "z", 8, "ready", [["m", 1, ["a"]]], ["m"], [], []),
        *("", 0, "v1"),
    ],
    "sequence": 3,
}
CHANGE = {"change_id": "c", "base_revision": 0, "content": {}, "author": "o"}


def places(value, path=()):
    """Return the paths of all values in a document, its own first."""
    found = [path] if path else []
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, item in items:
        if isinstance(item, dict | list) and item:
            found += places(item, (*path, key))
        else:
            found.append((*path, key))
    return found


def with_value(document, path, value):
    changed = copy.deepcopy(document)
    target = changed
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = value
    return json.dumps(changed).encode()


@settings(max_examples=400)
@given(st.sampled_from(places(ROUTES)), odd_values)
def test_a_route_document_with_an_odd_value_is_rejected_or_recorded(path, value):
    content = with_value(ROUTES, path, value)
    decoded = decode_and_check(JsonRouteCodec(), content).value_or(None)
    if decoded is not None:
        assert command_fault(PublishRoutes(compress_document(decoded.version, content))) is None
        for service in decoded.services:
            # As a gateway computes its share of the connections.
            assert int(service.max_connections * 0.9) is not None


@settings(max_examples=400)
@given(st.sampled_from(places(HEARTBEAT)), odd_values)
def test_a_heartbeat_with_an_odd_value_is_rejected_or_recorded(path, value):
    content = with_value(HEARTBEAT, path, value)
    decoded = decode_json(content, msgspec.json.Decoder(ReplicaHeartbeat)).value_or(None)
    if decoded is not None:
        assert command_fault(RecordHeartbeat(decoded)) is None


@settings(max_examples=200)
@given(st.sampled_from(places(CHANGE)), odd_values)
def test_a_change_with_an_odd_value_is_rejected_or_recorded(path, value):
    content = with_value(CHANGE, path, value)
    decoded = decode_json(content, msgspec.json.Decoder(ConfigurationChange)).value_or(None)
    if decoded is not None:
        assert command_fault(ChangeConfiguration(decoded, 0.0)) is None
