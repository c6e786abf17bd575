"""Platform settings of deployments of several sizes, and invalid settings."""

import sys

import pytest
from returns.result import Success

from tests.platform_site import ROOT

sys.path.insert(0, str(ROOT / "platform"))

from crowsill_platform.routes import PlatformRouteCodec
from crowsill_platform.settings import load

CORE = """
node = "{node}"
zone = "{zone}"
ip = "10.1.0.40"
serves = ["control"]
innerPorts = [7380, 7395]
seeds = {seeds}
bootstrap = true
dataDir = "/data/x"
{extra}
[listen]
control = "10.1.0.40:8144"
[tolerate]
machines = {machines}
"""

FRONT = """
node = "front-1"
zone = "z"
ip = "10.1.0.38"
serves = ["front"]
innerPorts = [7380, 7395]
seeds = ["10.1.0.40:8144"]
[listen]
front = "10.1.0.38:8149"
ready = "10.1.0.38:8141"
[bounds]
graceS = 3.5
budgetRatio = 0.05
budgetSlack = 7
unheardOf = "x"
"""


def load_text(tmp_path, text):
    path = tmp_path / "boot.toml"
    path.write_text(text)
    return load(path)


def core_settings(**changes):
    values = {"node": "core-1", "zone": "z", "seeds": '["10.1.0.40:8144"]', "extra": ""}
    return CORE.format(**{**values, "machines": 2, **changes})


@pytest.mark.parametrize(
    ("changes", "voters", "seeds"),
    [
        ({"machines": 0}, 1, 1),
        ({"machines": 1, "seeds": '["10.1.0.40:8144", "10.2.0.1:8144"]'}, 3, 2),
        ({"machines": 2, "extra": "heartbeatMs = 700\nunheardOf = [1]"}, 5, 1),
        ({"node": "Core_1", "zone": "Hall A/4", "machines": 2}, 5, 1),
    ],
)
def test_control_settings_of_groups_of_any_size(tmp_path, changes, voters, seeds):
    loaded = load_text(tmp_path, core_settings(**changes))
    assert isinstance(loaded, Success), loaded
    control = loaded.unwrap().control
    assert control.target_voters == voters
    assert len(control.seeds) == seeds and {seed.port for seed in control.seeds} == {7380}
    assert control.bootstrap and loaded.unwrap().gateway is None


def test_gateway_settings_are_read_from_the_platforms_bounds(tmp_path):
    gateway = load_text(tmp_path, FRONT).unwrap().gateway
    assert (gateway.grace_s, gateway.retry_ratio, gateway.retry_allowance) == (3.5, 0.05, 7.0)
    assert gateway.retry_window_s == 10.0


def test_members_grant_the_retries_that_the_platform_allows(tmp_path):
    text = core_settings() + "[bounds]\nbudgetWindowS = 8.0\nbudgetSlack = 7.0\n"
    control = load_text(tmp_path, text).unwrap().control
    assert (control.retry_window_s, control.retry_allowance) == (8.0, 7.0)


def test_decisions_under_load_are_on_only_where_the_contracts_ask_for_them(tmp_path):
    with_pressure = 'contracts = ["base", "quota", "pressure"]\n' + FRONT
    off = load_text(tmp_path, FRONT).unwrap().gateway.load_control
    on = load_text(tmp_path, with_pressure).unwrap().gateway.load_control
    assert (off.ordered_waiting, off.shared_admission) == (False, False)
    assert (on.ordered_waiting, on.shared_admission) == (True, False)
    assert not on.cost_estimates and not off.cost_estimates
    assert not on.shared_failures and not off.shared_failures


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (core_settings(seeds='["10.1.0.40"]'), "seeds[0]"),
        (core_settings(seeds='["core.example:1"]'), "core.example"),
        (core_settings().replace("innerPorts = [7380, 7395]", "innerPorts = []"), "innerPorts"),
        (core_settings().replace('ip = "10.1.0.40"', ""), "ip"),
        (core_settings().replace("[listen]", "[listen"), "boot.toml"),
        (FRONT.replace('ready = "10.1.0.38:8141"', ""), "listen.ready"),
    ],
)
def test_errors_name_the_invalid_field(tmp_path, text, expected):
    loaded = load_text(tmp_path, text)
    assert not isinstance(loaded, Success) and expected in loaded.failure()


def test_unknown_fields_of_documents_are_ignored():
    content = (
        b'{"version":4,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"idempotent",'
        b'"timeoutMs":1.5,"service":"s","new":{}}],"services":[{"name":"s","tls":false}],"more":1}'
    )
    decoded = PlatformRouteCodec().decode(content).unwrap()
    assert decoded.version == 4 and decoded.routes[0].timeout_ms == 1.5
    assert decoded.limits.max_body_bytes == 4194304
