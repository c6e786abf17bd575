"""Client of the operator API, for benchmarks."""

from typing import Any, TypeVar

import aiohttp
import msgspec

from crowsill_lab.demo.site import Site

T = TypeVar("T")
TIMEOUT_S = 5.0


async def fetch_operator(site: Site, index: int, path: str, kind: type[T]) -> T:
    """Get a resource of one control member, decoded as `kind`.

    Raises:
        RuntimeError: The member does not respond, or with an error status.
    """
    url = f"http://127.0.0.1:{site.operator_ports[index]}{path}"
    headers = {"Authorization": f"Bearer {site.operator_token}"}
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        session = aiohttp.ClientSession(headers=headers, timeout=timeout)
        async with session, session.get(url) as response:
            response.raise_for_status()
            content = await response.read()
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        raise RuntimeError(str(error)) from error
    decoder: Any = msgspec.json.Decoder(kind)
    decoded: T = decoder.decode(content)
    return decoded
