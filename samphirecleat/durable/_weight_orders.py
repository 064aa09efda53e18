"""Decides which engines load the newest version of which model; pure functions.

Several models share the engines. A new version of each model is published every few seconds, and
the step submitted then still accepts the previous version, so an engine that loads a version
serves two steps with it. Concurrent loads slow each other down beyond a number that is not
known, and loading every version at all engines would exceed it. Therefore a model keeps only as
many engines ready for its next step as its work requires, and the other engines load the version
after: each engine loads every second version.

Loads are assigned first to the model whose waiting work has the least time left, then to the
model with the smallest share of its engines ready. A load that keeps runs does not delay them;
only new items of its model cannot be placed at the engine meanwhile, so engines that no item of
the model can use are chosen first. A load that waits for the runs of its model is assigned to
engines that run none of it.
"""

import math
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

# Share of the engines that may load concurrently. A loading engine accepts no new items of its
# model, and each load beyond the full-speed capacity of the weight store delays the most urgent.
MAX_LOADING_SHARE: Final = 0.4
# If one engine is lost, the other still serves the next step without a load.
MIN_READY_ENGINES: Final = 2


class ModelDemand(NamedTuple):
    """The demand of a model's steps on the engines.

    Open steps accept ``needed_version`` and newer, the step after them ``next_version``, which
    is never above ``newest_version``, the newest published one. ``wanted_engines`` is the number
    of engines that the next step fills. ``keeps_runs`` means that runs continue while their
    engine loads. ``waits`` is set if no engine has both a suitable version and a free slot for
    some item, ``urgent`` if such an item will be late unless it starts soon. ``slack_s`` is the
    slack of the most urgent waiting item in seconds.
    """

    model: str
    newest_version: int
    needed_version: int
    next_version: int
    wanted_engines: int
    keeps_runs: bool = True
    waits: bool = False
    urgent: bool = False
    slack_s: float = math.inf


class OrderableEngine(NamedTuple):
    """The state of an engine as known to the holder of the duty.

    ``versions`` and ``runs`` are by model. ``loading`` is the model being loaded, "" for none;
    an order with an unknown outcome counts as loading.
    """

    instance: str
    versions: Mapping[str, int]
    runs: Mapping[str, int]
    loading: str = ""
    backing_off: bool = False
    slow: bool = False


class Load(NamedTuple):
    """A load to order: ``instance`` loads the newest version of ``model``."""

    instance: str
    model: str


def decide_loads(
    engines: Sequence[OrderableEngine], demands: Sequence[ModelDemand]
) -> Sequence[Load]:
    """Return the loads to order now, in descending order of urgency."""
    free = max_concurrent_loads(len(engines)) - sum(bool(engine.loading) for engine in engines)
    views = {engine.instance: engine for engine in engines}
    loads: list[Load] = []
    while len(loads) < free:
        choices = [_next_load(list(views.values()), demand, demands) for demand in demands]
        due = [choice for choice in choices if choice is not None]
        if not due:
            break
        _urgency, load = min(due)
        loads.append(load)
        views[load.instance] = views[load.instance]._replace(loading=load.model)
    return loads


def max_concurrent_loads(engines: int) -> int:
    """Return how many of ``engines`` engines may load concurrently.

    Rounds to the nearest integer. If it rounded down, a service that loses one of five engines
    would load one at a time, and each further engine would get a version one load time later.
    """
    return max(1, round(engines * MAX_LOADING_SHARE))


# Lower values are more urgent: the class, the sort key within it, and the share of engines ready.
_Urgency = tuple[int, float, float]


def _next_load(
    engines: Sequence[OrderableEngine], demand: ModelDemand, demands: Sequence[ModelDemand]
) -> tuple[_Urgency, Load] | None:
    """Return the next load of a model and its urgency, None if it needs or can get no load."""
    model = demand.model
    usable = [e for e in engines if _has_version(e, model, demand.needed_version)]
    ready = [e for e in engines if not e.slow and _has_version(e, model, demand.next_version)]
    ready_share = len(ready) / max(1, min(demand.wanted_engines, len(engines)))
    if demand.waits and not usable:
        urgency = (0, demand.slack_s, ready_share)
    elif demand.urgent:
        urgency = (1, demand.slack_s, ready_share)
    elif ready_share < 1.0:
        urgency = (2, ready_share, 0.0)
    else:
        return None
    # Runs of open steps are delayed only for urgent items, or if no engine can serve the steps.
    may_delay_runs = demand.urgent or not usable
    behind_version = demand.needed_version if ready_share >= 1.0 else demand.next_version
    candidates = [
        engine
        for engine in engines
        if not engine.loading
        and not engine.backing_off
        and engine.versions.get(model, 0) < min(behind_version, demand.newest_version)
        # While items wait for slots, a load at a usable engine would make its slots unavailable.
        and not (demand.waits and engine.versions.get(model, 0) >= demand.needed_version)
        and (
            demand.keeps_runs
            or not engine.runs.get(model)
            or (may_delay_runs and engine.versions.get(model, 0) < demand.needed_version)
        )
    ]
    if not candidates:
        return None

    def cost(engine: OrderableEngine) -> tuple[bool, int, bool, int, int, int, str]:
        # Spreads the models over the engines, so that the first items of steps that are submitted
        # together do not compete for the same slots.
        others = sum(
            _has_version(engine, d.model, d.next_version) for d in demands if d.model != model
        )
        version = engine.versions.get(model, 0)
        runs = engine.runs.get(model, 0)
        delayed_runs = 0 if demand.keeps_runs else runs
        usable_now = version >= demand.needed_version
        return (engine.slow, delayed_runs, usable_now, others, version, runs, engine.instance)

    return urgency, Load(min(candidates, key=cost).instance, model)


def _has_version(engine: OrderableEngine, model: str, version: int) -> bool:
    """Whether an engine has a version of a model or a newer one, or is loading it."""
    if engine.loading == model:
        return True
    return engine.versions.get(model, 0) >= version
