"""Tenants of the platform's configuration document."""

import hashlib
import json
import sys

import msgspec
import pytest
from returns.result import Success

from crowsill.model.route_codec import decode_and_check
from crowsill.model.tenants import RateUnit
from tests.platform_site import ROOT, configuration

sys.path.insert(0, str(ROOT / "platform"))

from crowsill_platform.routes import PlatformRouteCodec

ENTRY = {
    "name": "hule930",
    "apiKeys": ["first-key", "second-key"],
    "priority": 1,
    "unit": "tokens",
    "plainTokens": 200,
    "ratePerS": 166254,
    "burst": 1000,
}


def decode_tenants(*tenants, **changes):
    document = configuration(3, tenants=list(tenants), **changes)
    return decode_and_check(PlatformRouteCodec(), json.dumps(document).encode())


def test_a_decoded_tenant_contains_hashes_instead_of_keys():
    found = decode_tenants(ENTRY).unwrap()
    (tenant,) = found.tenants
    assert tenant.key_sha256[0] == hashlib.sha256(b"first-key").hexdigest()
    assert (tenant.rank, tenant.rate_per_s, tenant.burst) == (1, 166254.0, 1000.0)
    assert (tenant.unit, tenant.plain_tokens) == (RateUnit.TOKENS, 200.0)
    assert b"first-key" not in msgspec.json.encode(found)


def test_defaults_are_requests_without_a_rate_limit():
    (tenant,) = decode_tenants({"name": "t", "apiKeys": []}).unwrap().tenants
    assert not tenant.is_limited and tenant.unit is RateUnit.REQUESTS and tenant.rank is None


def test_the_public_flag_of_routes_is_decoded():
    routes = configuration(3)["routes"]
    routes[0]["public"] = True
    assert [route.public for route in decode_tenants(ENTRY, routes=routes).unwrap().routes] == [
        True,
        False,
    ]


@pytest.mark.parametrize(
    "tenants",
    [
        [ENTRY, {"name": "other", "apiKeys": ["second-key"]}],
        [{"name": "t", "apiKeys": ["k", "k"]}],
        [{"name": "t", "apiKeys": ["a"]}, {"name": "t", "apiKeys": ["b"]}],
        [{"name": "", "apiKeys": ["a"]}],
        [{"name": "t"}],
        [{"apiKeys": ["a"]}],
        [{**ENTRY, "ratePerS": -1}],
        [{**ENTRY, "burst": -1}],
        [{**ENTRY, "priority": -1}],
    ],
)
def test_rejections_of_invalid_tenants_contain_no_key(tenants):
    decoded = decode_tenants(*tenants)
    assert not isinstance(decoded, Success)
    assert "second-key" not in decoded.failure()
