"""The replicated state machine."""

from crowsill.model.configuration import (
    ConfigurationChange,
    ConfigurationContent,
    ModelTemplate,
    Parameters,
    Template,
    TrafficClass,
    Urgency,
)
from crowsill.model.fleet import FleetDelta, FleetView
from crowsill.state import claims as claims_module
from crowsill.state.commands import (
    AbandonHolders,
    ChangeConfiguration,
    ClaimDecision,
    ClaimKey,
    ClaimSettlement,
    ConfigurationDecision,
    OpenClaim,
    OrderKind,
    PlaceOrder,
    RecordedResponse,
    SettleClaim,
)
from crowsill.state.machine import StateMachine

KEY = ClaimKey("t", "s", "k")
RESPONSE = RecordedResponse(200, "text/plain", b"done")


def claim(machine, attempt, holder="e1", fingerprint=b"f", at_s=0.0, key=KEY):
    return machine.apply(OpenClaim(key, fingerprint, attempt, holder, at_s)).decision


def settle(machine, attempt, settlement, response=None):
    return machine.apply(SettleClaim(KEY, attempt, settlement, response, 0.0)).accepted


def test_states_of_a_claim():
    machine = StateMachine()
    assert claim(machine, "a") is ClaimDecision.GRANTED
    assert claim(machine, "a") is ClaimDecision.GRANTED
    assert claim(machine, "b") is ClaimDecision.IN_PROGRESS
    assert claim(machine, "b", fingerprint=b"other") is ClaimDecision.CONFLICT
    assert settle(machine, "a", ClaimSettlement.ANSWERED, RESPONSE)
    result = machine.apply(OpenClaim(KEY, b"f", "b", "e2", 0.0))
    assert (result.decision, result.response) == (ClaimDecision.ANSWERED, RESPONSE)


def test_a_released_claim_is_granted_to_another_attempt_but_not_to_a_late_duplicate():
    machine = StateMachine()
    claim(machine, "a")
    assert settle(machine, "a", ClaimSettlement.NOT_RUN)
    assert claim(machine, "a") is ClaimDecision.IN_PROGRESS
    assert claim(machine, "b") is ClaimDecision.GRANTED
    assert not settle(machine, "a", ClaimSettlement.UNKNOWN)


def test_an_abandoned_claim_is_unknown_until_its_response_arrives():
    machine = StateMachine()
    claim(machine, "a")
    machine.apply(AbandonHolders(["e1"], 0.0))
    assert claim(machine, "b") is ClaimDecision.UNKNOWN
    assert not settle(machine, "a", ClaimSettlement.NOT_RUN)
    assert settle(machine, "a", ClaimSettlement.ANSWERED, RESPONSE)
    assert claim(machine, "b") is ClaimDecision.ANSWERED


def other_key(number):
    return ClaimKey("t", "s", f"other-{number}")


def test_old_claims_are_still_known_until_the_end_of_their_retention():
    machine = StateMachine(claim_retention_s=10 * 3600.0)
    claim(machine, "a")
    settle(machine, "a", ClaimSettlement.ANSWERED, RESPONSE)
    assert claim(machine, "b", at_s=3500.0) is ClaimDecision.ANSWERED
    # After an hour only the key is stored: the request does not run again, but has no response.
    assert claim(machine, "b", at_s=3700.0) is ClaimDecision.UNKNOWN
    copy = StateMachine(claim_retention_s=10 * 3600.0)
    copy.restore(machine.snapshot())
    assert claim(copy, "b", at_s=9 * 3600.0) is ClaimDecision.UNKNOWN
    assert claim(copy, "b", at_s=12 * 3600.0) is ClaimDecision.GRANTED


def test_full_claims_are_bounded_and_no_used_key_is_forgotten(monkeypatch):
    monkeypatch.setattr(claims_module, "MAX_FULL_CLAIMS", 50)
    machine = StateMachine()
    for number in range(300):
        assert claim(machine, "a", key=other_key(number)) is ClaimDecision.GRANTED
    assert len(machine.claims.dump()) <= 52 and len(machine.claims) == 300
    for number in range(300):
        again = claim(machine, "b", key=other_key(number))
        assert again in (ClaimDecision.UNKNOWN, ClaimDecision.IN_PROGRESS)


def test_stored_responses_are_bounded_in_bytes(monkeypatch):
    monkeypatch.setattr(claims_module, "MAX_RESPONSE_BYTES", 1000)
    machine = StateMachine()
    response = RecordedResponse(200, "text/plain", b"x" * 100)
    for number in range(50):
        key = other_key(number)
        claim(machine, "a", key=key)
        machine.apply(SettleClaim(key, "a", ClaimSettlement.ANSWERED, response, 0.0))
    stored_bytes = sum(
        len(item.response.body) for _, item in machine.claims.dump() if item.response
    )
    assert stored_bytes <= 1100 and len(machine.claims) == 50


def template(name="t", traffic_class="c"):
    model = ModelTemplate("pool", 10, traffic_class)
    return Template(name, {"c": TrafficClass(Urgency.URGENT, 1, 2)}, {"m": model})


def change(change_id, base, content):
    return ChangeConfiguration(ConfigurationChange(change_id, base, content), 0.0)


def test_one_of_two_concurrent_changes_wins_and_a_resend_gets_the_first_result():
    machine = StateMachine()
    first = change("x", 0, ConfigurationContent([template()]))
    assert machine.apply(first).decision is ConfigurationDecision.ACCEPTED
    lost = machine.apply(change("y", 0, ConfigurationContent([template("u")])))
    assert lost.decision is ConfigurationDecision.CONFLICT and "'x'" in lost.detail
    again = machine.apply(first)
    assert (again.decision, again.revision) == (ConfigurationDecision.REPEATED, 1)
    reused = machine.apply(change("x", 1, ConfigurationContent([template("v")])))
    assert reused.decision is ConfigurationDecision.CONFLICT


def test_the_result_of_an_invalid_change_lists_its_errors():
    machine = StateMachine()
    tenant = Parameters("tenant", "nothing", [])
    content = ConfigurationContent([template(traffic_class="gone")], [tenant])
    result = machine.apply(change("x", 0, content))
    assert result.decision is ConfigurationDecision.INVALID
    assert "templates.t.models.m.traffic_class" in result.detail
    assert "parameters.tenant.template" in result.detail
    assert machine.configuration.current.revision == 0


def test_a_snapshot_contains_the_full_state():
    machine = StateMachine()
    claim(machine, "a")
    machine.apply(change("x", 0, ConfigurationContent([template()])))
    machine.apply(PlaceOrder("r", "i", OrderKind.LOAD, "m", 10, 1, 0.0))
    copy = StateMachine()
    copy.restore(machine.snapshot())
    assert copy.digest() == machine.digest()
    assert claim(copy, "b") is ClaimDecision.IN_PROGRESS


def test_the_fleet_view_requests_a_full_state_after_a_gap():
    view = FleetView()
    assert view.adopt(FleetDelta(1, 1, True, [], []))
    assert not view.adopt(FleetDelta(1, 3, False, [], []))
    assert view.sequence == 0 and not view.adopt(FleetDelta(1, 4, False, [], []))
    assert view.adopt(FleetDelta(1, 4, True, [], [])) and view.sequence == 4
    assert view.adopt(FleetDelta(1, 1, True, [], [])) and view.sequence == 4
    assert not view.adopt(FleetDelta(2, 5, False, [], []))
