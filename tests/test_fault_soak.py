"""The fault soak: a short run with a fixed seed, and that its checks can fail."""

import pytest

from crowsill_lab.soak.ledger import Ledger
from crowsill_lab.soak.runner import SoakPlan, run_soak

# One seed that overlaps restarts, pauses and silent streams of members with stops of gateways.
SEED = 1
SECONDS = 15.0
LOSSES_SEED = 2


def test_every_promise_holds_under_overlapping_faults(tmp_path):
    report = run_soak(SoakPlan(SEED, SECONDS, members=3, gateways=3, folder=tmp_path))
    assert report.violations == [], report.text()
    assert len(report.faults) > 10 and report.statuses[200] > 100 and report.versions > 5


def test_every_promise_holds_under_losses(tmp_path):
    # It ends with a loss of all power, of two disks, and of all seeds that know anybody. Without
    # the visits of leaders to those who know nobody such a run broke promises.
    plan = SoakPlan(LOSSES_SEED, SECONDS, members=5, gateways=3, folder=tmp_path, pointers=2)
    report = run_soak(plan)
    assert report.violations == [], report.text()
    assert report.faults[-1].startswith("lose power, disks of [m")
    assert report.statuses[200] > 100 and report.versions > 5


def seen(status, runs, at_most_once=True, body=b"a"):
    ledger = Ledger()
    if at_most_once:
        ledger.at_most_once.add("r")
    ledger.runs["r"] = runs
    ledger.answered("r", status, body, b"a")
    ledger.settle()
    return ledger.violations


@pytest.mark.parametrize(
    ("status", "runs", "at_most_once", "body"),
    [(200, 2, True, b"a"), (503, 1, False, b""), (421, 1, True, b""), (200, 1, True, b"b")],
)
def test_a_broken_promise_is_found(status, runs, at_most_once, body):
    assert len(seen(status, runs, at_most_once, body)) == 1


def test_what_is_allowed_is_no_broken_promise():
    assert seen(200, 1) == seen(502, 1) == seen(503, 0) == seen(200, 2, at_most_once=False) == []
