"""Which engines are ordered to load which model's version now: a pure decision.

Load pattern answered: several models share the engines. A version of each is named every
few seconds, and the step that is asked for then still accepts the version before it, so an
engine that loads a version serves two steps with it. Loads slow each other down beyond a
number at once that nobody tells, and all engines loading every version would need more. So a
model keeps as many engines ready for its next step as its work takes, and the others take the
version after: each engine loads every second version. Loads go to the model
whose waiting work has the least time left, then to the one that has the smallest part of its
engines ready. A load that keeps runs holds up none of them: only new items of its model find
no place at that engine meanwhile, so engines that no item of the model can use go first. One
that waits for the runs of its model goes to engines that run none of it.
"""

import math
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

# Of the engines, this share may load at once. An engine that loads takes no new item of the model,
# and every load beyond what the weight store serves at full pace holds up the most urgent one.
MAX_LOADING_SHARE: Final = 0.4
# With one engine lost the others still serve the next step at once.
MIN_READY_ENGINES: Final = 2


class ModelDemand(NamedTuple):
    """What a model's steps ask of the engines.

    Open steps accept ``needed_version`` and newer, the step after them ``next_version``,
    which is never above ``named_version``. ``wanted_engines`` is how many the next step takes.
    ``keeps_runs`` says that runs go on under the version that their engine loads.
    An item ``waits`` if no engine has a version and a place for it; it is ``pressed`` if it
    will be late unless it starts soon. ``spare_s`` is what the most urgent of them has left.
    """

    model: str
    named_version: int
    needed_version: int
    next_version: int
    wanted_engines: int
    keeps_runs: bool = True
    waits: bool = False
    pressed: bool = False
    spare_s: float = math.inf


class OrderableEngine(NamedTuple):
    """An engine as the holder of the duty sees it; ``loading`` names a model or is empty.

    ``versions`` and ``runs`` are by model. Outcomes that are unknown count as loading.
    """

    instance: str
    versions: Mapping[str, int]
    runs: Mapping[str, int]
    loading: str = ""
    backing_off: bool = False
    slow: bool = False


class Load(NamedTuple):
    """An order to give: ``instance`` is to load the newest version of ``model``."""

    instance: str
    model: str


def decide_loads(
    engines: Sequence[OrderableEngine], demands: Sequence[ModelDemand]
) -> Sequence[Load]:
    """Return the loads to order now, the most urgent first."""
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
    """Return how many of so many engines may load at once.

    Rounded to the nearest: a service that loses one of five engines would else load one at a
    time, and each version would come a load's time later at every further engine.
    """
    return max(1, round(engines * MAX_LOADING_SHARE))


# Lower comes first: the class, what orders within it, and the share of the engines ready.
_Urgency = tuple[int, float, float]


def _next_load(
    engines: Sequence[OrderableEngine], demand: ModelDemand, demands: Sequence[ModelDemand]
) -> tuple[_Urgency, Load] | None:
    """Return a model's next load and how urgent it is, or None if it wants no load."""
    model = demand.model
    usable = [e for e in engines if _has(e, model, demand.needed_version)]
    ready = [e for e in engines if not e.slow and _has(e, model, demand.next_version)]
    ready_share = len(ready) / max(1, min(demand.wanted_engines, len(engines)))
    if demand.waits and not usable:
        urgency = (0, demand.spare_s, ready_share)
    elif demand.pressed:
        urgency = (1, demand.spare_s, ready_share)
    elif ready_share < 1.0:
        urgency = (2, ready_share, 0.0)
    else:
        return None
    # While something can serve the open steps, their runs are not held up.
    may_delay_runs = demand.pressed or not usable
    behind_version = demand.needed_version if ready_share >= 1.0 else demand.next_version
    candidates = [
        engine
        for engine in engines
        if not engine.loading
        and not engine.backing_off
        and engine.versions.get(model, 0) < min(behind_version, demand.named_version)
        # Where items wait for places, a load would take some of them away.
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
        # Models are spread over the engines, so that the first items of steps that are asked
        # for together do not meet at the same places.
        others = sum(_has(engine, d.model, d.next_version) for d in demands if d.model != model)
        version = engine.versions.get(model, 0)
        runs = engine.runs.get(model, 0)
        delayed_runs = 0 if demand.keeps_runs else runs
        usable_now = version >= demand.needed_version
        return (engine.slow, delayed_runs, usable_now, others, version, runs, engine.instance)

    return urgency, Load(min(candidates, key=cost).instance, model)


def _has(engine: OrderableEngine, model: str, version: int) -> bool:
    """Whether an engine has a version of a model or newer, or soon will."""
    if engine.loading == model:
        return True
    return engine.versions.get(model, 0) >= version
