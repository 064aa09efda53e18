"""What the steps of a model ask of the engines, from the steps that are known: pure."""

import math
from collections.abc import Sequence
from typing import Final

from ._fold import StepState
from ._planner import Shortage
from ._weight_orders import MIN_READY_ENGINES, ModelDemand

# A model's work is the largest of so many of its latest steps.
RECENT_STEPS: Final = 3


def allowed_lag(open_steps: Sequence[StepState], previous_lag: int) -> int:
    """Return by how many versions a step's oldest one is behind that of its asking.

    ``before`` is what was learned from earlier steps, and stands while none is open.
    """
    if not open_steps:
        return previous_lag
    newest = max((step.spec for step in open_steps), key=lambda spec: spec.number)
    # Step k is asked for at version k, or at 1 for the first ones.
    return max(0, max(1, newest.number) - newest.min_version)


def engines_for(items: int, places: int) -> int:
    """Return how many engines of so many places a step of so many items fills."""
    return max(MIN_READY_ENGINES, math.ceil(items / max(1, places)))


def engines_wanted(known_steps: Sequence[StepState], places: int) -> int:
    """Return how many engines of so many places a step of a model fills, by the latest ones."""
    latest = sorted(known_steps, key=lambda step: step.folded_at_s)[-RECENT_STEPS:]
    items = max((len(step.item_ids) for step in latest), default=0)
    return engines_for(items, places)


def model_demand(
    model: str,
    named_version: int,
    lag: int,
    open_min_versions: Sequence[int],
    wanted_engines: int,
    *,
    keeps_runs: bool,
    shortage: Shortage | None,
) -> ModelDemand:
    """Return a model's demand; steps accept ``lag`` versions less than that of their asking.

    ``open_min_versions`` holds the oldest version that each open step accepts.
    """
    return ModelDemand(
        model,
        named_version,
        max([named_version - lag, *open_min_versions]),
        min(named_version, named_version + 1 - lag),
        wanted_engines,
        keeps_runs,
        shortage is not None,
        shortage is not None and shortage.pressed,
        shortage.spare_s if shortage is not None else math.inf,
    )
