"""Which engines load which model's version now."""

import math

import pytest

from samphirecleat.durable._weight_orders import (
    Load,
    ModelDemand,
    OrderableEngine,
    decide_loads,
    max_concurrent_loads,
)


def engine(
    name: str, version: int, running: int = 0, *, loading: str = "", backing_off: bool = False
) -> OrderableEngine:
    return OrderableEngine(name, {"m": version}, {"m": running}, loading, backing_off)


def demand(
    model: str = "m",
    *,
    named: int = 3,
    wanted: int = 5,
    spare_s: float = math.inf,
    keeps_runs: bool = True,
) -> ModelDemand:
    """Return the demand of steps that accept one version less than the newest.

    An item waits if its time to spare is given, and is pressed with less than 2.5 s of it.
    """
    waits, pressed = spare_s < math.inf, spare_s < 2.5
    return ModelDemand(model, named, named - 1, named, wanted, keeps_runs, waits, pressed, spare_s)


@pytest.mark.parametrize(
    ("engines", "pressed", "want"),
    [
        (
            [engine("a", 1), engine("b", 1), engine("c", 1), engine("d", 1), engine("e", 1)],
            False,
            ["a", "b"],
        ),
        (
            [engine("a", 1, 3), engine("b", 2), engine("c", 1), engine("d", 2, 1), engine("e", 3)],
            False,
            ["c", "b"],
        ),
        (
            [
                engine("a", 1, 3),
                engine("b", 2, 1),
                engine("c", 1, 2),
                engine("d", 2, 1),
                engine("e", 3),
            ],
            False,
            [],
        ),
        (
            [
                engine("a", 1, 3),
                engine("b", 2, 1),
                engine("c", 1, 2),
                engine("d", 2, 1),
                engine("e", 3),
            ],
            True,
            ["c", "a"],
        ),
        ([engine("a", 1, 3), engine("b", 1, 1), engine("c", 1, 2)], False, ["b"]),
        (
            [
                engine("a", 1, loading="m"),
                engine("b", 1),
                engine("c", 1),
                engine("d", 1),
                engine("e", 1),
            ],
            False,
            ["b"],
        ),
        (
            [
                engine("a", 1, loading="other"),
                engine("b", 1),
                engine("c", 1),
                engine("d", 1),
                engine("e", 1),
            ],
            False,
            ["b"],
        ),
        ([engine("a", 1, backing_off=True), engine("b", 3), engine("c", 3)], False, []),
        ([engine("a", 3), engine("b", 3)], False, []),
    ],
    ids=[
        "two of five at once",
        "idle ones",
        "none that runs something",
        "pressed: the useless",
        "nothing usable",
        "one loads already",
        "another model loads",
        "one rests",
        "all have it",
    ],
)
def test_loads_that_wait_for_the_runs_of_their_model(
    engines: list[OrderableEngine], pressed: bool, want: list[str]
) -> None:
    spare_s = 1.0 if pressed else math.inf
    got = decide_loads(engines, [demand(spare_s=spare_s, keeps_runs=False)])
    assert [load.instance for load in got] == want


def shared(count: int, versions: dict[str, list[int]]) -> list[OrderableEngine]:
    """Return idle engines; ``versions`` gives each model's version at each of them."""
    return [
        OrderableEngine(f"e{at}", {model: by[at] for model, by in versions.items()}, {})
        for at in range(count)
    ]


def test_the_model_whose_step_waits_goes_before_those_named_first() -> None:
    """Versions of three models are named at once; the last one's step has no engine at all.

    Loads in the order of the models' names would have its trainer wait for those of all
    the others, seconds in which engines stand idle.
    """
    engines = shared(6, {"a": [2] * 6, "b": [2] * 6, "c": [1] * 6})
    demands = [demand("a", wanted=6), demand("b", wanted=6), demand("c", wanted=2, spare_s=3.0)]
    loads = decide_loads(engines, demands)
    assert len(loads) == 2
    assert loads[0].model == "c"


def test_among_waiting_steps_the_one_with_least_time_left_goes_first() -> None:
    engines = shared(6, {"a": [1] * 6, "b": [1] * 6})
    loads = decide_loads(engines, [demand("a", spare_s=4.0), demand("b", spare_s=3.0)])
    assert [load.model for load in loads] == ["b", "a"]


def test_models_share_the_loads_at_once() -> None:
    engines = shared(6, {"a": [2] * 6, "b": [2] * 6, "c": [2] * 6})
    demands = [demand("a", wanted=4), demand("b", wanted=4), demand("c", wanted=4)]
    assert {load.model for load in decide_loads(engines, demands)} == {"a", "b"}


def test_an_engine_loads_every_second_version() -> None:
    """Half of the engines were loaded for the step that is asked for now.

    If all engines loaded each version, loads would queue up behind each other and the next
    step would find none.
    """
    engines = shared(6, {"m": [2, 2, 1, 1, 1, 1]})
    first = decide_loads(engines, [demand(wanted=2)])
    assert [load.instance for load in first] == ["e2", "e3"]
    loaded = shared(6, {"m": [2, 2, 3, 3, 1, 1]})
    assert decide_loads(loaded, [demand(wanted=2)]) == []


def test_models_are_spread_over_the_engines() -> None:
    engines = shared(5, {"a": [3, 3, 1, 1, 1], "b": [1] * 5})
    loads = decide_loads(engines, [demand("a", wanted=2), demand("b", wanted=2)])
    assert loads == [Load("e2", "b"), Load("e3", "b")]


def test_a_slow_engine_does_not_count_as_ready() -> None:
    slow = OrderableEngine("e0", {"m": 3}, {}, slow=True)
    engines = [slow, *shared(5, {"m": [3, 1, 1, 1, 1]})]
    assert len(decide_loads(engines, [demand(wanted=2)])) == 1


def test_a_pressed_model_does_not_hold_up_what_others_run() -> None:
    """One model's items lack places; its engines behind run nothing of it, only of others."""
    engines = [OrderableEngine("e0", {"a": 1, "b": 2}, {"b": 5})]
    assert decide_loads(engines, [demand("a", spare_s=1.0)]) == [Load("e0", "a")]
    assert decide_loads(engines, [demand("b", named=2, wanted=1)]) == []


def test_loads_that_keep_runs_go_to_busy_engines_too() -> None:
    """Every engine runs texts of the open steps, and the next step needs a newer version.

    A load that keeps them costs them nothing; one that waited for an idle engine would come
    after the next step was asked for, and its trainer would wait for a load each time.
    """
    engines = [engine("a", 2, 3), engine("b", 1, 2), engine("c", 2, 1), engine("d", 3, 1)]
    assert [load.instance for load in decide_loads(engines, [demand()])] == ["b", "c"]
    engines = [engine("a", 2, 3), engine("c", 2, 1), engine("d", 3, 1)]
    assert [load.instance for load in decide_loads(engines, [demand()])] == ["c"]


def test_no_place_that_an_item_waits_for_is_taken_by_a_load() -> None:
    """A step has more items than there are places; all its engines can serve it.

    An engine that loads takes no new item for a second, so the rest of the step would wait
    for fewer places.
    """
    engines = [engine("a", 2, 12), engine("b", 2, 12), engine("c", 2, 12)]
    assert decide_loads(engines, [demand(spare_s=4.0)]) == []
    useless = [*engines, engine("d", 1)]
    assert [load.instance for load in decide_loads(useless, [demand(spare_s=4.0)])] == ["d"]


@pytest.mark.parametrize(
    ("engines", "want"),
    [(1, 1), (3, 1), (4, 2), (5, 2), (6, 2), (9, 4), (24, 10), (25, 10)],
)
def test_so_many_engines_load_at_once(engines: int, want: int) -> None:
    """One of a service's five engines is taken away, and four bring a new version every 4 s.

    With one load at a time the last of them has it after four seconds, and the items of the
    step that wants it wait beside engines that stand idle.
    """
    assert max_concurrent_loads(engines) == want
