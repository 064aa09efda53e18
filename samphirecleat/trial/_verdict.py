"""The result of checking one promise."""

from collections.abc import Sequence
from typing import Final, NamedTuple

MAX_EXAMPLES: Final = 5


class Verdict(NamedTuple):
    """Number of violations and of checked items, with examples of violations."""

    broken: int
    checked: int
    examples: Sequence[str] = ()


def make_verdict(broken: Sequence[object], checked: int, count: int | None = None) -> Verdict:
    """Return the verdict for the ``broken`` items.

    ``count`` replaces their number if one item stands for several violations.
    """
    examples = [str(item) for item in broken[:MAX_EXAMPLES]]
    return Verdict(len(broken) if count is None else count, checked, examples)
