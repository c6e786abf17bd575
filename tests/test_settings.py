"""Validation of the settings file."""

import pytest
from returns.result import Success

from crowsill.settings import parse_settings

VALID = """
node = "e1"
zone = "z1"
cluster_key_file = "key"
[entry]
callers = { host = "127.0.0.1", port = 0 }
control_members = [{ host = "127.0.0.1", port = 1 }]
"""


def test_valid_settings_are_accepted():
    assert isinstance(parse_settings(VALID, "f"), Success)


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('zone = "z1"', "", "missing required field `zone`"),
        ('zone = "z1"', 'zone = "z1"\ncolour = "red"', "unknown field `colour`"),
        ("port = 0", 'port = "x"', "$.entry.callers.port"),
        ("port = 0", "port = 70000", "<= 65535"),
        ('host = "127.0.0.1", port = 1', 'host = "localhost", port = 1', "not an IP number"),
        ("[{ host", "[{ hst", "unknown field `hst`"),
        ("[entry]", "[entri]", "unknown field `entri`"),
        ("control_members = [{", "control_members = [] #", "at least one address"),
        ("node =", "node", "line 2"),
        ('"e1"', '"E 1"', "$.node"),
    ],
)
def test_an_error_contains_file_key_and_reason(old, new, message):
    found = parse_settings(VALID.replace(old, new), "crowsilld.toml")
    assert "crowsilld.toml" in found.failure() and message in found.failure()


def test_at_least_one_role_is_required():
    text = 'node = "a"\nzone = "z"\ncluster_key_file = "k"\n'
    assert "[control]" in parse_settings(text, "f").failure()
