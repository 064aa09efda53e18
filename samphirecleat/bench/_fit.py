"""Least-squares lines through measured points."""

from collections.abc import Sequence
from statistics import linear_regression
from typing import NamedTuple


class Slope(NamedTuple):
    """A least-squares line: ``fixed`` plus ``per_unit`` for each unit."""

    fixed: float
    per_unit: float

    def at(self, units: float) -> float:
        """Return the value of the line at a number of units."""
        return self.fixed + self.per_unit * units


def fit_line(points: Sequence[tuple[float, float]]) -> Slope:
    """Return the least-squares line through points of size and value.

    :raises statistics.StatisticsError: for fewer than two sizes.
    """
    sizes = [size for size, _value in points]
    values = [value for _size, value in points]
    per_unit, fixed = linear_regression(sizes, values)
    return Slope(fixed, per_unit)
