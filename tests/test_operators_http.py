"""The operators' listener: invalid input, authentication, and TLS."""

import asyncio
import hashlib
import ssl
from pathlib import Path
from random import Random

import aiohttp
import pytest

from crowsill.api.operators import operator_application
from crowsill.api.server import HttpServer
from crowsill.control.operations import OperatorService
from crowsill.control.quota_grants import QuotaGrants
from crowsill.control.service import MemberService
from crowsill.control.subscribers import Subscribers
from crowsill.model.fleet import FleetView
from crowsill.settings import HttpListener, Settings, TlsSettings
from crowsill.state.machine import StateMachine
from crowsill.state.quota_use import QuotaUse
from crowsill.tenancy.grant_ledger import QuotaBounds
from crowsill.transport.group_contacts import GroupContacts
from crowsill.transport.member_links import MemberLinks
from crowsill.transport.stream import LocalIdentity

TOKEN = "operator"
DATA = Path(__file__).parent / "data"
CERTIFICATE = str(DATA / "tls-certificate.pem")


async def with_server(use_server, tls=None):
    """Serve a member without a group, and call `use_server` with a session and the server's URL."""
    local = LocalIdentity("c1", "c1.id", "z", b"key")
    machine, fleet = StateMachine(), FleetView()
    subscribers = Subscribers(machine.configuration, fleet)
    links = MemberLinks(local, Random(1), lambda _envelopes: None)
    service = MemberService(
        local,
        True,
        subscribers,
        links,
        GroupContacts([], Random(1)),
        quota=QuotaGrants(QuotaBounds(), QuotaUse(), lambda: None),
        retries=None,
    )
    operations = OperatorService(Settings("c1", "z", "key"), service, machine, fleet)
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    server = HttpServer(
        operator_application(operations, [digest]), HttpListener("127.0.0.1", 0, tls)
    )
    await server.start()
    scheme = "http" if tls is None else "https"
    headers = {"Authorization": f"Bearer {TOKEN}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        result = await use_server(session, f"{scheme}://127.0.0.1:{server.port}")
    await server.stop()
    return result


BAD = [
    ("POST", "/v1/plan", b"", 400, "invalid_request"),
    ("POST", "/v1/plan", b"[]", 400, "invalid_request"),
    ("POST", "/v1/plan", b'{"colour": 1}', 400, "invalid_request"),
    (
        "POST",
        "/v1/plan",
        b'{"templates": [{"name": "A B", "classes": {}}]}',
        400,
        "invalid_request",
    ),
    ("POST", "/v1/changes", b"\xff", 400, "invalid_request"),
    ("POST", "/v1/changes", b'{"change_id": "x"}', 400, "invalid_request"),
    (
        "POST",
        "/v1/changes",
        b'{"change_id": "", "base_revision": 0, "content": {}}',
        400,
        "invalid_request",
    ),
    (
        "POST",
        "/v1/changes",
        b'{"change_id": "x", "base_revision": 0, "content": {}}',
        503,
        "no_leader",
    ),
    ("POST", "/v1/members", b'{"action": "explode"}', 400, "invalid_request"),
    ("POST", "/v1/members", b'{"action": "list"}', 503, "no_leader"),
    ("DELETE", "/v1/status", b"", 405, "invalid_request"),
    ("GET", "/v1/nothing", b"", 404, "invalid_request"),
]


@pytest.mark.parametrize(("method", "path", "body", "status", "kind"), BAD)
def test_invalid_requests_get_the_matching_error(method, path, body, status, kind):
    async def use_server(session, url):
        async with session.request(method, url + path, data=body) as response:
            return response.status, (await response.json())["kind"]

    assert asyncio.run(with_server(use_server)) == (status, kind)


def test_requests_without_an_operator_token_are_rejected():
    async def use_server(session, url):
        statuses = []
        for token in ("", "Bearer wrong", "Basic operator"):
            async with session.get(
                f"{url}/v1/status", headers={"Authorization": token}
            ) as response:
                statuses.append(response.status)
        async with session.get(f"{url}/v1/status") as response:
            statuses.append(response.status)
        async with session.get(f"{url}/healthz", headers={"Authorization": ""}) as response:
            statuses.append(response.status)
        return statuses

    assert asyncio.run(with_server(use_server)) == [401, 401, 401, 200, 200]


def test_listener_uses_tls_if_configured():
    async def use_server(session, url):
        context = ssl.create_default_context(cafile=CERTIFICATE)
        async with session.get(f"{url}/healthz", ssl=context) as response:
            return response.status

    tls = TlsSettings(CERTIFICATE, str(DATA / "tls-key.pem"))
    assert asyncio.run(with_server(use_server, tls)) == 200
