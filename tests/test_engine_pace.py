"""The gateways' latency model of engines, and the choices that depend on it."""

from random import Random

import pytest

from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.response_estimate import own_estimate
from crowsill.gateway.selection import Choice, choose
from crowsill.gateway.selection_limits import SelectionLimits
from crowsill.model.instances import Instance, LoadedModel
from crowsill.routing.engine_latency import INITIAL_TOKEN_MS, DecayingDelay, LatencyModel

REQUESTS_A_S = 5


def record(instance_id):
    return ReplicaRecord(
        Instance(instance_id, "s", "127.0.0.1:1", "z", 4, models=[LoadedModel("m")])
    )


def request(tokens=1000):
    return CallerRequest(b"POST", b"/", [], b"", True, 0.0, model="m", prompt_tokens=tokens)


@pytest.mark.parametrize("factor", [1 / 8, 1 / 3, 1.0, 3.0, 8.0])
def test_the_prefill_time_converges_within_five_seconds_of_traffic(factor):
    """The initial estimate is wrong by a factor either way, and some requests had to wait."""
    latency_model, random = LatencyModel(), Random(3)
    token_ms = INITIAL_TOKEN_MS * factor
    for _ in range(5 * REQUESTS_A_S * 2):
        tokens = random.randrange(200, 3000)
        waited_ms = random.choice([0.0, 0.0, random.uniform(0, 200)])
        latency_model.observe_first_event(
            "m", tokens, latency_model.base_ms + tokens * token_ms + waited_ms
        )
    assert token_ms / 1.6 < latency_model.token_ms["m"] < token_ms * 1.6


def test_each_model_has_its_own_prefill_time():
    latency_model = LatencyModel()
    for _ in range(60):
        latency_model.observe_first_event("small", 1000, 15.0 + 3.0)
        latency_model.observe_first_event("large", 1000, 15.0 + 25.0)
    assert latency_model.prefill_ms("large", 1000) > 5 * latency_model.prefill_ms("small", 1000)


def test_a_delay_decays_to_zero_without_new_samples():
    delay = DecayingDelay()
    for step in range(10):
        delay.observe(400.0, step / 10.0)
    assert delay.current_ms(1.0) > 300.0 and delay.current_ms(9.0) == 0.0


def test_an_engine_with_long_gaps_between_events_is_not_chosen():
    # Guards against choosing engines by their first events alone: most streams with gaps that are
    # too long were at two engines whose first events were still in time.
    slow, steady = record("a"), record("b")
    for step in range(8):
        slow.note_event_gap(0.3, step / 10.0)
        steady.note_event_gap(0.05, step / 10.0)
    chosen = choose([slow, steady], request(), set(), SelectionLimits("z", 10), 0.8)
    assert chosen.record is steady


def test_a_prompt_counts_as_pending_only_until_its_first_event():
    # Guards against rejections because prompts that were prefilled long ago still count: one
    # request in ten was rejected because the engines seemed to have a second of prefill pending.
    busy = record("a")
    busy.in_flight = 20
    chosen = choose(
        [busy], request(), set(), SelectionLimits("z", 100, max_expected_ms=1000.0), 0.0
    )
    assert isinstance(chosen, Choice) and chosen.expected_ms < 200.0


def test_an_unanswered_request_raises_the_estimate_of_a_silent_engine():
    silent = record("a")
    silent.unanswered_sent_at_s[1] = 10.0
    estimate = own_estimate(silent, request(), SelectionLimits("z", 10), 11.5)
    assert estimate.expected_ms > 1500.0
