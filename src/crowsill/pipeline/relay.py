"""Filter: brings the answer to the caller, whole or visibly broken.

A whole answer is read to its end before anything is sent on. A stream is relayed chunk by chunk;
when it breaks, it is resumed at its engine by request id and offset, and if that fails it ends
with an error, never as if it were complete.
"""

import asyncio
from collections.abc import AsyncGenerator, Callable, Coroutine

from returns.result import Failure, Result, Success

from crowsill.backends.interface import BackendAnswer, CallPort, TruncatedAnswerError
from crowsill.clock import monotonic_s
from crowsill.errors import ErrorKind, Problem
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.model.request import ClassifiedRequest
from crowsill.pipeline.admit import Admission, Slot
from crowsill.pipeline.dispatch import DispatchedAnswer
from crowsill.pipeline.incoming import StreamedAnswer, WholeAnswer

MAX_RESUMES = 3
RESUME_DELAY_S = 0.05
MAX_WHOLE_ANSWER_BYTES = 32 * 1024 * 1024


class StreamBrokenError(Exception):
    """A stream could not be completed; the caller's connection must not end cleanly."""

    kind = ErrorKind.ANSWER_TRUNCATED


class Relay:
    """Relays answers for one entry."""

    def __init__(self, admission: Admission, calls: CallPort) -> None:
        self._admission = admission
        self._calls = calls

    async def whole(
        self, request: ClassifiedRequest, dispatched: DispatchedAnswer
    ) -> Result[WholeAnswer, Problem]:
        """Read an answer to its end."""
        answer, slot = dispatched.answer, dispatched.slot
        succeeded: bool | None = None
        try:
            async with asyncio.timeout(max(0.001, request.deadline_at_s - monotonic_s())):
                body = await _read_all(answer)
            succeeded = True
            return Success(WholeAnswer(answer.status, answer.content_type, body))
        except TruncatedAnswerError as error:
            succeeded = False
            return Failure(Problem(ErrorKind.ANSWER_TRUNCATED, str(error)))
        except TimeoutError:
            succeeded = False
            detail = "the answer was not complete before the deadline"
            return Failure(Problem(ErrorKind.DEADLINE_EXCEEDED, detail))
        finally:
            if not succeeded:
                answer.close()
            self._admission.release(slot, succeeded)

    def streamed(
        self,
        request: ClassifiedRequest,
        dispatched: DispatchedAnswer,
        on_end: Callable[[bool], None],
    ) -> StreamedAnswer:
        """Relay a stream as it arrives.

        Args:
            request: The request.
            dispatched: The open answer.
            on_end: Called once, with whether the stream was complete.
        """
        answer = dispatched.answer
        chunks = self._chunks(request, answer, dispatched.slot, on_end)
        return StreamedAnswer(answer.status, answer.content_type, chunks)

    async def _chunks(
        self,
        request: ClassifiedRequest,
        answer: BackendAnswer,
        slot: Slot,
        on_end: Callable[[bool], None],
    ) -> AsyncGenerator[bytes, None]:
        succeeded: bool | None = None
        offset = 0
        resumes = 0
        try:
            while True:
                try:
                    while chunk := await answer.read():
                        offset += len(chunk)
                        yield chunk
                    succeeded = True
                    return
                except TruncatedAnswerError as error:
                    answer.close()
                    resumes += 1
                    resumed = await self._resume(request, slot, offset, resumes)
                    if resumed is None:
                        succeeded = False
                        raise StreamBrokenError(str(error)) from error
                    answer = resumed
        finally:
            if not succeeded:
                answer.close()
            self._admission.release(slot, succeeded)
            if succeeded is None:
                # The caller left: the engine need not go on.
                replica = slot.selection.replica.description
                _in_background(self._calls.cancel(replica, request.request_id))
            on_end(succeeded is True)

    async def _resume(
        self, request: ClassifiedRequest, slot: Slot, offset: int, resumes: int
    ) -> BackendAnswer | None:
        if resumes > MAX_RESUMES:
            return None
        await asyncio.sleep(RESUME_DELAY_S)
        timeout_s = request.deadline_at_s - monotonic_s()
        if timeout_s <= 0:
            return None
        replica = slot.selection.replica.description
        resumed = await self._calls.resume(replica, request.request_id, offset, timeout_s)
        if not isinstance(resumed, Success):
            return None
        log_event(
            Event.STREAM_RESUMED,
            request=request.request_id,
            replica=replica.replica_id,
            offset=offset,
        )
        continued: BackendAnswer = resumed.unwrap()
        return continued


async def _read_all(answer: BackendAnswer) -> bytes:
    parts: list[bytes] = []
    size = 0
    while chunk := await answer.read():
        parts.append(chunk)
        size += len(chunk)
        if size > MAX_WHOLE_ANSWER_BYTES:
            raise TruncatedAnswerError("the answer is too large to be held whole")
    return b"".join(parts)


_background: set[asyncio.Task[None]] = set()


def _in_background(work: Coroutine[None, None, None]) -> None:
    task = asyncio.create_task(work)
    _background.add(task)
    task.add_done_callback(_background.discard)
