"""Tests of placement planning, each for one load pattern."""

import pytest

from samphirecleat.durable import EngineView, PendingItem
from samphirecleat.durable._planner import (
    is_long_queue,
    order_items,
    place_items,
    shortages,
)

TOKEN_S = 0.001


def pending(
    name: str, tokens: int, group: str = "", *, due: float = 7.5, carried: bool = False
) -> PendingItem:
    return PendingItem("s1", name, group or name, due, carried, tokens, 250, 1, "m")


def engine(name: str, **changes: object) -> EngineView:
    view = EngineView(name, {"m": 1}, 12, 40_000, 0, 0, 1.0, True, frozenset())
    return view._replace(**changes)  # type: ignore[arg-type]


def test_the_longest_text_starts_first_and_the_optional_group_last() -> None:
    """A step takes as long as its longest text.

    A long text that starts after the short ones ends after the deadline, and the trainer waits.
    The group that the trainer does not need may be the longest of all.
    """
    items = [pending("a", 500), pending("b", 3000), pending("c", 9000), pending("d", 5000)]
    ordered = order_items(items, {("s1", "c")}, TOKEN_S)
    assert [i.item_id for i in ordered] == ["d", "b", "a", "c"]


def test_a_long_text_of_the_next_step_starts_before_a_short_one_of_this_step() -> None:
    """Steps overlap: the next step's longest texts must start while this step completes."""
    items = [pending("short", 500, due=3.5), pending("long", 6500, due=7.5)]
    ordered = order_items(items, set(), TOKEN_S)
    assert [i.item_id for i in ordered] == ["long", "short"]


@pytest.mark.parametrize(
    ("engines", "tokens", "want"),
    [
        ([engine("a", running=6), engine("b")], 500, "b"),
        ([engine("a", slowness=3.5), engine("b", running=6)], 500, "b"),
        ([engine("a", versions={"m": 0}), engine("b", running=11)], 500, "b"),
        ([engine("a", versions={}), engine("b", running=11)], 500, "b"),
        ([engine("a", accepts=False), engine("b", running=11)], 500, "b"),
        ([engine("a"), engine("b", groups=frozenset({"x"}))], 500, "b"),
        ([engine("a", running=3), engine("b")], 5000, "b"),
        ([engine("a"), engine("b", versions={"m": 2}, running=5)], 5000, "a"),
        ([engine("a", planned_tokens=39_000, running=1), engine("b", running=9)], 5000, "b"),
        ([engine("a", running=12)], 500, None),
        ([], 500, None),
    ],
    ids=[
        "fewer runs",
        "median speed",
        "allowed version",
        "model not loading",
        "not backing off",
        "prompt already processed",
        "long with few concurrent runs",
        "newest version not preferred",
        "free memory",
        "no free slot",
        "no engine",
    ],
)
def test_engine_choice(engines: list[EngineView], tokens: int, want: str | None) -> None:
    placed = place_items([pending("x", tokens)], engines, TOKEN_S)
    assert [p.instance for p in placed] == ([want] if want else [])


def test_a_text_larger_than_the_engine_memory_still_gets_an_idle_engine() -> None:
    placed = place_items([pending("x", 90_000)], [engine("a")], TOKEN_S)
    assert [p.instance for p in placed] == ["a"]


@pytest.mark.parametrize(("items", "want"), [(10, False), (40, True)])
def test_a_queue_that_takes_a_third_of_the_time_left_is_long(items: int, want: bool) -> None:
    """Guards against steps that are all late because groups nobody needs take slots."""
    queue = [pending(f"i{n}", 1000) for n in range(items)]
    assert is_long_queue(queue, [engine("a")], TOKEN_S) is want


def test_a_burst_fills_exactly_the_available_slots() -> None:
    items = [pending(f"i{n}", 600) for n in range(40)]
    placed = place_items(items, [engine("a"), engine("b"), engine("c")], TOKEN_S)
    counts = {name: sum(p.instance == name for p in placed) for name in "abc"}
    assert counts == {"a": 12, "b": 12, "c": 12}


@pytest.mark.parametrize(
    ("left", "placed", "want"),
    [
        (pending("x", 500), False, False),
        (pending("x", 6000), False, True),
        (pending("x", 6000), True, False),
    ],
)
def test_only_an_item_without_slot_and_slack_is_urgent(
    left: PendingItem, placed: bool, want: bool
) -> None:
    placements = place_items([left], [engine("a")] if placed else [], TOKEN_S)
    short = shortages([left], placements, TOKEN_S).get(left.model)
    assert (short is not None and short.urgent) is want


def test_an_engine_with_an_idle_connection_is_preferred() -> None:
    """A service has hundreds of engines, and a step some dozen items.

    If every run went to another engine, each would open a new connection, and idle connections
    would use up the engines' connection limit.
    """
    engines = [engine(f"e{number}") for number in range(5)]
    engines[3] = engines[3]._replace(warm=True)
    placed = place_items([pending("a", 500)], engines, TOKEN_S)
    assert [placement.instance for placement in placed] == ["e3"]


def test_an_idle_engine_is_preferred_over_a_busy_one_with_a_connection() -> None:
    engines = [engine("idle"), engine("warm", running=4)._replace(warm=True)]
    placed = place_items([pending("a", 500)], engines, TOKEN_S)
    assert [placement.instance for placement in placed] == ["idle"]


def test_a_workspace_of_higher_priority_starts_first_without_starvation() -> None:
    """Guards against a priority without effect, and against one that starves other workspaces."""
    low = pending("low", 500)._replace(priority=7)
    high = pending("high", 500)._replace(priority=1)
    late = pending("late", 500)._replace(priority=9, due_in_s=low.due_in_s - 6.0)
    order = [item.item_id for item in order_items([low, high, late], set(), TOKEN_S)]
    assert order.index("high") < order.index("low")
    assert order[0] == "late"
