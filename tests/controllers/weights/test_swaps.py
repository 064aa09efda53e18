"""Tests of which engines are ordered to load a version, by tables and by properties."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirecleat.blackboard import TargetView
from samphirecleat.controllers.weights._swaps import (
    OrderRecord,
    SwapView,
    decide_swaps,
    max_concurrent_swaps,
    retry_delay_s,
)
from samphirecleat.targets import (
    OrderRefused,
    OrderTaken,
    OrderUnknown,
)
from tests.controllers.weights.weight_views import LATEST, engine, service


def ordered_addresses(
    view_targets: list[TargetView], now_s: float = 100.0, **changes: object
) -> list[str]:
    view = SwapView(service(), view_targets, {}, LATEST, 4, {})._replace(**changes)
    return [order.target.address for order in decide_swaps(view, now_s)]


def make_order_record(outcome: object, **changes: object) -> OrderRecord:
    record = OrderRecord(LATEST, "a-1", 1, 90.0, outcome, 90.1, 92.0)
    return record._replace(**changes)


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
def test_max_concurrent_swaps_follows_service_settings(
    weight: float, share: float, engines: int, parallel_loads: int, expected: int
) -> None:
    assert max_concurrent_swaps(service(weight, share), engines, parallel_loads) == expected


def test_least_loaded_engines_are_ordered_first() -> None:
    targets = [engine("a", running=5), engine("b"), engine("c", waiting=1), engine("d", running=9)]
    assert ordered_addresses(targets) == ["b", "c"]
    assert ordered_addresses(targets, in_flight={"b": 7}) == ["c", "a"]


def test_engines_past_staleness_bound_precede_idle_ones() -> None:
    targets = [engine("a"), engine("b", LATEST - 2, running=8), engine("c"), engine("d")]
    assert ordered_addresses(targets) == ["b", "a"]


@pytest.mark.parametrize(
    ("changes", "is_ordered"),
    [
        pytest.param({"loading": True}, False, id="reports loading"),
        pytest.param({"reachable": False}, False, id="unreachable"),
        pytest.param({"leaving": True}, False, id="leaving"),
        pytest.param({"version": LATEST}, False, id="already at the version"),
        pytest.param({"version": LATEST + 1}, False, id="ahead of the store"),
        pytest.param({"instance": "a-2"}, True, id="new instance with old weights"),
    ],
)
def test_target_report_decides_whether_it_is_ordered(
    changes: dict[str, object], is_ordered: bool
) -> None:
    orders = {"a": make_order_record(OrderTaken())}
    now_s = 91.0
    assert bool(ordered_addresses([engine("a", **changes)], now_s, orders=orders)) is is_ordered


@pytest.mark.parametrize(
    ("record", "reported_at_s", "now_s", "is_ordered"),
    [
        pytest.param(make_order_record(None), 99.0, 100.0, False, id="not answered yet"),
        pytest.param(
            make_order_record(OrderTaken()), 90.0, 93.0, False, id="accepted, no report since"
        ),
        pytest.param(
            make_order_record(OrderTaken()),
            92.5,
            93.0,
            True,
            id="accepted, reports the old version",
        ),
        pytest.param(
            make_order_record(OrderTaken()), 91.0, 91.5, False, id="failed, retry not due"
        ),
        pytest.param(
            make_order_record(OrderTaken()), 90.0, 101.0, True, id="accepted, never reported"
        ),
        pytest.param(
            make_order_record(OrderUnknown("x")), 92.5, 92.9, False, id="answer lost, not settled"
        ),
        pytest.param(
            make_order_record(OrderUnknown("x")),
            92.5,
            93.2,
            True,
            id="answer lost, settled",
        ),
        pytest.param(
            make_order_record(OrderRefused("x")), 90.0, 91.9, False, id="refused, retry not due"
        ),
        pytest.param(
            make_order_record(OrderRefused("x")), 90.0, 92.1, True, id="refused, retry due"
        ),
        pytest.param(
            make_order_record(OrderTaken(), version=4),
            90.0,
            90.2,
            True,
            id="order of an older version",
        ),
    ],
)
def test_order_is_repeated_only_after_it_settles(
    record: OrderRecord, reported_at_s: float, now_s: float, is_ordered: bool
) -> None:
    """Guards against wrong repetition after a failed swap or a lost answer.

    An order repeated at once would load twice; one never repeated would leave callers with
    old weights.
    """
    target = engine("a", reported_at_s=reported_at_s)
    assert bool(ordered_addresses([target], now_s, orders={"a": record})) is is_ordered


def test_retry_delays_grow_and_are_bounded() -> None:
    delays = [retry_delay_s(attempts, 0.5) for attempts in range(1, 40)]
    assert delays == sorted(delays)
    assert delays[0] < 1.0
    assert delays[-1] <= 45.0


target_lists = st.lists(
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
    targets=target_lists,
    weight=st.floats(min_value=0.0, max_value=1.0),
    share=st.floats(min_value=0.01, max_value=0.99),
    parallel_loads=st.integers(min_value=1, max_value=8),
)
def test_swaps_leave_an_engine_in_service_and_respect_all_limits(
    targets: list[TargetView], weight: float, share: float, parallel_loads: int
) -> None:
    view = SwapView(service(weight, share), targets, {}, LATEST, parallel_loads, {})
    orders = decide_swaps(view, 100.0)
    engines = [t for t in targets if t.reachable and not t.leaving]
    loading = [t for t in engines if t.loading]
    ordered = {order.target for order in orders}
    assert all(t in engines and not t.loading and t.version < LATEST for t in ordered)
    if ordered:
        assert len(loading) + len(ordered) <= min(parallel_loads, max(1, share * len(engines)))
    if len(engines) > 1 and ordered:
        assert len(loading) + len(ordered) < len(engines)
    behind = [t for t in engines if not t.loading and t.version < LATEST]
    if behind and not loading:
        assert ordered, "no engine with an older version was ordered to load"
