"""The command line's connection to the control members."""

import asyncio
from pathlib import Path
from typing import Annotated, Any, TypeVar

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from crowsill.clock import wall_s
from crowsill.errors import ErrorBody, ErrorKind
from crowsill.routing.retry_after import parse_longest_delay_s

T = TypeVar("T")
REQUEST_TIMEOUT_S = 10.0
TRIES = 3
RETRY_S = 0.3
# A member that has no leader says when to come back; a person waits at this end.
LONGEST_RETRY_S = 5.0


class OperatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operator's own settings file.

    Attributes:
        members: `http://IP:port` of each control member's operators' listener.
        token: The operator token.
        author: Name written into the history.
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
    """Asks the control members, one after the other until one answers."""

    def __init__(self, settings: OperatorSettings) -> None:
        self.settings = settings

    def get(self, path: str, kind: type[T]) -> Result[T, str]:
        """Get a resource."""
        return self._request("GET", path, None, kind)

    def post(self, path: str, body: msgspec.Struct, kind: type[T]) -> Result[T, str]:
        """Post a body; it must be safe to send twice."""
        return self._request("POST", path, msgspec.json.encode(body), kind)

    def _request(self, method: str, path: str, body: bytes | None, kind: type[T]) -> Result[T, str]:
        return asyncio.run(self._ask_all(method, path, body, kind))

    async def _ask_all(
        self, method: str, path: str, body: bytes | None, kind: type[T]
    ) -> Result[T, str]:
        last = "no control member answered"
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        headers = {"Authorization": f"Bearer {self.settings.token}"}
        async with aiohttp.ClientSession(timeout=timeout, headers=headers) as session:
            for attempt in range(TRIES * len(self.settings.members)):
                member = self.settings.members[attempt % len(self.settings.members)]
                try:
                    async with session.request(method, f"{member}{path}", data=body) as response:
                        content = await response.read()
                        status = response.status
                        told = response.headers.getall("Retry-After", [])
                except (aiohttp.ClientError, OSError, TimeoutError) as error:
                    last = f"{member}: {error!r}"
                    await asyncio.sleep(RETRY_S)
                    continue
                answer = _decode(status, content, kind)
                if answer is not None:
                    return answer
                last = f"{member}: no leader"
                delay_s, _ = parse_longest_delay_s(told, wall_s())
                await asyncio.sleep(min(LONGEST_RETRY_S, max(RETRY_S, delay_s)))
        return Failure(last)


def _decode(status: int, content: bytes, kind: Any) -> Result[Any, str] | None:  # noqa: ANN401
    """Decode an answer; None means that another member, or a later try, may do better."""
    try:
        if status == 200:
            return Success(msgspec.json.decode(content, type=kind))
        error = msgspec.json.decode(content, type=ErrorBody)
    except msgspec.DecodeError as fault:
        return Failure(f"unexpected answer with status {status}: {fault}")
    if error.kind == ErrorKind.NO_LEADER:
        return None
    return Failure(f"{error.kind}: {error.detail}")
