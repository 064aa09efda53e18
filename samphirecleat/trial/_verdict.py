"""The outcome of checking one promise."""

from collections.abc import Sequence
from typing import Final, NamedTuple

EXAMPLES_KEPT: Final = 5


class Verdict(NamedTuple):
    """How often a promise was broken, over how many checked items, with examples."""

    broken: int
    checked: int
    examples: Sequence[str] = ()


def judge(broken: Sequence[object], checked: int, count: int | None = None) -> Verdict:
    """Return the verdict on ``broken`` items; ``count`` if each counts for more than one."""
    examples = [str(item) for item in broken[:EXAMPLES_KEPT]]
    return Verdict(len(broken) if count is None else count, checked, examples)
