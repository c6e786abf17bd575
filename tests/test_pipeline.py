"""The pipeline of an entry with scripted back ends."""

import asyncio
import hashlib
from random import Random

import pytest
from hypothesis import given, strategies
from returns.result import Failure, Result, Success

from crowsill.backends.interface import CallFailure, FailureReason, TruncatedResponseError
from crowsill.errors import ErrorKind, Outcome, Problem
from crowsill.model.configuration import (
    Configuration,
    ModelTemplate,
    Parameters,
    ServiceTemplate,
    Template,
    TenantLimits,
    TrafficClass,
    Urgency,
)
from crowsill.pipeline.admit import Admission
from crowsill.pipeline.classify import classify
from crowsill.pipeline.deduplicate import Deduplicator
from crowsill.pipeline.dispatch import Dispatcher
from crowsill.pipeline.incoming import IncomingRequest
from crowsill.pipeline.pipeline import Filters, Pipeline
from crowsill.pipeline.relay import Relay, StreamBrokenError
from crowsill.pipeline.routing_table import RoutingTable
from crowsill.routing.retry_budget import RetryBudget
from crowsill.routing.selection import Selector
from crowsill.state.machine import StateMachine
from crowsill.transport.messages import Submitted
from tests.test_routing import index_of, replica

TOKEN = "secret"
NO_LIMITS = TenantLimits()
UNREACHABLE = CallFailure(Outcome.NOT_RUN, FailureReason.UNREACHABLE)
FULL = CallFailure(Outcome.NOT_RUN, FailureReason.FULL)
CONNECTION_LOST = CallFailure(Outcome.UNKNOWN, FailureReason.CONNECTION_LOST)


def configuration(limits=NO_LIMITS):
    template = Template(
        "t",
        {
            "fast": TrafficClass(Urgency.URGENT, 100, 1000),
            "slow": TrafficClass(Urgency.PATIENT, 100, 1000),
        },
        {"m": ModelTemplate("p", 10, "slow")},
        {"pay": ServiceTemplate("p", "fast", unsafe=True)},
    )
    token = hashlib.sha256(TOKEN.encode()).hexdigest()
    tenant = Parameters("tenant", "t", [token], ["m"], ["pay"], limits=limits)
    return Configuration(1, {"t": template}, {"tenant": tenant})


class ScriptedResponse:
    """A response that returns the given chunks; an exception among them is raised."""

    status = 200
    content_type = "text/plain"

    def __init__(self, chunks):
        self._chunks = list(chunks)

    async def read(self):
        chunk = self._chunks.pop(0) if self._chunks else b""
        if isinstance(chunk, Exception):
            raise chunk
        return chunk

    def close(self):
        pass


class ScriptedCalls:
    """Responds to calls with the given failures and lists of chunks, in order."""

    def __init__(self, *script, resumes=()):
        self.script = list(script)
        self.resumes = list(resumes)
        self.sent = []
        self.offsets = []
        self.cancelled = []

    async def send(self, replica_description, request, timeout_s):
        self.sent.append(replica_description.replica_id)
        step = self.script.pop(0)
        if isinstance(step, CallFailure):
            return Failure(step)
        return Success(ScriptedResponse(step))

    async def resume(self, replica_description, request_id, offset, timeout_s):
        self.offsets.append(offset)
        return (
            Success(ScriptedResponse(self.resumes.pop(0)))
            if self.resumes
            else Failure(CONNECTION_LOST)
        )

    async def cancel(self, replica_description, request_id):
        self.cancelled.append(request_id)


class LocalSubmitter:
    """Applies commands to a state machine at once; fails while it is disconnected."""

    def __init__(self):
        self.machine = StateMachine()
        self.disconnected = False

    async def submit(self, request, deadline_at_s) -> Result[Submitted, Problem]:
        if self.disconnected:
            return Failure(Problem(ErrorKind.NO_LEADER, "disconnected"))
        return Success(Submitted(self.machine.apply(request.command)))


def pipeline_with(calls, submitter=None, replicas=("a", "b"), limits=NO_LIMITS, slots=8):
    states = [replica(name, slots=slots) for name in replicas]
    admission = Admission(Selector(Random(1), 0.0), index_of(*states), 100)
    filters = Filters(
        admission,
        Deduplicator(submitter or LocalSubmitter(), "entry"),
        Dispatcher(admission, calls, RetryBudget(0.1)),
        Relay(admission, calls),
    )
    pipeline = Pipeline(filters, lambda resource: None)
    pipeline.table = RoutingTable(configuration(limits))
    return pipeline


def incoming(**changes):
    values = {
        "request_id": "r",
        "method": "POST",
        "path": "/v1/completions",
        "query": "",
        "authorization": f"Bearer {TOKEN}",
        "content_type": "application/json",
        "idempotency_key": None,
        "deadline_ms": None,
        "urgency": None,
        "unsafe": False,
        "body": b'{"model":"m","prompt":"x"}',
    }
    return IncomingRequest(**{**values, **changes})


def pay(key="k", body=b"1", **changes):
    return incoming(path="/services/pay/now", idempotency_key=key, body=body, **changes)


def kind_of(result):
    return result.failure().kind


def test_a_safe_request_is_retried_at_another_replica():
    calls = ScriptedCalls(CONNECTION_LOST, [b"whole"])
    result = asyncio.run(pipeline_with(calls).serve(incoming()))
    assert result.unwrap().body == b"whole"
    assert set(calls.sent) == {"a", "b"}


def test_an_unsafe_request_that_may_have_run_is_never_sent_again():
    calls = ScriptedCalls(CONNECTION_LOST, [b"second"])
    submitter = LocalSubmitter()

    async def scenario():
        pipeline = pipeline_with(calls, submitter)
        first = await pipeline.serve(pay())
        await asyncio.sleep(0)
        return first, await pipeline.serve(pay())

    first, second = asyncio.run(scenario())
    assert first.failure().answer.outcome is Outcome.UNKNOWN
    assert kind_of(second) is ErrorKind.OUTCOME_UNKNOWN
    assert len(calls.sent) == 1


def test_an_unsafe_request_that_was_not_run_is_retried_and_its_response_is_replayed():
    calls = ScriptedCalls(UNREACHABLE, [b"paid"])
    submitter = LocalSubmitter()

    async def scenario():
        first = await pipeline_with(calls, submitter).serve(pay())
        await asyncio.sleep(0)
        other_entry = pipeline_with(calls, submitter)
        return first, await other_entry.serve(pay()), await other_entry.serve(pay(body=b"2"))

    first, resend, conflicting = asyncio.run(scenario())
    assert first.unwrap().body == resend.unwrap().body == b"paid"
    assert resend.unwrap().replayed and not first.unwrap().replayed
    assert kind_of(conflicting) is ErrorKind.KEY_CONFLICT
    assert len(calls.sent) == 2


def test_the_outcome_is_not_run_only_if_no_attempt_may_have_run():
    # The first attempt may have run, so rejections of later attempts don't make it `not_run`.
    calls = ScriptedCalls(CONNECTION_LOST, FULL, FULL, FULL)
    result = asyncio.run(pipeline_with(calls).serve(incoming()))
    assert result.failure().answer.outcome is Outcome.UNKNOWN
    calls = ScriptedCalls(FULL, FULL, FULL, FULL)
    result = asyncio.run(pipeline_with(calls).serve(incoming()))
    assert result.failure().answer.outcome is Outcome.NOT_RUN


def test_a_rejected_unsafe_request_may_be_sent_again():
    calls = ScriptedCalls(*[FULL] * 4, [b"paid"])
    submitter = LocalSubmitter()

    async def scenario():
        pipeline = pipeline_with(calls, submitter)
        first = await pipeline.serve(pay())
        await asyncio.sleep(0)
        return first, await pipeline.serve(pay())

    first, second = asyncio.run(scenario())
    assert first.failure().answer.outcome is Outcome.NOT_RUN
    assert second.unwrap().body == b"paid"


def test_a_key_older_than_the_retention_of_claims_is_rejected():
    old = "0190163d-8694-739b-aea5-966c26f8ad91"
    calls = ScriptedCalls()
    result = asyncio.run(pipeline_with(calls).serve(pay(key=old)))
    assert kind_of(result) is ErrorKind.KEY_EXPIRED
    assert result.failure().answer.outcome is Outcome.UNKNOWN and calls.sent == []


def test_without_a_majority_unsafe_requests_are_rejected_and_safe_ones_are_served():
    submitter = LocalSubmitter()
    submitter.disconnected = True
    calls = ScriptedCalls([b"safe"])

    async def scenario():
        pipeline = pipeline_with(calls, submitter)
        return await pipeline.serve(pay()), await pipeline.serve(incoming())

    unsafe, safe = asyncio.run(scenario())
    assert kind_of(unsafe) is ErrorKind.CLAIMS_UNAVAILABLE
    # An earlier attempt with the key may have run, so the outcome must not be `not_run`.
    assert unsafe.failure().answer.outcome is Outcome.UNKNOWN
    assert safe.unwrap().body == b"safe" and len(calls.sent) == 1


def test_a_truncated_response_is_an_error():
    calls = ScriptedCalls([b"half", TruncatedResponseError("cut")])
    result = asyncio.run(pipeline_with(calls).serve(incoming()))
    assert kind_of(result) is ErrorKind.ANSWER_TRUNCATED


async def collect(result):
    return [chunk async for chunk in result.unwrap().chunks]


def test_a_broken_stream_is_resumed_at_its_offset():
    calls = ScriptedCalls([b"abc", TruncatedResponseError("cut")], resumes=[[b"def"]])

    async def scenario():
        pipeline = pipeline_with(calls)
        stream = incoming(body=b'{"model":"m","prompt":"x","stream":true}')
        chunks = await collect(await pipeline.serve(stream))
        return chunks, pipeline.in_flight

    assert asyncio.run(scenario()) == ([b"abc", b"def"], 0)
    assert calls.offsets == [3]


def test_a_stream_that_cannot_be_resumed_never_ends_cleanly():
    calls = ScriptedCalls([b"abc", TruncatedResponseError("cut")])

    async def scenario():
        stream = incoming(body=b'{"model":"m","prompt":"x","stream":true}')
        await collect(await pipeline_with(calls).serve(stream))

    with pytest.raises(StreamBrokenError):
        asyncio.run(scenario())


def test_a_disconnect_during_a_stream_frees_the_slot_and_cancels_upstream():
    calls = ScriptedCalls([b"abc", b"def"])

    async def scenario():
        pipeline = pipeline_with(calls)
        stream = incoming(body=b'{"model":"m","prompt":"x","stream":true}')
        chunks = (await pipeline.serve(stream)).unwrap().chunks
        await anext(chunks)
        await chunks.aclose()
        await asyncio.sleep(0)
        return pipeline.in_flight

    assert asyncio.run(scenario()) == 0
    assert calls.cancelled == ["r"]


def test_the_rate_limit_of_a_tenant_is_applied():
    calls = ScriptedCalls([b"one"])
    limits = TenantLimits(requests_per_s=0.001, burst=1)

    async def scenario():
        pipeline = pipeline_with(calls, limits=limits)
        return await pipeline.serve(incoming()), await pipeline.serve(incoming())

    first, second = asyncio.run(scenario())
    assert isinstance(first, Success)
    assert kind_of(second) is ErrorKind.RATE_LIMITED


def test_no_replica_and_no_configuration():
    result = asyncio.run(pipeline_with(ScriptedCalls(), replicas=()).serve(incoming()))
    assert kind_of(result) is ErrorKind.NO_REPLICA
    pipeline = pipeline_with(ScriptedCalls())
    pipeline.table = None
    assert kind_of(asyncio.run(pipeline.serve(incoming()))) is ErrorKind.NOT_READY


INVALID_REQUESTS = [
    ({"authorization": ""}, ErrorKind.UNAUTHENTICATED),
    ({"authorization": "Bearer wrong"}, ErrorKind.UNAUTHENTICATED),
    ({"authorization": "Basic secret"}, ErrorKind.UNAUTHENTICATED),
    ({"body": b""}, ErrorKind.INVALID_REQUEST),
    ({"body": b"{"}, ErrorKind.INVALID_REQUEST),
    ({"body": b'{"model":3,"prompt":"x"}'}, ErrorKind.INVALID_REQUEST),
    ({"body": b'{"model":"m"}'}, ErrorKind.INVALID_REQUEST),
    ({"body": b'\xff{"model":"m"}'}, ErrorKind.INVALID_REQUEST),
    ({"body": b'{"model":"other","prompt":"x"}'}, ErrorKind.UNKNOWN_MODEL),
    ({"method": "GET"}, ErrorKind.INVALID_REQUEST),
    ({"deadline_ms": "soon"}, ErrorKind.INVALID_REQUEST),
    ({"deadline_ms": "0"}, ErrorKind.INVALID_REQUEST),
    ({"deadline_ms": "-5"}, ErrorKind.INVALID_REQUEST),
    ({"urgency": "extreme"}, ErrorKind.INVALID_REQUEST),
    ({"urgency": "urgent"}, ErrorKind.INVALID_REQUEST),
    ({"unsafe": True}, ErrorKind.KEY_REQUIRED),
    ({"path": "/services/gone/x"}, ErrorKind.UNKNOWN_SERVICE),
    ({"path": "/services/pay/x"}, ErrorKind.KEY_REQUIRED),
    ({"path": "/services/pay/x", "idempotency_key": "k" * 200}, ErrorKind.INVALID_REQUEST),
    ({"path": "/services/pay/x", "idempotency_key": "a\nb"}, ErrorKind.INVALID_REQUEST),
]


@pytest.mark.parametrize(("changes", "kind"), INVALID_REQUESTS)
def test_invalid_requests_get_the_matching_error(changes, kind):
    result = asyncio.run(pipeline_with(ScriptedCalls()).serve(incoming(**changes)))
    assert kind_of(result) is kind


@given(
    strategies.binary(max_size=80),
    strategies.text(max_size=12),
    strategies.text(max_size=12),
    strategies.text(max_size=30),
)
def test_classification_of_any_input_returns_a_result(body, deadline, urgency, path):
    routes = RoutingTable(configuration()).tenants["tenant"]
    for target in ("/v1/completions", "/services/" + path):
        given_request = incoming(body=body, deadline_ms=deadline, urgency=urgency, path=target)
        assert isinstance(classify(given_request, routes, 0.0), Success | Failure)


def test_waiting_requests_get_freed_slots_and_expired_ones_are_rejected():
    calls = ScriptedCalls([b"one"], [b"two"])

    async def scenario():
        pipeline = pipeline_with(calls, replicas=("a",), slots=1)
        admission = pipeline._filters.admission
        routes = pipeline.table.tenants["tenant"]
        occupying_request = classify(incoming(), routes, 0.0).unwrap()
        occupying_request.deadline_at_s = float("inf")
        occupied_slot = (await admission.admit(occupying_request, routes, frozenset())).unwrap()
        waiting = asyncio.create_task(pipeline.serve(incoming()))
        expiring = asyncio.create_task(pipeline.serve(incoming(deadline_ms="1")))
        while admission._queues.count(Urgency.PATIENT) < 2:
            await asyncio.sleep(0)
        await asyncio.sleep(0.002)
        admission.reject_expired()
        rejected = await expiring
        admission.release(occupied_slot, succeeded=True)
        return await waiting, rejected

    served, rejected = asyncio.run(scenario())
    assert served.unwrap().body == b"one"
    assert kind_of(rejected) is ErrorKind.OVERLOADED
    assert rejected.failure().answer.outcome is Outcome.NOT_RUN


def test_a_backing_off_replica_gets_no_requests_and_retry_after_covers_the_backoff():
    """A slot must not be granted again after a rejection that asked for a backoff.

    If the slot is released before the backoff is recorded, a waiting request gets it at once.
    """
    backing_off = CallFailure(Outcome.NOT_RUN, FailureReason.FULL, backoff_s=30.0)

    async def scenario():
        calls = ScriptedCalls(backing_off, [b"ok"], [b"ok"], [b"ok"])
        pipeline = pipeline_with(calls)
        for _ in range(3):
            assert isinstance(await pipeline.serve(incoming()), Success)
        assert len(calls.sent) == 4 and len(set(calls.sent[1:])) == 1
        assert calls.sent[0] not in calls.sent[1:]
        alone = ScriptedCalls(backing_off)
        pipeline = pipeline_with(alone, replicas=("a",))
        problem = (await pipeline.serve(incoming(deadline_ms="5000"))).failure()
        assert problem.kind is ErrorKind.OVERLOADED and problem.answer.retry_after_s >= 30
        assert alone.sent == ["a"]

    asyncio.run(scenario())
