"""Which weight versions a trainer will accept by the time a sample is ready."""

from collections.abc import Sequence
from typing import NamedTuple

from ..blackboard import TargetView
from ._types import NO_VERSION


class TrainerProgress(NamedTuple):
    """What one node knows of a trainer's progress.

    ``version`` is what its latest pull or submission named. ``pulling`` holds
    while a pull waits here. ``moves_within_steps`` turns true once its version
    rose between two pulls of one step, as with a trainer that does not wait for
    a whole step before it goes on.
    """

    version: int = NO_VERSION
    pulling: bool = False
    advances_within_steps: bool = False


def predict_version(pace: TrainerProgress, newest_version: int) -> int:
    """Return the version that the trainer is expected to be at when it pulls next.

    ``newest_version`` is the newest that the service's weights are known to
    have. A trainer that waits for this very step stays where it is; any other is
    taken to be one ahead once such weights exist. No more than one: a service's
    weights may be another trainer's, and a trainer far behind them would see
    every run discarded.
    """
    if pace.version == NO_VERSION:
        return newest_version
    if pace.pulling and not pace.advances_within_steps:
        return pace.version
    return max(pace.version, min(newest_version, pace.version + 1))


def find_stale_targets(
    targets: Sequence[TargetView], coming: int, staleness_bound: int
) -> frozenset[str]:
    """Return the addresses whose weights are too old to start a run on.

    Their samples would be past the bound when they are ready: work done for
    nothing, and a step that waits for its replacement.
    """
    return frozenset(
        target.address for target in targets if coming - target.version > staleness_bound
    )
