"""State of an emulated engine: memory, resident models, orders, batch and streams."""

import asyncio
import heapq
import itertools
from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec

from crowsill.backends.interface import CacheEvent, CacheEvents
from crowsill.backends.wire import STREAM_END, OrderBody
from crowsill_lab.settings import EngineShape

MAX_STREAMS = 2000
MAX_EVENTS = 400
PREFIX_BYTES = 256


@dataclass(eq=False)
class Sequence:
    """One request in an engine.

    Attributes:
        request_id: Id of the request.
        resource: `model` or `model:adapter`.
        prompt: The prompt.
        prefix: Hash of the start of the prompt, from the request header; 0 for none.
        tokens: Number of tokens to generate.
        priority: Sequences with a smaller value run first.
        output: Server-sent events generated so far.
        text: Tokens generated so far.
        is_done: Whether all tokens are generated.
        is_cancelled: Whether it was cancelled.
        changed: Set whenever `output`, `is_done` or `is_cancelled` changes.
    """

    request_id: str
    resource: str
    prompt: bytes
    prefix: int
    tokens: int
    priority: int
    output: bytearray = field(default_factory=bytearray)
    text: list[str] = field(default_factory=list)
    is_done: bool = False
    is_cancelled: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def emit(self) -> None:
        """Generate one token."""
        token = f"{self.request_id}/{len(self.text)} "
        self.text.append(token)
        self.output += b'data: {"choices":[{"text":"' + token.encode() + b'"}]}\n\n'
        if len(self.text) >= self.tokens:
            self.is_done = True
            self.output += STREAM_END
        self.changed.set()


class ExportedSequence(msgspec.Struct, frozen=True):
    """State of a request for the transfer to another engine."""

    resource: str
    prompt: bytes
    prefix: int
    tokens: int
    text: list[str]


@dataclass
class EngineCounters:
    """Counters that the lab reads at the end of a run.

    Attributes:
        executions: Requests that were queued.
        overcommits: Load orders that exceeded the memory.
        loads: Finished loads.
        unloads: Finished unloads.
        stale_orders: Orders with an older fence.
        prefix_hits: Prompts whose start was in the prefix cache.
        prefix_misses: Prompts with a prefix that was not in the cache.
        last_new_work_s: Unix time of the last accepted request.
    """

    executions: int = 0
    overcommits: int = 0
    loads: int = 0
    unloads: int = 0
    stale_orders: int = 0
    prefix_hits: int = 0
    prefix_misses: int = 0
    last_new_work_s: float = 0.0


class EngineCore:
    """An engine with continuous batching.

    Attributes:
        resident: Memory in MiB of each resident resource.
        loading: Memory in MiB of each resource that is loading.
        draining: Whether new work is rejected.
        counters: Counters of events since the start.
    """

    def __init__(self, shape: EngineShape, incarnation: str) -> None:
        self.shape = shape
        self.incarnation = incarnation
        self.resident: dict[str, int] = {}
        self.loading: dict[str, int] = {}
        self.draining = False
        self.counters = EngineCounters()
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._running: list[Sequence] = []
        self._streams: OrderedDict[str, Sequence] = OrderedDict()
        self._prefixes: OrderedDict[int, None] = OrderedDict()
        self._events: list[CacheEvent] = []
        self._first_event = 1
        self._sequence_number = itertools.count()
        self._fence = (0, 0)
        self._has_work = asyncio.Event()

    @property
    def running(self) -> int:
        """Number of sequences in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of sequences that wait for the batch."""
        return len(self._waiting)

    @property
    def used_mib(self) -> int:
        """Memory of resident and loading resources in MiB."""
        return sum(self.resident.values()) + sum(self.loading.values())

    def submit(self, sequence: Sequence) -> None:
        """Queue a request."""
        self.counters.executions += 1
        self._streams[sequence.request_id] = sequence
        while len(self._streams) > MAX_STREAMS:
            self._streams.popitem(last=False)
        heapq.heappush(self._waiting, (sequence.priority, next(self._sequence_number), sequence))
        self._has_work.set()

    def find(self, request_id: str) -> Sequence | None:
        """Return the sequence of a request, or None if it is no longer stored."""
        return self._streams.get(request_id)

    def cancel(self, request_id: str) -> None:
        """Stop generating for a request."""
        sequence = self._streams.get(request_id)
        if sequence is not None and not sequence.is_done:
            sequence.is_cancelled = True
            sequence.changed.set()

    def check_order(self, order: OrderBody) -> int:
        """Check an order's incarnation and fence; return an HTTP status, 202 if it is accepted."""
        if not self.shape.checks_fence:
            return 202
        if order.incarnation != self.incarnation:
            return 410
        fence = (order.term, order.order_id)
        if fence < self._fence:
            self.counters.stale_orders += 1
            return 409
        self._fence = max(self._fence, fence)
        return 202

    def reserve(self, order: OrderBody) -> bool:
        """Reserve memory for a load; count and reject an overcommit."""
        if order.resource in self.resident or order.resource in self.loading:
            return True
        if self.used_mib + order.memory_mib > self.shape.memory_mib:
            self.counters.overcommits += 1
            return False
        self.loading[order.resource] = order.memory_mib
        return True

    def finish_load(self, resource: str) -> None:
        """Make a loading resource resident."""
        self.resident[resource] = self.loading.pop(resource)
        self.counters.loads += 1

    def unload(self, order: OrderBody) -> None:
        """Remove a resource immediately."""
        if self.resident.pop(order.resource, None) is not None:
            self.counters.unloads += 1

    def _prefill_s(self, sequence: Sequence) -> float:
        size = len(sequence.prompt)
        if sequence.prefix in self._prefixes:
            self._prefixes.move_to_end(sequence.prefix)
            self.counters.prefix_hits += 1
            size = max(0, size - PREFIX_BYTES)
        elif sequence.prefix:
            self.counters.prefix_misses += 1
            self._prefixes[sequence.prefix] = None
            self._append_event(CacheEvent(sequence.prefix, True))
            if len(self._prefixes) > self.shape.prefix_cache_entries:
                evicted, _ = self._prefixes.popitem(last=False)
                self._append_event(CacheEvent(evicted, False))
        return self.shape.prefill_ms_per_100_bytes * size / 100 / 1000

    def _append_event(self, event: CacheEvent) -> None:
        """Store an event for readers; the oldest ones are dropped beyond `MAX_EVENTS`."""
        self._events.append(event)
        if len(self._events) > MAX_EVENTS:
            del self._events[: MAX_EVENTS // 2]
            self._first_event += MAX_EVENTS // 2

    def events_after(self, number: int) -> CacheEvents:
        """Return the events after a number that are still stored."""
        skip = max(0, number - self._first_event + 1)
        first = self._first_event + skip
        return CacheEvents(self.incarnation, first, self._events[skip:])

    def export_kv(self, request_id: str) -> bytes | None:
        """Return the state of a request, or None if the request is unknown."""
        sequence = self._streams.get(request_id)
        if sequence is None:
            return None
        exported = ExportedSequence(
            sequence.resource, sequence.prompt, sequence.prefix, sequence.tokens, sequence.text
        )
        return msgspec.json.encode(exported)

    def import_kv(self, request_id: str, data: bytes) -> None:
        """Continue a request with state that another engine exported."""
        exported = msgspec.json.decode(data, type=ExportedSequence)
        sequence = Sequence(
            request_id, exported.resource, exported.prompt, exported.prefix, exported.tokens, 0
        )
        for _ in exported.text:
            sequence.emit()
        if sequence.is_done:
            self._streams[request_id] = sequence
        else:
            self.submit(sequence)

    async def run(self) -> None:
        """Run the steps of the batch until cancelled."""
        while True:
            prefill_s = self._fill_batch()
            if not self._running:
                self._has_work.clear()
                await self._has_work.wait()
                continue
            step_ms = self.shape.step_base_ms
            step_ms += self.shape.step_per_sequence_ms * len(self._running)
            await asyncio.sleep(step_ms / 1000 + prefill_s)
            for sequence in self._running:
                if not sequence.is_cancelled:
                    sequence.emit()
            self._running = [
                item for item in self._running if not item.is_done and not item.is_cancelled
            ]

    def _fill_batch(self) -> float:
        prefill_s = 0.0
        while self._waiting and len(self._running) < self.shape.slots:
            _, _, sequence = heapq.heappop(self._waiting)
            if not sequence.is_cancelled:
                prefill_s += self._prefill_s(sequence)
                self._running.append(sequence)
        return prefill_s
