"""A single query to a crowsill process, on a separate stream."""

import asyncio

from crowsill.settings import Address
from crowsill.transport.connection import ConnectionLostError, open_connection
from crowsill.transport.leader_client import parse_address
from crowsill.transport.messages import Body, NotLeader
from crowsill.transport.stream import LocalIdentity, ProtocolError


async def query_once(
    target: Address, request: Body, local: LocalIdentity, timeout_s: float
) -> Body | None:
    """Query a process; return None if it is unreachable or does not respond in time."""
    try:
        connection = await open_connection(target.host, target.port, local)
    except (OSError, TimeoutError, ProtocolError):
        return None
    reader = asyncio.create_task(connection.run())
    try:
        return await connection.request(request, timeout_s)
    except ConnectionLostError:
        return None
    finally:
        connection.close()
        await reader


async def query_leader(
    target: Address, request: Body, local: LocalIdentity, timeout_s: float
) -> tuple[Address, Body | None]:
    """Send a query that only the leader answers, and repeat it once if redirected to the leader.

    Returns:
        Address of the process queried last, and its reply; None if it did not respond.
    """
    reply = await query_once(target, request, local, timeout_s)
    if isinstance(reply, NotLeader) and reply.leader is not None:
        target = parse_address(reply.leader)
        reply = await query_once(target, request, local, timeout_s)
    return target, reply
