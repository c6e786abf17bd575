"""Reads bodies of responses that aiohttp has received, up to a bound."""

import aiohttp


async def read_bounded(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the whole body of a response.

    Raises:
        aiohttp.ClientPayloadError: The body is longer than `max_bytes`, or was broken off.
    """
    body = bytearray()
    async for data in response.content.iter_any():
        body += data
        if len(body) > max_bytes:
            response.close()
            raise aiohttp.ClientPayloadError(
                f"the body from {response.url.host} is longer than {max_bytes} bytes"
            )
    return bytes(body)
