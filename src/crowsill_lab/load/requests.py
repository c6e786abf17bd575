"""Sends requests of the load and checks that each response is complete and matches its request."""

import asyncio
import json
import time
import uuid
from dataclasses import dataclass

import aiohttp

from crowsill.backends.wire import STREAM_END
from crowsill.constants import HEADER_IDEMPOTENCY_KEY, HEADER_REQUEST_ID
from crowsill_lab.load.balancer import Balancer
from crowsill_lab.load.tally import KeyLedger, Tally
from crowsill_lab.settings import TrafficShape

MAX_ATTEMPTS = 6
RETRY_DELAY_S = 0.3


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request before it is sent.

    Attributes:
        shape: Kind of load that it belongs to.
        model: Requested model; empty for a service.
        tokens: Number of tokens to generate.
        prompt: Prompt of a model request, or content of a service call.
    """

    shape: TrafficShape
    model: str
    tokens: int
    prompt: str


@dataclass(frozen=True, slots=True)
class ReceivedResponse:
    """The result of one attempt.

    Attributes:
        status: HTTP status; 0 if the connection failed before a response.
        body: The received part of the body.
        request_id: Request id in the response; prefixed with `foreign:` if it belongs to another
            request.
        first_byte_s: Time to the first byte.
        last_byte_s: Time to the last byte.
        broken: Whether the connection failed before the response was complete.
        connected: Whether a connection was established.
    """

    status: int
    body: bytes
    request_id: str
    first_byte_s: float
    last_byte_s: float
    broken: bool = False
    connected: bool = True


class Caller:
    """Sends the requests of the load of one deployment."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        balancer: Balancer,
        tokens: dict[str, str],
        ledger: KeyLedger,
    ) -> None:
        self._session = session
        self._balancer = balancer
        self._tokens = tokens
        self._ledger = ledger

    async def run(self, planned: PlannedRequest, tally: Tally, send_twice: bool) -> None:
        """Send a request until it is served or finally rejected, and count the result.

        Args:
            planned: The request.
            tally: Counts the result.
            send_twice: Whether an unsafe call is sent again after its response, as by a caller that
                did not receive it.
        """
        tally.sent += 1
        key = uuid.uuid4().hex if planned.shape.unsafe else ""
        entry = ""
        for attempt in range(MAX_ATTEMPTS):
            picked = self._balancer.pick(entry)
            if picked is None:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            entry = picked
            tally.resent += attempt > 0
            received = await self._send(entry, planned, key)
            if self._count_response(planned, tally, key, received):
                break
            await asyncio.sleep(RETRY_DELAY_S)
        if send_twice and key in self._ledger.answered and entry:
            tally.resent += 1
            received = await self._send(self._balancer.pick(entry) or entry, planned, key)
            if received.status == 200 and not _is_own_call(received, key):
                tally.foreign += 1

    async def _send(self, entry: str, planned: PlannedRequest, key: str) -> ReceivedResponse:
        shape = planned.shape
        request_id = uuid.uuid4().hex
        headers = {
            "Authorization": f"Bearer {self._tokens[shape.tenant]}",
            HEADER_REQUEST_ID: request_id,
        }
        if key:
            headers[HEADER_IDEMPOTENCY_KEY] = key
        if shape.service:
            url = f"http://{entry}/services/{shape.service}{shape.path}"
            body: dict[str, object] = {"call": planned.prompt}
        else:
            url = f"http://{entry}/v1/completions"
            body = {"model": planned.model, "prompt": planned.prompt, "stream": shape.streamed}
            body["max_tokens"] = planned.tokens
        return await self._exchange(url, headers, json.dumps(body).encode(), request_id)

    async def _exchange(
        self, url: str, headers: dict[str, str], body: bytes, request_id: str
    ) -> ReceivedResponse:
        started_at_s = time.perf_counter()
        status, chunks, response_id, first_byte_s = 0, [], request_id, 0.0
        broken, connected = False, True
        try:
            async with self._session.post(url, data=body, headers=headers) as response:
                status = response.status
                response_id = response.headers.get(HEADER_REQUEST_ID, "")
                while chunk := await response.content.readany():
                    first_byte_s = first_byte_s or time.perf_counter() - started_at_s
                    chunks.append(chunk)
        except aiohttp.ClientConnectorError:
            connected = False
        except (aiohttp.ClientError, OSError, TimeoutError):
            broken = True
        last_byte_s = time.perf_counter() - started_at_s
        if response_id != request_id:
            response_id = f"foreign:{response_id}"
        body_bytes = b"".join(chunks)
        return ReceivedResponse(
            status, body_bytes, response_id, first_byte_s, last_byte_s, broken, connected
        )

    def _count_response(
        self, planned: PlannedRequest, tally: Tally, key: str, received: ReceivedResponse
    ) -> bool:
        """Count the result of an attempt; return whether it is final."""
        if not received.connected:
            tally.unreachable += 1
            return False
        if received.broken or received.status == 0:
            tally.broken += 1
            self._set_outcome(key, self._ledger.unknown)
            return False
        if received.request_id.startswith("foreign:"):
            tally.foreign += 1
            return True
        if received.status == 200:
            return self._count_success(planned, tally, key, received)
        return self._count_rejection(tally, key, received)

    def _count_success(
        self, planned: PlannedRequest, tally: Tally, key: str, received: ReceivedResponse
    ) -> bool:
        shape = planned.shape
        if shape.service:
            is_own = _is_own_call(received, key)
            is_complete = True
        else:
            is_complete, is_own = _check_completion(planned, received)
        tally.foreign += not is_own
        tally.truncated += not is_complete
        if is_own and is_complete:
            tally.add_success(
                received.first_byte_s, received.last_byte_s, shape.target_ms, planned.tokens
            )
            self._set_outcome(key, self._ledger.answered)
        return True

    def _count_rejection(self, tally: Tally, key: str, received: ReceivedResponse) -> bool:
        try:
            error = json.loads(received.body)
        except ValueError:
            tally.truncated += 1
            return True
        tally.add_rejection(error["kind"])
        is_unknown = key in self._ledger.unknown
        if error["outcome"] == "not_run" and not is_unknown:
            self._set_outcome(key, self._ledger.not_run)
        elif error["outcome"] != "not_run":
            self._set_outcome(key, self._ledger.unknown)
        return not error["retryable"]

    def _set_outcome(self, key: str, target: set[str]) -> None:
        if not key:
            return
        for outcome_keys in (self._ledger.not_run, self._ledger.unknown, self._ledger.answered):
            outcome_keys.discard(key)
        target.add(key)


def _is_own_call(received: ReceivedResponse, key: str) -> bool:
    try:
        return bool(json.loads(received.body)["key"] == key)
    except (ValueError, KeyError):
        return False


def _check_completion(planned: PlannedRequest, received: ReceivedResponse) -> tuple[bool, bool]:
    """Return whether a completion is complete, and whether it belongs to the request."""
    if planned.shape.streamed:
        is_complete = received.body.endswith(STREAM_END)
        events = [line[6:] for line in received.body.split(b"\n") if line.startswith(b"data: {")]
        text = "".join(json.loads(event)["choices"][0]["text"] for event in events)
    else:
        is_complete = True
        text = json.loads(received.body)["choices"][0]["text"]
    expected = "".join(f"{received.request_id}/{index} " for index in range(planned.tokens))
    is_own = all(word.startswith(received.request_id) for word in text.split())
    return is_complete and text == expected, is_own
