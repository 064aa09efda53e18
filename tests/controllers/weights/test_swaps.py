"""Which engines are ordered to load a version, in tables and by property."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirecleat.blackboard import TargetView
from samphirecleat.controllers.weights._swaps import (
    OrderRecord,
    SwapView,
    decide_swaps,
    retry_wait_s,
    swaps_at_once,
)
from samphirecleat.targets import (
    OrderRefused,
    OrderTaken,
    OrderUnknown,
)
from tests.controllers.weights.weight_views import LATEST, engine, service


def ordered(view_targets: list[TargetView], now_s: float = 100.0, **changes: object) -> list[str]:
    view = SwapView(service(), view_targets, {}, LATEST, 4, {})._replace(**changes)
    return [order.target.address for order in decide_swaps(view, now_s)]


def record(outcome: object, **changes: object) -> OrderRecord:
    known = OrderRecord(LATEST, "a-1", 1, 90.0, outcome, 90.1, 92.0)
    return known._replace(**changes)


@pytest.mark.parametrize(
    ("weight", "share", "engines", "parallel_loads", "expected"),
    [
        (1.0, 0.5, 6, 4, 3),
        (0.5, 0.5, 6, 4, 2),
        (0.0, 0.5, 6, 4, 1),
        (1.0, 0.5, 6, 2, 2),
        (1.0, 0.34, 5, 4, 1),
        (1.0, 1.0, 6, 9, 6),
        (1.0, 0.01, 1, 4, 1),
        (0.8, 0.7, 10, 9, 6),
    ],
)
def test_how_many_swap_at_once_follows_the_service_text(
    weight: float, share: float, engines: int, parallel_loads: int, expected: int
) -> None:
    assert swaps_at_once(service(weight, share), engines, parallel_loads) == expected


def test_the_engines_with_the_least_work_in_hand_go_first() -> None:
    targets = [engine("a", running=5), engine("b"), engine("c", waiting=1), engine("d", running=9)]
    assert ordered(targets) == ["b", "c"]
    assert ordered(targets, in_flight={"b": 7}) == ["c", "a"]


def test_engines_that_trainers_can_use_no_more_go_before_idle_ones() -> None:
    targets = [engine("a"), engine("b", LATEST - 2, running=8), engine("c"), engine("d")]
    assert ordered(targets) == ["b", "a"]


@pytest.mark.parametrize(
    ("changes", "again"),
    [
        pytest.param({"loading": True}, False, id="it loads by its own word"),
        pytest.param({"reachable": False}, False, id="it can not be reached"),
        pytest.param({"leaving": True}, False, id="it leaves"),
        pytest.param({"version": LATEST}, False, id="it is there"),
        pytest.param({"version": LATEST + 1}, False, id="it is ahead of the store"),
        pytest.param({"instance": "a-2"}, True, id="restarted at its address with old weights"),
    ],
)
def test_what_the_target_itself_says_decides(changes: dict[str, object], again: bool) -> None:
    orders = {"a": record(OrderTaken())}
    now_s = 91.0
    assert bool(ordered([engine("a", **changes)], now_s, orders=orders)) is again


@pytest.mark.parametrize(
    ("known", "reported_at_s", "now_s", "again"),
    [
        pytest.param(record(None), 99.0, 100.0, False, id="not answered yet"),
        pytest.param(record(OrderTaken()), 90.0, 93.0, False, id="taken, not reported since"),
        pytest.param(record(OrderTaken()), 92.5, 93.0, True, id="taken, reports the old version"),
        pytest.param(record(OrderTaken()), 91.0, 91.5, False, id="failed, waits before the next"),
        pytest.param(record(OrderTaken()), 90.0, 101.0, True, id="taken, never reported"),
        pytest.param(record(OrderUnknown("x")), 92.5, 92.9, False, id="answer lost, too early"),
        pytest.param(
            record(OrderUnknown("x")), 92.5, 93.2, True, id="answer lost, time has passed"
        ),
        pytest.param(record(OrderRefused("x")), 90.0, 91.9, False, id="refused, waits"),
        pytest.param(record(OrderRefused("x")), 90.0, 92.1, True, id="refused, waited"),
        pytest.param(record(OrderTaken(), version=4), 90.0, 90.2, True, id="of an older version"),
    ],
)
def test_an_order_is_repeated_only_once_it_is_settled(
    known: OrderRecord, reported_at_s: float, now_s: float, again: bool
) -> None:
    """A swap fails partway, or an order's answer is lost.

    Repeated at once it would load twice; never repeated, callers would get old weights.
    """
    target = engine("a", reported_at_s=reported_at_s)
    assert bool(ordered([target], now_s, orders={"a": known})) is again


def test_waits_between_attempts_grow_and_are_bounded() -> None:
    waits = [retry_wait_s(attempts, 0.5) for attempts in range(1, 40)]
    assert waits == sorted(waits)
    assert waits[0] < 1.0
    assert waits[-1] <= 45.0


targets_drawn = st.lists(
    st.builds(
        engine,
        st.uuids().map(str),
        st.integers(min_value=0, max_value=LATEST),
        loading=st.booleans(),
        reachable=st.booleans(),
        leaving=st.booleans(),
        running=st.integers(min_value=0, max_value=20),
    ),
    max_size=12,
)


@given(
    targets=targets_drawn,
    weight=st.floats(min_value=0.0, max_value=1.0),
    share=st.floats(min_value=0.01, max_value=0.99),
    parallel_loads=st.integers(min_value=1, max_value=8),
)
def test_swaps_never_take_all_of_a_service_and_stay_within_every_bound(
    targets: list[TargetView], weight: float, share: float, parallel_loads: int
) -> None:
    view = SwapView(service(weight, share), targets, {}, LATEST, parallel_loads, {})
    orders = decide_swaps(view, 100.0)
    engines = [t for t in targets if t.reachable and not t.leaving]
    loading = [t for t in engines if t.loading]
    chosen = {order.target for order in orders}
    assert all(t in engines and not t.loading and t.version < LATEST for t in chosen)
    if chosen:
        assert len(loading) + len(chosen) <= min(parallel_loads, max(1, share * len(engines)))
    if len(engines) > 1 and chosen:
        assert len(loading) + len(chosen) < len(engines)
    behind = [t for t in engines if not t.loading and t.version < LATEST]
    if behind and not loading:
        assert chosen, "an engine that is behind is left behind"
