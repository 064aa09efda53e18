"""Derives the demand of a model's steps on the engines from the known steps; pure functions."""

import math
from collections.abc import Sequence
from typing import Final

from ._fold import StepState
from ._planner import Shortage
from ._weight_orders import MIN_READY_ENGINES, ModelDemand

# The work of a model is estimated as the largest of this many most recent steps.
RECENT_STEPS: Final = 3


def allowed_lag(open_steps: Sequence[StepState], previous_lag: int) -> int:
    """Return how many versions the minimum version of steps is behind the one at submission.

    ``previous_lag`` is the result for earlier steps; it is returned while no step is open.
    """
    if not open_steps:
        return previous_lag
    newest = max((step.spec for step in open_steps), key=lambda spec: spec.number)
    # Step k is submitted at version k, the first ones at version 1.
    return max(0, max(1, newest.number) - newest.min_version)


def engines_for(items: int, slots: int) -> int:
    """Return how many engines with ``slots`` slots each a step of ``items`` items fills."""
    return max(MIN_READY_ENGINES, math.ceil(items / max(1, slots)))


def engines_wanted(known_steps: Sequence[StepState], slots: int) -> int:
    """Return how many engines with ``slots`` slots each a step fills, judged by recent steps."""
    latest = sorted(known_steps, key=lambda step: step.folded_at_s)[-RECENT_STEPS:]
    items = max((len(step.item_ids) for step in latest), default=0)
    return engines_for(items, slots)


def model_demand(
    model: str,
    newest_version: int,
    lag: int,
    open_min_versions: Sequence[int],
    wanted_engines: int,
    *,
    keeps_runs: bool,
    shortage: Shortage | None,
) -> ModelDemand:
    """Return the demand of a model whose steps accept ``lag`` versions before their own.

    ``open_min_versions`` holds the minimum version of each open step.
    """
    return ModelDemand(
        model,
        newest_version,
        max([newest_version - lag, *open_min_versions]),
        min(newest_version, newest_version + 1 - lag),
        wanted_engines,
        keeps_runs,
        shortage is not None,
        shortage is not None and shortage.urgent,
        shortage.slack_s if shortage is not None else math.inf,
    )
