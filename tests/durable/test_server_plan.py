"""How many spot targets are ordered where: the decision, by table, and its load patterns."""

from collections.abc import Mapping, Sequence

import pytest

from samphirecleat.durable import ZoneCapacity, plan_spot_targets, targets_for_wave
from samphirecleat.serving import ScalingSpec

PRICES = {"a": 1.0, "b": 0.8, "c": 1.25}


def scaling(
    spot_price: float = 0.15, maximum: int = 15, prices: Mapping[str, float] = PRICES
) -> ScalingSpec:
    return ScalingSpec(1, maximum, 4.0, prices, spot_price)


def zones(*rows: tuple[str, int, int] | tuple[str, int, int, bool]) -> list[ZoneCapacity]:
    return [ZoneCapacity(*row) for row in rows]


FULL = zones(("a", 8, 0), ("b", 7, 0), ("c", 7, 0))
EXHAUSTED_A = zones(("a", 8, 2, True), ("b", 7, 0), ("c", 7, 0))
ALL_EXHAUSTED = zones(("a", 8, 0, True), ("b", 7, 0, True), ("c", 7, 0, True))


@pytest.mark.parametrize(
    ("supply", "wanted", "terms", "want"),
    [
        # What ordinary targets cover needs no other.
        (FULL, 22, scaling(), {"a": 0, "b": 0, "c": 0}),
        # The rest is spread evenly, the cheaper zones first.
        (FULL, 23, scaling(), {"a": 0, "b": 1, "c": 0}),
        (FULL, 24, scaling(), {"a": 1, "b": 1, "c": 0}),
        (FULL, 29, scaling(), {"a": 2, "b": 3, "c": 2}),
        # Ordinary targets that are lost are made up for.
        (zones(("a", 8, 0), ("b", 0, 0), ("c", 7, 0)), 22, scaling(), {"a": 2, "b": 3, "c": 2}),
        # No zone gets more than it may have of both kinds.
        (FULL, 30, scaling(maximum=8), {"a": 0, "b": 1, "c": 1}),
        # A dry zone keeps what it has, and the others take its part.
        (EXHAUSTED_A, 26, scaling(), {"a": 2, "b": 1, "c": 1}),
        (ALL_EXHAUSTED, 40, scaling(), {"a": 0, "b": 0, "c": 0}),
        # A zone without a price is none that targets can be ordered for.
        (FULL, 24, scaling(prices={"b": 1.0}), {"b": 2}),
        # Where spot targets are not cheaper, or not offered, none is ordered.
        (FULL, 40, scaling(spot_price=0.0), {}),
        (FULL, 40, scaling(spot_price=1.0), {}),
        # As dear as that, a quarter of the ordinary ones' price buys few.
        (FULL, 99, scaling(spot_price=0.9), {"a": 2, "b": 2, "c": 2}),
        ([], 10, scaling(), {}),
    ],
)  # fmt: skip
def test_what_is_ordered(
    supply: Sequence[ZoneCapacity], wanted: int, terms: ScalingSpec, want: Mapping[str, int]
) -> None:
    assert plan_spot_targets(supply, wanted, terms) == want


def test_the_reclaim_of_one_zone_takes_a_third_of_the_spot_targets() -> None:
    """Guards against spot targets that all stand in the cheapest zone and go at once."""
    plan = plan_spot_targets(FULL, 40, scaling())
    assert max(plan.values()) - min(plan.values()) <= 1


def test_a_wave_that_moves_is_covered_with_room_for_loads() -> None:
    assert targets_for_wave(208, 8) * 8 >= 1.2 * 208
    assert targets_for_wave(0, 8) == 0
