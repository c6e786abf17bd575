"""The cost of a load counts requests for adapters that an engine lacks as often as they come."""

import pytest

from crowsill.placement.copy_value import CopyValue
from crowsill.placement.unknown_adapters import HALF_LIFE_S, UnknownAdapters
from tests.test_copies import engine, view


def learn(seconds, new_per_s, known_per_s):
    """Return the share after some seconds with requests for new and for known adapters."""
    unknown, recent, number = UnknownAdapters(), {"s|m/a0"}, 0
    for second in range(seconds):
        counts = {"s|m": 50, "s|m/a0": known_per_s}
        for _ in range(new_per_s):
            number += 1
            counts[f"s|m/a{number}"] = 1
        unknown.add(counts, recent, float(second))
        recent = recent | set(counts)
    return unknown.share("s")


@pytest.mark.parametrize(
    ("new_per_s", "known_per_s", "expected"), [(0, 10, 0.0), (1, 9, 0.1), (5, 5, 0.5)]
)
def test_the_share_of_unknown_adapters_follows_the_requests(new_per_s, known_per_s, expected):
    assert learn(60, new_per_s, known_per_s) == pytest.approx(expected, abs=0.02)


def test_what_was_asked_long_ago_counts_little():
    unknown = UnknownAdapters()
    unknown.add({f"s|m/a{number}": 1 for number in range(100)}, set(), 0.0)
    unknown.add({"s|m/a1": 100}, {"s|m/a1"}, 6.0 * HALF_LIFE_S)
    assert unknown.share("s") < 0.05


@pytest.mark.parametrize("share", [0.0, 0.3, 1.0])
def test_a_load_blocks_the_unknown_share_of_the_adapters_that_an_engine_holds(share):
    found = engine("e0", "m0")
    found.held["m0"].add("a1")
    state = view([found], demand={"m0": 4.0, "m0/a1": 4.0}, unknown_adapter_share=share)
    value = CopyValue(state)
    assert value.blocked_adapters(found) == pytest.approx(share * value.weight("m0/a1"))
