"""How the work of models spreads over engines, and the gain of a further copy."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowsill.placement.engine_loads import (
    EngineLoads,
    ModelWork,
    served_share,
    spread,
    spread_unequal,
)

ENGINES = st.lists(
    st.tuples(st.floats(0, 5), st.one_of(st.just(1.0), st.floats(0.01, 4))), min_size=1, max_size=8
)


def check_spread(parts, work, others, speeds):
    """Check that all work is spread, and only over the least loaded engines."""
    assert sum(parts) == pytest.approx(work, abs=1e-6)
    engines = zip(others, parts, speeds, strict=True)
    totals = [other + part / speed for other, part, speed in engines]
    level = max((total for total, part in zip(totals, parts, strict=True) if part > 0), default=0.0)
    for total, part in zip(totals, parts, strict=True):
        assert part >= 0.0
        if part > 1e-9:
            assert total == pytest.approx(level, abs=1e-6)


@given(st.floats(0, 9), st.lists(st.floats(0, 5), min_size=1, max_size=8))
def test_all_work_is_spread_over_the_least_loaded_engines(work, others):
    check_spread(spread(work, others), work, others, [1.0] * len(others))


@given(st.floats(0, 9), ENGINES)
def test_all_work_is_spread_over_engines_of_unequal_speed(work, engines):
    others, speeds = (list(values) for values in zip(*engines, strict=True))
    check_spread(spread_unequal(work, others, speeds), work, others, speeds)


def loads(holders, **works):
    """Return loads in which the weight of each model is ten times its work."""
    return EngineLoads(
        {name: ModelWork(work, work * 10.0) for name, work in works.items()}, holders
    )


def test_two_models_in_demand_on_one_engine_make_a_copy_elsewhere_worthwhile():
    # Guards against an overloaded engine beside idle ones: two engines held two models in demand
    # each, and a fifth of their streams had gaps that were too long, while four engines were idle.
    together = loads({"m": ["a"], "n": ["a"], "rare": ["b"]}, m=0.6, n=0.6, rare=0.01)
    apart = loads({"m": ["a"], "n": ["b"], "rare": ["c"]}, m=0.6, n=0.6, rare=0.01)
    assert together.load_of("a") == pytest.approx(1.2)
    assert together.gain_with_holders("m", ["a", "b"]) > 3.0
    assert apart.gain_with_holders("m", ["a", "c"]) < 0.5


def test_a_copy_on_a_busy_engine_gains_less_than_one_on_an_idle_engine():
    state = loads({"m": ["a"], "n": ["b"], "o": ["c"]}, m=1.2, n=0.7, o=0.1)
    assert state.gain_with_holders("m", ["a", "c"]) > state.gain_with_holders("m", ["a", "b"]) > 0.0


def test_the_loss_of_a_copy_equals_its_gain():
    one = loads({"m": ["a"], "n": ["b"]}, m=1.0, n=0.2)
    two = loads({"m": ["a", "b"], "n": ["b"]}, m=1.0, n=0.2)
    assert one.gain_with_holders("m", ["a", "b"]) == pytest.approx(
        -two.gain_with_holders("m", ["a"]), rel=0.2
    )


def test_the_share_served_in_time_never_rises_with_the_load():
    shares = [served_share(step / 20.0) for step in range(80)]
    assert shares == sorted(shares, reverse=True) and shares[0] == 1.0 and shares[-1] > 0.0
