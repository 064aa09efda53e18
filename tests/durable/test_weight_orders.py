"""Which engines load a version now."""

import pytest

from samphirecleat.durable._weight_orders import OrderableEngine, decide_loads


def engine(
    name: str, version: int, running: int = 0, *, loading: bool = False, rests: bool = False
) -> OrderableEngine:
    return OrderableEngine(name, version, running, loading, rests)


@pytest.mark.parametrize(
    ("engines", "needed", "pressed", "elsewhere", "want"),
    [
        (
            [engine("a", 1), engine("b", 1), engine("c", 1), engine("d", 1), engine("e", 1)],
            2,
            False,
            0,
            ["a", "b"],
        ),
        (
            [engine("a", 1, 3), engine("b", 2), engine("c", 1), engine("d", 2, 1), engine("e", 3)],
            2,
            False,
            0,
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
            2,
            False,
            0,
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
            2,
            True,
            0,
            ["c", "a"],
        ),
        ([engine("a", 1, 3), engine("b", 1, 1), engine("c", 1, 2)], 2, False, 0, ["b"]),
        (
            [
                engine("a", 1, loading=True),
                engine("b", 1),
                engine("c", 1),
                engine("d", 1),
                engine("e", 1),
            ],
            2,
            False,
            0,
            ["b"],
        ),
        (
            [engine("a", 1), engine("b", 1), engine("c", 1), engine("d", 1), engine("e", 1)],
            2,
            False,
            1,
            ["a"],
        ),
        ([engine("a", 1, rests=True), engine("b", 3), engine("c", 3)], 2, False, 0, []),
        ([engine("a", 3), engine("b", 3)], 2, False, 0, []),
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
def test_loads(
    engines: list[OrderableEngine], needed: int, pressed: bool, elsewhere: int, want: list[str]
) -> None:
    got = decide_loads(engines, 3, needed, pressed=pressed, loading_elsewhere=elsewhere)
    assert list(got) == want
