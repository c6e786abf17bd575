"""Filter for relaying: passes the response to the caller, complete or with an error.

A response that is not a stream is read completely before any of it is relayed. A stream is relayed
chunk by chunk. If it breaks, it is resumed at its engine by request id and byte offset; if that
fails, it ends with an error, so that the caller can't mistake it for complete.
"""

import asyncio
from collections.abc import AsyncGenerator, Callable, Coroutine

from returns.result import Failure, Result, Success

from crowsill.backends.interface import BackendResponse, CallPort, TruncatedResponseError
from crowsill.clock import monotonic_s
from crowsill.errors import ErrorKind, Problem
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.model.request import ClassifiedRequest
from crowsill.pipeline.admit import Admission, Slot
from crowsill.pipeline.dispatch import DispatchedResponse
from crowsill.pipeline.incoming import CompleteResponse, StreamedResponse

MAX_RESUMES = 3
RESUME_DELAY_S = 0.05
MAX_COMPLETE_RESPONSE_BYTES = 32 * 1024 * 1024


class StreamBrokenError(Exception):
    """A stream can't be completed; the caller's connection must not end cleanly."""

    kind = ErrorKind.ANSWER_TRUNCATED


class Relay:
    """Relays responses for one entry."""

    def __init__(self, admission: Admission, calls: CallPort) -> None:
        self._admission = admission
        self._calls = calls

    async def read_complete(
        self, request: ClassifiedRequest, dispatched: DispatchedResponse
    ) -> Result[CompleteResponse, Problem]:
        """Read a response to its end."""
        response, slot = dispatched.response, dispatched.slot
        succeeded: bool | None = None
        try:
            async with asyncio.timeout(max(0.001, request.deadline_at_s - monotonic_s())):
                body = await _read_all(response)
            succeeded = True
            return Success(CompleteResponse(response.status, response.content_type, body))
        except TruncatedResponseError as error:
            succeeded = False
            return Failure(Problem(ErrorKind.ANSWER_TRUNCATED, str(error)))
        except TimeoutError:
            succeeded = False
            detail = "the response was not complete before the deadline"
            return Failure(Problem(ErrorKind.DEADLINE_EXCEEDED, detail))
        finally:
            if not succeeded:
                response.close()
            self._admission.release(slot, succeeded)

    def stream(
        self,
        request: ClassifiedRequest,
        dispatched: DispatchedResponse,
        on_end: Callable[[bool], None],
    ) -> StreamedResponse:
        """Relay a stream as it arrives.

        Args:
            request: The request.
            dispatched: The response to relay.
            on_end: Called once at the end, with whether the stream was complete.
        """
        response = dispatched.response
        chunks = self._chunks(request, response, dispatched.slot, on_end)
        return StreamedResponse(response.status, response.content_type, chunks)

    async def _chunks(
        self,
        request: ClassifiedRequest,
        response: BackendResponse,
        slot: Slot,
        on_end: Callable[[bool], None],
    ) -> AsyncGenerator[bytes, None]:
        succeeded: bool | None = None
        offset = 0
        resumes = 0
        try:
            while True:
                try:
                    while chunk := await response.read():
                        offset += len(chunk)
                        yield chunk
                    succeeded = True
                    return
                except TruncatedResponseError as error:
                    response.close()
                    resumes += 1
                    continuation = await self._resume(request, slot, offset, resumes)
                    if continuation is None:
                        succeeded = False
                        raise StreamBrokenError(str(error)) from error
                    response = continuation
        finally:
            if not succeeded:
                response.close()
            self._admission.release(slot, succeeded)
            if succeeded is None:
                # The caller disconnected, so the engine may stop generating.
                replica = slot.selection.replica.description
                _run_in_background(self._calls.cancel(replica, request.request_id))
            on_end(succeeded is True)

    async def _resume(
        self, request: ClassifiedRequest, slot: Slot, offset: int, resumes: int
    ) -> BackendResponse | None:
        if resumes > MAX_RESUMES:
            return None
        await asyncio.sleep(RESUME_DELAY_S)
        timeout_s = request.deadline_at_s - monotonic_s()
        if timeout_s <= 0:
            return None
        replica = slot.selection.replica.description
        resume_result = await self._calls.resume(replica, request.request_id, offset, timeout_s)
        if not isinstance(resume_result, Success):
            return None
        log_event(
            Event.STREAM_RESUMED,
            request=request.request_id,
            replica=replica.replica_id,
            offset=offset,
        )
        continuation: BackendResponse = resume_result.unwrap()
        return continuation


async def _read_all(response: BackendResponse) -> bytes:
    parts: list[bytes] = []
    size = 0
    while chunk := await response.read():
        parts.append(chunk)
        size += len(chunk)
        if size > MAX_COMPLETE_RESPONSE_BYTES:
            raise TruncatedResponseError(
                f"the response is larger than {MAX_COMPLETE_RESPONSE_BYTES} bytes"
            )
    return b"".join(parts)


_background_tasks: set[asyncio.Task[None]] = set()


def _run_in_background(work: Coroutine[None, None, None]) -> None:
    task = asyncio.create_task(work)
    _background_tasks.add(task)
    task.add_done_callback(_background_tasks.discard)
