"""Which headers of a caller reach a replica."""

import sys

import pytest

from crowsill.gateway.forwarding import ForwardingTerms, encode_forwarded_request
from crowsill.gateway.headers import HeaderNames
from crowsill.gateway.request import CallerRequest
from tests.platform_site import ROOT

sys.path.insert(0, str(ROOT / "platform"))

from crowsill_platform.headers import HEADER_NAMES, RESERVED_NAMES

TERMS = ForwardingTerms("i-1", rank=5, remaining_s=2.0)


def forwarded(headers, names=HEADER_NAMES, terms=TERMS):
    """Return the header lines that reach the replica, as lower-case pairs."""
    request = CallerRequest(b"POST", b"/draft/x", headers, b"pay", True, 0.0, model="m")
    head, _, body = encode_forwarded_request(request, names, terms).partition(b"\r\n\r\n")
    assert body == b"pay"
    lines = [line.split(b": ", 1) for line in head.split(b"\r\n")[1:]]
    return [(name.lower(), value) for name, value in lines]


def odd_case(name):
    return b"".join(
        name[index : index + 1].upper() if index % 2 else name[index : index + 1]
        for index in range(len(name))
    )


@pytest.mark.parametrize("name", sorted(RESERVED_NAMES))
def test_a_caller_cannot_set_headers_reserved_for_the_gateway(name):
    headers = [(odd_case(name), b"stolen"), (b"X-Mine", b"a"), (name, b"again")]
    reached = forwarded(headers)
    assert (b"x-mine", b"a") in reached
    assert name not in [reached_name for reached_name, _ in reached]


def test_headers_set_by_the_gateway_occur_once():
    own = [HEADER_NAMES.deadline, HEADER_NAMES.expect_instance, HEADER_NAMES.priority]
    reached = forwarded([(odd_case(name), b"999999") for name in own for _ in range(2)])
    for name in own:
        values = [value for reached_name, value in reached if reached_name == name]
        assert len(values) == 1 and values[0] != b"999999"


def test_headers_named_by_connection_are_not_forwarded():
    named = [(b"Connection", b"close, X-Crowsill-Hold, x-hop"), (b"X-Hop", b"1")]
    reached = forwarded([*named, (b"X-Crowsill-Hold", b"h1"), (b"X-Crowsill-Model", b"m")])
    assert (b"x-crowsill-model", b"m") in reached
    assert not {b"connection", b"x-hop", b"x-crowsill-hold"} & {name for name, _ in reached}


def test_a_deployment_without_reserved_names_forwards_all_headers():
    assert (b"x-hold", b"h") in forwarded([(b"X-Hold", b"h")], HeaderNames())


KEYED = ForwardingTerms("i-1", rank=5, remaining_s=2.0, is_keyed=True, tenant="depots")
STOLEN = [
    (b"Authorization", b"Bearer secret"),
    (b"aUTHORIZATION", b"Bearer secret"),
    (b"X-Crowsill-Tenant", b"rival"),
    (b"x-crowsill-TENANT", b"rival"),
]


def test_neither_the_api_key_nor_a_tenant_header_of_a_caller_reaches_a_replica():
    reached = forwarded(STOLEN, terms=KEYED)
    assert [pair for pair in reached if pair[0] == HEADER_NAMES.tenant] == [
        (HEADER_NAMES.tenant, b"depots")
    ]
    assert all(b"secret" not in value for _, value in reached)


def test_a_request_without_an_api_key_is_charged_to_no_tenant():
    terms = ForwardingTerms("i-1", rank=5, remaining_s=2.0, is_keyed=True)
    names = [name for name, _ in forwarded(STOLEN, terms=terms)]
    assert HEADER_NAMES.tenant not in names and b"authorization" not in names


def test_the_tenant_header_is_sent_even_if_connection_names_it():
    headers = [(b"Connection", b"x-crowsill-tenant, authorization"), *STOLEN]
    assert (HEADER_NAMES.tenant, b"depots") in forwarded(headers, terms=KEYED)


def test_without_tenants_all_headers_are_forwarded_unchanged():
    assert (b"authorization", b"Bearer secret") in forwarded(STOLEN)
