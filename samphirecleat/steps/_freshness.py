"""Prediction of the weight version that a trainer will be at when a sample is ready."""

from collections.abc import Sequence
from typing import NamedTuple

from ..blackboard import TargetView
from ._types import NO_VERSION


class TrainerProgress(NamedTuple):
    """A trainer's progress, as known to one node.

    ``version`` is the weight version named by its latest pull or submission.
    ``pulling`` is true while a pull of the trainer waits on this node.
    ``advances_within_steps`` becomes true once its version has risen between two
    pulls of one step: such a trainer does not wait for a complete step before it
    trains on.
    """

    version: int = NO_VERSION
    pulling: bool = False
    advances_within_steps: bool = False


def predict_version(progress: TrainerProgress, newest_version: int) -> int:
    """Return the weight version that the trainer's next pull is expected to name.

    ``newest_version`` is the newest known version of the service's weights. A
    trainer that waits for this step stays at its version. Any other is expected to
    be one version ahead if such weights exist, and never more: the weights may
    belong to another trainer, and for a trainer far behind them every run would be
    discarded.
    """
    if progress.version == NO_VERSION:
        return newest_version
    if progress.pulling and not progress.advances_within_steps:
        return progress.version
    return max(progress.version, min(newest_version, progress.version + 1))


def find_stale_targets(
    targets: Sequence[TargetView], expected_version: int, staleness_bound: int
) -> frozenset[str]:
    """Return the addresses of targets whose weights are too old to start a run on.

    Their samples would exceed the staleness bound when they are ready: the work
    would be wasted and the step delayed by the replacement. ``expected_version`` is the
    version that the trainer is expected to be at.
    """
    return frozenset(
        target.address for target in targets if expected_version - target.version > staleness_bound
    )
