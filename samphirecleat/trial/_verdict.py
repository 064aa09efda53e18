"""The outcome of checking one promise."""

from typing import NamedTuple


class Verdict(NamedTuple):
    """How often a promise was broken, over how many checked items."""

    broken: int
    checked: int
