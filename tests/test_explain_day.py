"""Reports of lost requests and their causes from saved logs."""

import pytest

from crowsill_lab.explain_day import Cause, losses_of, plot, read_tries, table
from crowsill_lab.return_times import RetryTime, retry_table, return_times

AT = "2026-01-02T03:04:0{second}.678Z INFO"


def losses_of_texts(texts):
    return losses_of(read_tries(texts))


def line(second, text):
    return f"{AT.format(second=second)} {text} node=g"


def routed(request, replica="i-1", ms=1.0):
    return f"E200 request_routed request={request} resource=m replica={replica} ms={ms}"


def finished(request, **more):
    fields = {"status": 200, "late": True, "first_ms": 900.0, "gap_ms": 10.0, "ms": 950.0, **more}
    log_fields = " ".join(f"{name}={value}" for name, value in fields.items())
    return f"E202 request_finished request={request} route=r {log_fields}"


def refused(request, kind, detail=""):
    return f'E201 request_refused request={request} route=r kind={kind} detail="{detail}" ms=5'


@pytest.mark.parametrize(
    ("texts", "cause"),
    [
        ([refused("a", "no_replica", "no replica holds the model yet")], Cause.MODEL_MISSING),
        ([refused("a", "overloaded", "every replica is full: status 503")], Cause.REPLICAS_FULL),
        (
            [refused("a", "overloaded", "every replica that could run it asked for rest: i-1")],
            Cause.BACKING_OFF,
        ),
        ([refused("a", "rate_limited")], Cause.TENANT_REJECTED),
        ([refused("a", "quarantined", "replicas ended")], Cause.QUARANTINED),
        ([refused("a", "overloaded", "not sent in time")], Cause.NOT_SENT),
        ([routed("a"), refused("a", "deadline_exceeded", "no answer in time")], Cause.NO_RESPONSE),
        ([routed("a"), refused("a", "answer_cut", "reset")], Cause.REPLICA_FAILED),
        ([refused("a", "payload_too_large")], Cause.OTHER),
        (["E209 caller_left request=a"], Cause.CANCELLED_WAITING),
        ([routed("a"), "E209 caller_left request=a"], Cause.CANCELLED_RUNNING),
        ([routed("a", ms=700.0), finished("a")], Cause.LATE_WAITING),
        ([routed("a"), finished("a")], Cause.LATE_START),
        ([routed("a"), finished("a", first_ms=50.0, gap_ms=600.0)], Cause.LATE_PAUSE),
        ([routed("a"), finished("a", status=500)], Cause.REPLICA_FAILED),
    ],
)
def test_each_try_that_did_not_end_in_time_has_one_cause(texts, cause):
    losses = losses_of_texts(["\n".join(line(1, text) for text in texts)])
    assert [found for (found, _route) in losses.by_cause] == [cause]
    assert sum(losses.tries.values()) == 1


def test_tries_that_end_in_time_or_have_no_end_are_not_lost():
    texts = [routed("a"), finished("a", late=False), routed("b")]
    losses = losses_of_texts(["\n".join(line(1, text) for text in texts)])
    assert not losses.by_cause and losses.tries == {"r": 1}
    assert plot(losses) == "nothing was lost"


def test_lost_tries_are_reported_by_cause_route_model_replica_and_second():
    texts = [
        line(1, routed("a")),
        line(2, finished("a")),
        line(4, routed("b", "i-2")),
        line(4, refused("b", "answer_cut")),
        line(4, refused("c", "overloaded", "every replica is full: ")),
        "a broken line",
    ]
    losses = losses_of_texts(["\n".join(texts)])
    shown = table(losses)
    assert "late: its replica was slow to begin" in shown and "1 (0.333)" in shown
    assert "most by model: m 2" in shown and "most by replica: i-1 1, i-2 1" in shown
    assert plot(losses).splitlines()[1:] == [
        f"    0 s      1 {'#' * 25}",
        "    1 s      0 ",
        "    2 s      0 ",
        f"    3 s      2 {'#' * 50}",
    ]


def rejected_with_retry_after(request, after_s):
    refusal = refused(request, "overloaded", "every replica is full")
    return f"{refusal} resource=m retry_after_s={after_s}"


def test_retry_after_is_compared_with_when_a_similar_request_was_served():
    # The request whose response ends at 4.678 s was sent to its replica 0.949 s earlier.
    texts = [
        line(1, rejected_with_retry_after("a", 0.5)),
        line(1, rejected_with_retry_after("b", 3.0)),
        line(4, routed("c")),
        line(4, finished("c")),
        line(5, rejected_with_retry_after("d", 1.0)),
        line(5, refused("e", "unauthenticated")),
    ]
    found = return_times(read_tries(["\n".join(texts)]))
    assert [(item.cause, item.retry_after_s) for item in found] == [
        (Cause.REPLICAS_FULL, 0.5),
        (Cause.REPLICAS_FULL, 3.0),
        (Cause.REPLICAS_FULL, 1.0),
    ]
    assert [round(item.served_after_s, 3) for item in found] == [2.051, 2.051, float("inf")]


def test_too_early_and_too_late_retry_times_are_counted():
    times = [(0.5, 2.0), (3.5, 2.0), (2.5, 2.0), (1.0, float("inf"))]
    shown = retry_table(
        [
            RetryTime(Cause.REPLICAS_FULL, retry_after_s, served_after_s)
            for retry_after_s, served_after_s in times
        ]
    )
    assert shown.splitlines()[1].split()[-6:] == ["4", "1.75", "2.00", "0.500", "0.250", "0.250"]
