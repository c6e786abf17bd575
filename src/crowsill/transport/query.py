"""One question to one crowsill process, on a stream of its own."""

import asyncio

from crowsill.settings import Address
from crowsill.transport.connection import ConnectionLostError, open_connection
from crowsill.transport.leader_client import parse_address
from crowsill.transport.messages import Body, NotLeader
from crowsill.transport.stream import LocalIdentity, ProtocolError


async def query_once(
    target: Address, question: Body, local: LocalIdentity, timeout_s: float
) -> Body | None:
    """Ask a process; None when it cannot be reached or does not answer in time."""
    try:
        connection = await open_connection(target.host, target.port, local)
    except (OSError, TimeoutError, ProtocolError):
        return None
    reader = asyncio.create_task(connection.run())
    try:
        return await connection.request(question, timeout_s)
    except ConnectionLostError:
        return None
    finally:
        connection.close()
        await reader


async def query_leader(
    target: Address, question: Body, local: LocalIdentity, timeout_s: float
) -> tuple[Address, Body | None]:
    """Ask a process what only the leader answers, and the one it names if it does not lead.

    Returns:
        Who was asked last, and its answer.
    """
    reply = await query_once(target, question, local, timeout_s)
    if isinstance(reply, NotLeader) and reply.leader is not None:
        target = parse_address(reply.leader)
        reply = await query_once(target, question, local, timeout_s)
    return target, reply
