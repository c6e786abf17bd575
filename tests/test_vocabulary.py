"""Names that were withdrawn for the usual terms of the field do not come back."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
# Withdrawn name: the term that stands for it now (docs/GLOSSARY.md).
WITHDRAWN = {
    "hindrance": "exclusion",
    "hindered": "excluded",
    "prospect": "wait estimate",
    "patience_of": "wait budget",
    "Patience": "wait budget",
    "AskedResources": "missing resources",
    "KnownCaller": "principal",
    "may_act": "is_ready_to_plan",
    "may_be_sent": "accepts_on_open_connection",
    "is_sendable": "accepts_on_open_connection",
    "pass_on_wanted": "forward_demand",
    "told_times": "return times",
    "LIKENESS": "peers' use",
    "UNCROWDED": "peers' use",
    "HeldModel": "loaded model",
    "ComingModel": "loading model",
    "life_of": "instance_id_of",
    "born_ms": "started_ms",
    "Beat": "replica heartbeat",
    "RecordBeat": "record heartbeat",
    "LimitWord": "limit report",
    "NamedLimit": "advertised limit",
    "ReplicaBook": "replica registry",
    "ReplicaSight": "replica liveness",
    "EngineAccount": "engine state",
    "EnginePace": "latency model",
    "LeavingReplicas": "draining replicas",
    "LackedModels": "missing models",
    "most_lacked": "most_requested",
    "note_lacking": "note_missing",
    "NoChoice": "NoReplicaReason",
    "RefusedRequest": "rejected request",
    "Refusal": "rejection",
    "note_rest": "note_backoff",
    "is_resting": "is_backing_off",
    "note_leaving": "note_draining",
    "note_whole": "note_completion, note_complete_response",
    "note_break": "note_failure",
    "promise_return_s": "reserve_retry_at_s",
    "is_known_good": "succeeded_recently",
    "is_another_end": "is_independent_crash",
    "GOOD_LIFETIME_S": "completion validity",
    "SuspectEnds": "suspect crashes",
    "counted_ends": "counted_crashes",
    "Currency": "freshness",
    "CurrencyRelay": "freshness relay",
    "BlankCheck": "empty check",
    "is_settled_leader": "is_established_leader",
    "is_whole": "is_fully_replicated",
    "ask_once": "query_once",
    "LeaderPointer": "leader locator",
    "keep_asking": "keep_reporting",
    "submit_anywhere": "submit_or_forward",
    "WholeAnswer": "complete response",
    "DepartureAware": "disconnect monitor",
    "Doubt": "identity failure",
    "give_back": "refund, return_units",
    "has_near": "has_cached",
    "asked_s": "requested_at_s",
    "Culprit": "crashing request",
    "SilentRelay": "partitioning relay",
    "MOST_TOLD": "MAX_REPORTED_LIMITS, MAX_REPORTED_EXCLUSIONS",
}
PATTERN = re.compile("|".join(rf"\b{word}s?\b" for word in WITHDRAWN))


def withdrawn_names(text):
    """Return the withdrawn names in a text."""
    return sorted(set(PATTERN.findall(text)))


def test_withdrawn_names_are_used_nowhere():
    found = {
        str(path.relative_to(ROOT)): names
        for folder in ("src", "platform")
        for path in (ROOT / folder).rglob("*.py")
        if (names := withdrawn_names(path.read_text()))
    }
    assert found == {}


def test_a_planted_name_is_found():
    assert withdrawn_names("def may_act(self):") == ["may_act"]
    assert withdrawn_names("the hindrances of it") == ["hindrances"]
    assert withdrawn_names("an excluded replica") == []
