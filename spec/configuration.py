"""Two operators submit and resend changes of one base revision, and an entry follows.

crowsill's own `ConfigurationStore` decides on the changes; the broken variants omit a check.
"""

import msgspec
from minicheck import Protocol

from crowsill.model.configuration import (
    Configuration,
    ConfigurationChange,
    ConfigurationContent,
    Template,
)
from crowsill.state.commands import ConfigurationDecision
from crowsill.state.configuration_store import ConfigurationStore

OPERATORS = ("alice", "bob")
MAX_REVISION = 3

State = tuple[object, ...]


class RaceState(msgspec.Struct, frozen=True):
    """One state of the model.

    Attributes:
        accepted: Accepted changes in order, as `operator:base`.
        sent: Changes in the network, which never disappear; each may arrive again.
        acknowledged: Revisions acknowledged for a change, as `operator:base:revision`.
        entry: Revision that the entry serves.
        highest: Highest revision that the entry ever served.
        updates: Revisions in transit to the entry.
    """

    accepted: tuple[str, ...]
    sent: frozenset[str]
    acknowledged: frozenset[str]
    entry: int
    highest: int
    updates: frozenset[int]


def _change(name: str) -> ConfigurationChange:
    _, _, base = name.partition(":")
    content = ConfigurationContent(templates=[Template(name.replace(":", "-"), {})])
    return ConfigurationChange(name, int(base), content)


def _store(accepted: tuple[str, ...]) -> ConfigurationStore:
    store = ConfigurationStore()
    for name in accepted:
        store.submit(_change(name), 0.0)
    return store


def _submit(state: RaceState, name: str, ignores_identity: bool) -> RaceState:
    store = _store(state.accepted)
    change = _change(name)
    if ignores_identity:
        # The broken variant rebases a resent change instead of recognising it.
        fresh = f"{name}+{len(state.accepted)}"
        change = msgspec.structs.replace(
            change, change_id=fresh, base_revision=store.current.revision
        )
    result = store.submit(change, 0.0)
    acknowledged = state.acknowledged
    accepted = state.accepted
    if result.decision is ConfigurationDecision.ACCEPTED:
        accepted = (*accepted, name)
    if result.decision in (ConfigurationDecision.ACCEPTED, ConfigurationDecision.REPEATED):
        acknowledged = acknowledged | {f"{name}:{result.revision}"}
    updates = state.updates | {len(accepted)}
    return msgspec.structs.replace(
        state, accepted=accepted, acknowledged=acknowledged, updates=updates
    )


def _adopt(state: RaceState, revision: int, adopts_any: bool) -> RaceState:
    if not adopts_any and revision <= state.entry:
        return state
    served = Configuration(revision).revision
    return msgspec.structs.replace(state, entry=served, highest=max(state.highest, served))


def _steps(
    state: RaceState, ignores_identity: bool, adopts_any: bool
) -> list[tuple[str, RaceState]]:
    steps: list[tuple[str, RaceState]] = []
    current = len(state.accepted)
    if current < MAX_REVISION:
        for operator in OPERATORS:
            sent = state.sent | {f"{operator}:{current}"}
            steps.append(("send", msgspec.structs.replace(state, sent=sent)))
        for name in sorted(state.sent):
            steps.append((f"arrive {name}", _submit(state, name, ignores_identity)))
    for revision in sorted(state.updates):
        steps.append((f"update {revision}", _adopt(state, revision, adopts_any)))
    return steps


def _one_revision_per_change(state: dict[str, frozenset[str]]) -> bool:
    acknowledged = [item.rpartition(":")[0] for item in state["acknowledged"]]
    return len(acknowledged) == len(set(acknowledged))


def _one_winner_per_base(state: dict[str, tuple[str, ...]]) -> bool:
    bases = [name.partition(":")[2] for name in state["accepted"]]
    return len(bases) == len(set(bases))


def protocol(ignores_identity: bool = False, adopts_any: bool = False) -> Protocol:
    """Return the model.

    Args:
        ignores_identity: Broken variant: a resend counts as a new change.
        adopts_any: Broken variant: the entry adopts every revision that arrives.
    """

    def transitions(key: State) -> list[tuple[str, State]]:
        state = RaceState(*key)  # type: ignore[arg-type]
        found = _steps(state, ignores_identity, adopts_any)
        return [(label, msgspec.structs.astuple(new)) for label, new in found]

    initial = RaceState((), frozenset(), frozenset(), 0, 0, frozenset())
    return Protocol(
        name="configuration",
        candidate=False,
        fields=RaceState.__struct_fields__,
        initial=msgspec.structs.astuple(initial),
        transitions=transitions,
        invariants={
            "a change has one revision": _one_revision_per_change,
            "a base has one winner": _one_winner_per_base,
            "an entry never goes back": lambda state: state["entry"] == state["highest"],
        },
    )
