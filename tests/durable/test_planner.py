"""Which item starts next, and where: each load pattern with the decision that answers it."""

import pytest

from samphirecleat.durable._planner import (
    EngineView,
    PendingItem,
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


def test_the_longest_text_starts_first_and_the_spare_group_last() -> None:
    """A step takes as long as its longest text.

    Started behind the short ones, a long text ends after the step is due, and the trainer
    waits. The group that it can do without may be the longest of all.
    """
    items = [pending("a", 500), pending("b", 3000), pending("c", 9000), pending("d", 5000)]
    ordered = order_items(items, {"s1": 0.75}, TOKEN_S)
    assert [i.item_id for i in ordered] == ["d", "b", "a", "c"]


def test_a_carried_group_is_never_the_spare_one() -> None:
    items = [
        pending("a", 500),
        pending("b", 9000, carried=True),
        pending("c", 3000),
        pending("d", 1),
    ]
    ordered = order_items(items, {"s1": 0.5}, TOKEN_S)
    assert ordered[0].item_id == "b"
    assert ordered[-1].item_id == "c"


def test_a_long_text_of_the_next_step_goes_before_a_short_one_of_this() -> None:
    """Steps overlap: while this one's last texts are made, the next one's longest must start."""
    items = [pending("short", 500, due=3.5), pending("long", 6500, due=7.5)]
    ordered = order_items(items, {}, TOKEN_S)
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
        "typical pace",
        "allowed version",
        "model not loading",
        "not resting",
        "prompt read there",
        "long with few neighbours",
        "long not on the newest for its own sake",
        "room in memory",
        "no place",
        "no engine",
    ],
)
def test_where_an_item_goes(engines: list[EngineView], tokens: int, want: str | None) -> None:
    placed = place_items([pending("x", tokens)], engines, TOKEN_S)
    assert [p.instance for p in placed] == ([want] if want else [])


def test_a_text_larger_than_any_room_still_gets_an_idle_engine() -> None:
    placed = place_items([pending("x", 90_000)], [engine("a")], TOKEN_S)
    assert [p.instance for p in placed] == ["a"]


def test_a_burst_fills_every_place_and_no_more() -> None:
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
def test_only_an_item_without_place_and_time_presses(
    left: PendingItem, placed: bool, want: bool
) -> None:
    placements = place_items([left], [engine("a")] if placed else [], TOKEN_S)
    short = shortages([left], placements, TOKEN_S).get(left.model)
    assert (short is not None and short.urgent) is want


def test_a_run_goes_where_a_connection_waits() -> None:
    """A service has hundreds of engines and a step some dozen items.

    Placed on an engine that had none yet, each run opens a new connection, and the engines'
    bound on connections fills with idle ones.
    """
    engines = [engine(f"e{number}") for number in range(5)]
    engines[3] = engines[3]._replace(warm=True)
    placed = place_items([pending("a", 500)], engines, TOKEN_S)
    assert [place.instance for place in placed] == ["e3"]


def test_a_warm_engine_is_not_crowded_while_others_stand_idle() -> None:
    engines = [engine("idle"), engine("warm", running=4)._replace(warm=True)]
    placed = place_items([pending("a", 500)], engines, TOKEN_S)
    assert [place.instance for place in placed] == ["idle"]


def test_the_workspace_of_the_higher_rank_starts_first_and_starves_nobody() -> None:
    """Guards against a rank that changes nothing, and against one that others wait for in vain."""
    low = pending("low", 500)._replace(priority=7)
    high = pending("high", 500)._replace(priority=1)
    late = pending("late", 500)._replace(priority=9, due_in_s=low.due_in_s - 6.0)
    order = [item.item_id for item in order_items([low, high, late], {}, TOKEN_S)]
    assert order.index("high") < order.index("low")
    assert order[0] == "late"
