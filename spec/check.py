"""Runs the model checker over all specifications: `python -m spec.check`.

Each correct model must satisfy its invariants over its full state space. Each broken variant must
yield a counter-example, which shows that the check can fail.
"""

import sys
import time
from dataclasses import dataclass

from minicheck import Protocol, check_safety

from spec import (
    claims,
    configuration,
    election,
    incarnations,
    orders,
    replacement,
    restarts,
    revocation,
    store_loads,
)
from spec.orders import Variant

MEMORY = "memory is not overcommitted"
STORE = "no window has more loads than the store allows"
MAX_STATES = 1_000_000
# A counter-example in a part of the state space is sufficient.
MAX_BROKEN_STATES = 50_000


@dataclass(frozen=True, slots=True)
class Case:
    """One run of the checker.

    Attributes:
        name: Name in the report.
        protocol: The model.
        broken: The invariant that must be violated; None if all must hold.
    """

    name: str
    protocol: Protocol
    broken: str | None = None


CASES = [
    Case("claims", claims.protocol(broken=False)),
    Case("claims released", claims.protocol(broken=True), "a key runs at most once"),
    Case("configuration", configuration.protocol()),
    Case(
        "configuration without identity",
        configuration.protocol(ignores_identity=True),
        "a change has one revision",
    ),
    Case(
        "configuration going back",
        configuration.protocol(adopts_any=True),
        "an entry never goes back",
    ),
    Case("election", election.protocol()),
    Case("election, vote lost", election.protocol(loses_vote=True), "one leader a term"),
    Case(
        "election, any log",
        election.protocol(any_log=True),
        "later leaders hold what is committed",
    ),
    Case("replacement", replacement.protocol()),
    Case(
        "replacement, same identity",
        replacement.protocol(same_identity=True),
        "no leader lacks a committed entry",
    ),
    Case(
        "replacement, early promotion",
        replacement.protocol(promotes_early=True),
        "no leader lacks a committed entry",
    ),
    Case("restarts", restarts.protocol()),
    Case(
        "restarts, a majority suffices",
        restarts.protocol(majority_suffices=True),
        "at most one lease",
    ),
    Case("revocation", revocation.protocol()),
    Case(
        "revocation, counted from the reply",
        revocation.protocol(counts_from_reply=True),
        "a taken key runs nothing after its bound",
    ),
    Case(
        "revocation, checked once",
        revocation.protocol(checks_once=True),
        "a taken key runs nothing after its bound",
    ),
    Case("lives", incarnations.protocol()),
    Case(
        "lives, known by the name",
        incarnations.protocol(by_name=True),
        "the newest life that was heard is known",
    ),
    Case("orders, fences checked", orders.protocol(Variant(True, True))),
    Case("orders, fences not checked", orders.protocol(Variant(False, False))),
    Case(
        "orders, check wrongly assumed",
        orders.protocol(Variant(False, True)),
        MEMORY,
    ),
    Case(
        "orders, stale report believed",
        orders.protocol(Variant(True, True, waits_for_fresh=False)),
        MEMORY,
    ),
    Case(
        "orders, outstanding not counted",
        orders.protocol(Variant(True, True, counts_outstanding=False)),
        MEMORY,
    ),
    Case("store loads", store_loads.protocol()),
    Case(
        "store loads, ordered first",
        store_loads.protocol(orders_first=True),
        STORE,
    ),
    Case(
        "store loads, from the record",
        store_loads.protocol(counts_from_record=True),
        STORE,
    ),
]


def run_case(case: Case) -> bool:
    """Check one case, print its row and return whether it has the expected result."""
    started_s = time.monotonic()
    max_states = MAX_STATES if case.broken is None else MAX_BROKEN_STATES
    result = check_safety(case.protocol, max_states)
    elapsed_s = time.monotonic() - started_s
    properties = result["properties"]
    if case.broken is None:
        good = bool(result["exhaustive"]) and all(
            found["holds"] is True for found in properties.values()
        )
        verdict = "holds" if good else "FAILS"
    else:
        good = properties[case.broken]["holds"] is False
        steps = len(properties[case.broken].get("counterexample") or ())
        verdict = f"counter-example of {steps} states" if good else "NO COUNTER-EXAMPLE"
    print(f"{case.name:32} {result['reachable_states']:>8} states {elapsed_s:6.1f} s  {verdict}")
    return good


def main() -> int:
    """Check all cases; return the exit code."""
    verdicts = [run_case(case) for case in CASES]
    return 0 if all(verdicts) else 1


if __name__ == "__main__":
    sys.exit(main())
