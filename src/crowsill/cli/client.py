"""HTTP client of the command line for the operators' API of control members."""

import asyncio
from pathlib import Path
from typing import Annotated, Any, TypeVar

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from crowsill.clock import wall_s
from crowsill.errors import ErrorBody, ErrorKind
from crowsill.routing.retry_after import parse_longest_delay_s
from crowsill.transport.bounded_read import read_bounded

T = TypeVar("T")
REQUEST_TIMEOUT_S = 10.0
ATTEMPTS_PER_MEMBER = 3
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
MIN_RETRY_DELAY_S = 0.3
# Bounds the `Retry-After` of a member without a leader, because a person waits for the command.
MAX_RETRY_DELAY_S = 5.0


class OperatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operator's own settings file.

    Attributes:
        members: `http://IP:port` of each control member's operators' listener.
        token: The operator token.
        author: Name recorded in the history of changes.
    """

    members: Annotated[list[str], msgspec.Meta(min_length=1)]
    token: str
    author: str = ""


def load_operator_settings(path: Path) -> Result[OperatorSettings, str]:
    """Read the operator's settings file."""
    try:
        return Success(msgspec.toml.decode(path.read_bytes(), type=OperatorSettings))
    except (OSError, msgspec.DecodeError) as error:
        return Failure(f"{path}: {error}")


class OperatorClient:
    """Sends requests to the control members one after the other, until one responds."""

    def __init__(self, settings: OperatorSettings) -> None:
        self.settings = settings

    def get(self, path: str, response_type: type[T]) -> Result[T, str]:
        """Get a resource and decode it as `response_type`; the failure describes the error."""
        return self._request("GET", path, None, response_type)

    def post(self, path: str, body: msgspec.Struct, response_type: type[T]) -> Result[T, str]:
        """Post a body and decode the response; the request must be safe to send twice."""
        return self._request("POST", path, msgspec.json.encode(body), response_type)

    def _request(
        self, method: str, path: str, body: bytes | None, response_type: type[T]
    ) -> Result[T, str]:
        return asyncio.run(self._request_any(method, path, body, response_type))

    async def _request_any(
        self, method: str, path: str, body: bytes | None, response_type: type[T]
    ) -> Result[T, str]:
        last_error = "no control member responded"
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        headers = {"Authorization": f"Bearer {self.settings.token}"}
        async with aiohttp.ClientSession(timeout=timeout, headers=headers) as session:
            for attempt in range(ATTEMPTS_PER_MEMBER * len(self.settings.members)):
                member = self.settings.members[attempt % len(self.settings.members)]
                try:
                    async with session.request(method, f"{member}{path}", data=body) as response:
                        content = await read_bounded(response, MAX_RESPONSE_BYTES)
                        status = response.status
                        retry_after_values = response.headers.getall("Retry-After", [])
                except (aiohttp.ClientError, OSError, TimeoutError) as error:
                    last_error = f"{member}: {error!r}"
                    await asyncio.sleep(MIN_RETRY_DELAY_S)
                    continue
                decoded = _decode(status, content, response_type)
                if decoded is not None:
                    return decoded
                last_error = f"{member}: no leader"
                delay_s, _ = parse_longest_delay_s(retry_after_values, wall_s())
                await asyncio.sleep(min(MAX_RETRY_DELAY_S, max(MIN_RETRY_DELAY_S, delay_s)))
        return Failure(last_error)


def _decode(status: int, content: bytes, response_type: Any) -> Result[Any, str] | None:  # noqa: ANN401
    """Decode a response; None if the request should be retried, at another member or later."""
    try:
        if status == 200:
            return Success(msgspec.json.decode(content, type=response_type))
        error = msgspec.json.decode(content, type=ErrorBody)
    except msgspec.DecodeError as decode_error:
        return Failure(f"unexpected response with status {status}: {decode_error}")
    if error.kind == ErrorKind.NO_LEADER:
        return None
    return Failure(f"{error.kind}: {error.detail}")
