"""Forecasts the version of a trainer's next pull, and finds targets too stale for it."""

from collections import Counter
from collections.abc import Collection

from ...blackboard import Blackboard
from ...steps import NO_VERSION, Step, TrainerProgress, find_stale_targets, predict_version
from ._streamed_versions import effective_version


class VersionForecast:
    """Tracks the versions that trainers name and finds the targets that are too stale for them."""

    def __init__(self, board: Blackboard) -> None:
        """Read targets and weights from the blackboard."""
        self._board = board
        self._progress: dict[str, TrainerProgress] = {}
        self._pulls: Counter[str] = Counter()

    def record_version(self, trainer: str, version: int) -> None:
        """Record a version that a trainer named."""
        progress = self._progress.get(trainer, TrainerProgress())
        self._progress[trainer] = progress._replace(version=max(progress.version, version))

    def record_pull(self, step: Step, version: int) -> None:
        """Record the version that a pull of a step names; call it before the pull is answered."""
        trainer = step.spec.trainer
        progress = self._progress.get(trainer, TrainerProgress())
        if step.pulled and not step.done and NO_VERSION < progress.version < version:
            self._progress[trainer] = progress._replace(advances_within_steps=True)
        self.record_version(trainer, version)

    def begin_pull(self, trainer: str) -> None:
        """Record that a pull begins to wait; pair it with :meth:`end_pull`."""
        self._pulls[trainer] += 1

    def end_pull(self, trainer: str) -> None:
        """Record that a pull was answered."""
        self._pulls[trainer] -= 1

    def predicted_version(self, step: Step, now_s: float) -> int:
        """Return the version that the step's trainer is expected to name in its next pull."""
        trainer = step.spec.trainer
        progress = self._progress.get(trainer, TrainerProgress())
        progress = progress._replace(pulling=self._pulls[trainer] > 0)
        return predict_version(progress, self._newest_version(step.spec.service, now_s))

    def stale_targets(self, step: Step, now_s: float) -> frozenset[str]:
        """Return the addresses of the targets whose weights are too old for runs of a step."""
        targets = [
            target._replace(version=effective_version(self._board, target, now_s))
            for target in self._board.targets_of(step.spec.service)
        ]
        return find_stale_targets(
            targets, self.predicted_version(step, now_s), step.spec.staleness_bound
        )

    def retain_trainers(self, trainers: Collection[str]) -> None:
        """Drop the state of all other trainers, so that memory stays bounded."""
        for trainer in [name for name in self._progress if name not in trainers]:
            del self._progress[trainer]
            del self._pulls[trainer]

    def _newest_version(self, service: str, now_s: float) -> int:
        """Return the newest known version, from the store or running on a target.

        Only the coordinator reads the store; other nodes learn versions from the targets.
        """
        weights = self._board.weights.get(service)
        versions = [
            effective_version(self._board, t, now_s) for t in self._board.targets_of(service)
        ]
        return max([*versions, weights.latest_version if weights else NO_VERSION])
