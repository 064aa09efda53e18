"""Tests of the number of spot targets planned per zone."""

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
        # Ordinary targets suffice.
        (FULL, 22, scaling(), {"a": 0, "b": 0, "c": 0}),
        # The gap is spread evenly, cheaper zones first.
        (FULL, 23, scaling(), {"a": 0, "b": 1, "c": 0}),
        (FULL, 24, scaling(), {"a": 1, "b": 1, "c": 0}),
        (FULL, 29, scaling(), {"a": 2, "b": 3, "c": 2}),
        # Lost ordinary targets are replaced.
        (zones(("a", 8, 0), ("b", 0, 0), ("c", 7, 0)), 22, scaling(), {"a": 2, "b": 3, "c": 2}),
        # No zone exceeds its maximum of ordinary and spot targets.
        (FULL, 30, scaling(maximum=8), {"a": 0, "b": 1, "c": 1}),
        # An exhausted zone keeps its number, and the others take its share.
        (EXHAUSTED_A, 26, scaling(), {"a": 2, "b": 1, "c": 1}),
        (ALL_EXHAUSTED, 40, scaling(), {"a": 0, "b": 0, "c": 0}),
        # No targets are ordered in a zone without a price.
        (FULL, 24, scaling(prices={"b": 1.0}), {"b": 2}),
        # Spot targets that are not offered, or not cheaper, are not ordered.
        (FULL, 40, scaling(spot_price=0.0), {}),
        (FULL, 40, scaling(spot_price=1.0), {}),
        # The cost limit, a quarter of the ordinary targets' cost, allows few at this price.
        (FULL, 99, scaling(spot_price=0.9), {"a": 2, "b": 2, "c": 2}),
        ([], 10, scaling(), {}),
    ],
)  # fmt: skip
def test_plan_spot_targets(
    supply: Sequence[ZoneCapacity], wanted: int, terms: ScalingSpec, want: Mapping[str, int]
) -> None:
    assert plan_spot_targets(supply, wanted, terms) == want


def test_spot_targets_are_spread_evenly_over_zones() -> None:
    """Guards against spot targets all in the cheapest zone, which may be reclaimed together."""
    plan = plan_spot_targets(FULL, 40, scaling())
    assert max(plan.values()) - min(plan.values()) <= 1


def test_a_wave_is_covered_with_a_margin_for_weight_loads() -> None:
    assert targets_for_wave(208, 8) * 8 >= 1.2 * 208
    assert targets_for_wave(0, 8) == 0
