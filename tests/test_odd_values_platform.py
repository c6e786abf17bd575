"""Documents in the platform's format with odd values are rejected or can be recorded."""

import json
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from crowsill.model.route_codec import compress_document, decode_and_check
from crowsill.state.commands import PublishRoutes, RecordHeartbeat, command_fault
from tests.platform_site import ROOT, configuration
from tests.test_odd_values import odd_values, places, with_value

sys.path.insert(0, str(ROOT / "platform"))
from crowsill_platform.heartbeats import read_heartbeat
from crowsill_platform.routes import PlatformRouteCodec

sys.path.pop(0)

CONFIGURATION = configuration(1)
HEARTBEAT = {
    "service": "till",
    "addr": "127.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 1,
    "models": [{"name": "m0", "version": 1, "adapters": ["a1"]}],
    "born": 1,
}


@settings(max_examples=400)
@given(st.sampled_from(places(CONFIGURATION)), odd_values)
def test_a_configuration_with_an_odd_value_is_rejected_or_recorded(path, value):
    content = with_value(CONFIGURATION, path, value)
    decoded = decode_and_check(PlatformRouteCodec(), content).value_or(None)
    if decoded is not None:
        assert command_fault(PublishRoutes(compress_document(decoded.version, content))) is None


@settings(max_examples=400)
@given(st.sampled_from(places(HEARTBEAT)), odd_values)
def test_a_heartbeat_with_an_odd_value_is_rejected_or_recorded(path, value):
    decoded = read_heartbeat("i-1", with_value(HEARTBEAT, path, value)).value_or(None)
    if decoded is not None:
        assert command_fault(RecordHeartbeat(decoded)) is None


@pytest.mark.parametrize("version", ["", "v1", "v" * 5000])
def test_a_software_version_of_any_length_is_read(version):
    content = json.dumps(HEARTBEAT | {"version": version}).encode()
    found = read_heartbeat("i-1", content).unwrap().instance.software_version
    assert (found == version) is (len(version) <= 64)
