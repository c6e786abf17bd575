"""HTTP calls of replicas and operators to control members."""

import aiohttp

from crowsill_lab.soak.site import Member

CALL_TIMEOUT_S = 1.0


async def put(member: Member, path: str, body: bytes) -> int:
    """PUT a document to a member; return the status, or 0 without a response."""
    url = f"http://{member.host}:{member.registrations}{path}"
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.put(url, data=body) as response,
        ):
            return response.status
    except (aiohttp.ClientError, TimeoutError):
        return 0
