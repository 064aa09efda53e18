"""Tests of the decision which engines load the newest version of which model."""

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
    newest: int = 3,
    wanted: int = 5,
    slack_s: float = math.inf,
    keeps_runs: bool = True,
) -> ModelDemand:
    """Return the demand of steps that accept the newest version and the one before it.

    An item waits if ``slack_s`` is given, and is urgent if that is less than 2.5 s.
    """
    waits, urgent = slack_s < math.inf, slack_s < 2.5
    return ModelDemand(
        model, newest, newest - 1, newest, wanted, keeps_runs, waits, urgent, slack_s
    )


@pytest.mark.parametrize(
    ("engines", "urgent", "expected"),
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
        "two of five concurrently",
        "idle engines only",
        "no engine with runs",
        "urgent: unusable engines",
        "no usable engine",
        "one engine is loading",
        "loading another model",
        "one engine is backing off",
        "all up to date",
    ],
)
def test_loads_that_wait_for_runs_go_to_idle_engines(
    engines: list[OrderableEngine], urgent: bool, expected: list[str]
) -> None:
    slack_s = 1.0 if urgent else math.inf
    got = decide_loads(engines, [demand(slack_s=slack_s, keeps_runs=False)])
    assert [load.instance for load in got] == expected


def shared(count: int, versions: dict[str, list[int]]) -> list[OrderableEngine]:
    """Return idle engines; ``versions`` lists the versions of each model by engine."""
    return [
        OrderableEngine(f"e{at}", {model: by[at] for model, by in versions.items()}, {})
        for at in range(count)
    ]


def test_model_with_a_waiting_step_goes_first() -> None:
    """Versions of three models are published together; no engine can serve the last one's step.

    If loads were ordered by model name, its trainer would wait seconds for the loads of all other
    models, while engines are idle.
    """
    engines = shared(6, {"a": [2] * 6, "b": [2] * 6, "c": [1] * 6})
    demands = [demand("a", wanted=6), demand("b", wanted=6), demand("c", wanted=2, slack_s=3.0)]
    loads = decide_loads(engines, demands)
    assert len(loads) == 2
    assert loads[0].model == "c"


def test_waiting_step_with_the_least_time_left_goes_first() -> None:
    engines = shared(6, {"a": [1] * 6, "b": [1] * 6})
    loads = decide_loads(engines, [demand("a", slack_s=4.0), demand("b", slack_s=3.0)])
    assert [load.model for load in loads] == ["b", "a"]


def test_models_share_the_concurrent_loads() -> None:
    engines = shared(6, {"a": [2] * 6, "b": [2] * 6, "c": [2] * 6})
    demands = [demand("a", wanted=4), demand("b", wanted=4), demand("c", wanted=4)]
    assert {load.model for load in decide_loads(engines, demands)} == {"a", "b"}


def test_engine_loads_every_second_version() -> None:
    """Part of the engines are already loaded for the current step.

    If all engines loaded every version, loads would queue up and no engine would be ready for
    the next step.
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


def test_slow_engine_does_not_count_as_ready() -> None:
    slow = OrderableEngine("e0", {"m": 3}, {}, slow=True)
    engines = [slow, *shared(5, {"m": [3, 1, 1, 1, 1]})]
    assert len(decide_loads(engines, [demand(wanted=2)])) == 1


def test_urgent_model_does_not_delay_runs_of_other_models() -> None:
    """The items of one model lack slots; an engine with its old version runs only other models."""
    engines = [OrderableEngine("e0", {"a": 1, "b": 2}, {"b": 5})]
    assert decide_loads(engines, [demand("a", slack_s=1.0)]) == [Load("e0", "a")]
    assert decide_loads(engines, [demand("b", newest=2, wanted=1)]) == []


def test_loads_that_keep_runs_go_to_busy_engines() -> None:
    """Every engine runs items of the open steps, and the next step needs a newer version.

    A load that keeps runs does not delay them. If it waited for an idle engine, it would start
    after the next step was submitted, and the trainer would wait for a load at every step.
    """
    engines = [engine("a", 2, 3), engine("b", 1, 2), engine("c", 2, 1), engine("d", 3, 1)]
    assert [load.instance for load in decide_loads(engines, [demand()])] == ["b", "c"]
    engines = [engine("a", 2, 3), engine("c", 2, 1), engine("d", 3, 1)]
    assert [load.instance for load in decide_loads(engines, [demand()])] == ["c"]


def test_load_takes_no_slots_that_items_wait_for() -> None:
    """A step has more items than there are slots, and all engines can serve it.

    A loading engine accepts no new item for a second, so the remaining items would wait for
    fewer slots.
    """
    engines = [engine("a", 2, 12), engine("b", 2, 12), engine("c", 2, 12)]
    assert decide_loads(engines, [demand(slack_s=4.0)]) == []
    with_unusable = [*engines, engine("d", 1)]
    assert [load.instance for load in decide_loads(with_unusable, [demand(slack_s=4.0)])] == ["d"]


@pytest.mark.parametrize(
    ("engines", "expected"),
    [(1, 1), (3, 1), (4, 2), (5, 2), (6, 2), (9, 4), (24, 10), (25, 10)],
)
def test_number_of_concurrent_loads(engines: int, expected: int) -> None:
    """A service loses one of five engines, and a new version is published every 4 s.

    With one load at a time the last of the four engines has the version after 4 s, and the items
    that need it wait while engines are idle.
    """
    assert max_concurrent_loads(engines) == expected
