"""Heartbeats that differ from the previous one only in their number are parsed like any other."""

import sys

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from tests.platform_site import ROOT

sys.path.insert(0, str(ROOT / "platform"))

from crowsill_platform.heartbeats import MAX_CACHED_HEARTBEAT_BYTES, read_heartbeat, read_uncached

FIELDS = (
    '"service":"s","addr":"10.0.0.1:80","zone":"z","version":"1","slots":4,"state":"ready",'
    '"coldLeftMs":0'
)
# Members that contain a number and the key `seq`, which may or may not be the heartbeat's sequence.
MEMBERS = st.sampled_from(
    [
        '"seq":%s',
        '"seq" : %s',
        '"seq":\n%s',
        '"x":{"seq":%s}',
        '"atHand":{"seq":%s}',
        '"models":[{"name":"m","seq":%s}]',
        '"x":[1,{"seq":%s}]',
        '"x":"seq\\":%s,"',
        '"\\u0073eq":%s',
        '"born":%s',
        '"seq":5',
    ]
)
NUMBERS = st.one_of(
    st.integers(-1, 12).map(str),
    st.integers(2**53 - 2, 2**53 + 2).map(str),
    st.sampled_from(["05", "5.0", "1e2", "5,", "5}", '"5"', "null", "", "123456789012345678901"]),
)


@settings(max_examples=1000)
@given(st.lists(MEMBERS, max_size=4), st.lists(NUMBERS, min_size=1, max_size=6), st.booleans())
def test_repeated_heartbeat_is_parsed_like_an_unknown_one(members, numbers, begins_with):
    for number in numbers:
        filled = ",".join(member.replace("%s", number) for member in members)
        parts = [filled, FIELDS] if begins_with else [FIELDS, filled]
        body = ("{" + ",".join(part for part in parts if part) + "}").encode()
        assert read_heartbeat("i-1", body) == read_uncached("i-1", body)


def test_long_heartbeats_are_parsed():
    names = [f"model-{number:04}" for number in range(MAX_CACHED_HEARTBEAT_BYTES // 8)]
    for sequence in (1, 2):
        more = f',"seq":{sequence},"atHand":{{"onDisk":{msgspec.json.encode(names).decode()}}}'
        found = read_heartbeat("i-1", ("{" + FIELDS + more + "}").encode())
        assert isinstance(found, Success) and found.unwrap().sequence == sequence
        assert found.unwrap().instance.on_disk == names
