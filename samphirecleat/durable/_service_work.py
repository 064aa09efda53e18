"""What is known of one service's work at the node that runs it.

The parts that run items, have them scored and give orders all read it; the comment behind each
section names the part that writes it.
"""

import asyncio
from collections import Counter
from collections.abc import Mapping, Sequence

from ..serving import Route, RouteTable, Target, TargetTable
from ._fold import StepState
from ._item_decisions import MOVE_TO_SLOWNESS, ItemName
from ._item_run import ItemRun
from ._paces import PaceTable
from ._planner import EngineView, Shortage
from ._service_view import ServiceView
from ._step_log import StepLog
from ._weight_demand import allowed_lag, engines_wanted, model_demand
from ._weight_orders import ModelDemand


class ServiceWork:
    """One service's open steps, runs and engines."""

    def __init__(
        self, service: str, step_log: StepLog, routes: RouteTable, targets: TargetTable
    ) -> None:
        """Start with nothing under way."""
        self.service = service
        self.step_log = step_log
        self.targets = targets
        self.view = ServiceView(service, routes, targets)
        self.runs: dict[ItemName, ItemRun] = {}  # RunPool
        self.scoring: dict[ItemName, asyncio.Task[None]] = {}  # Finisher
        self.handed_in: set[ItemName] = set()  # Finisher
        self.short: Mapping[str, Shortage] = {}  # StepRunner
        self.paces = PaceTable()  # RunPool, and Orderer by note_version
        self.changed = asyncio.Event()
        self._routes = routes
        self._loading: set[tuple[str, str]] = set()
        self._allowed_lags: dict[str, int] = {}

    def is_under_way(self, name: ItemName) -> bool:
        """Whether an item runs, is being scored, or waits to be listed."""
        return name in self.handed_in or name in self.runs or name in self.scoring

    def open_steps(self) -> Sequence[tuple[StepState, Route]]:
        """Return the open steps of this service with their routes, oldest first."""
        steps = []
        for step in self.step_log.fold.steps.values():
            if not step.open:
                continue
            route = self._routes.find(step.spec.host, step.spec.raw_path)
            if route is not None and any(p.service == self.service for p in route.services):
                steps.append((step, route))
        return steps

    def priority_of(self, step: StepState) -> int:
        """Return the rank of a step's workspace."""
        return self._routes.priority_of(step.spec.workspace)

    def items_to_make(self) -> int:
        """Return how many items of the open steps have a run or want one."""
        unlisted = sum(len(step.unlisted) for step, _route in self.open_steps())
        return max(0, unlisted - len(self.scoring) - len(self.handed_in))

    def engine_views(self, now_s: float) -> Sequence[EngineView]:
        """Return the engines as the planner wants to see them."""
        running: Counter[str] = Counter()
        planned: Counter[str] = Counter()
        for run in self.runs.values():
            running[run.target.instance] += 1
            planned[run.target.instance] += run.planned_tokens
        typical_event_s = self.paces.typical_event_s()
        views = []
        for target in self.targets.serving(self.service):
            pace = self.paces.of(target.instance)
            versions = {
                model: self.version_of(target, model)
                for model in self.view.models(target)
                if (target.instance, model) not in self._loading
            }
            views.append(
                EngineView(
                    target.instance,
                    versions,
                    self.view.places(target),
                    self.view.memory_tokens,
                    running[target.instance],
                    planned[target.instance],
                    self.paces.slowness(target.instance, typical_event_s),
                    pace.rests_until_s <= now_s,
                    pace.groups,
                    self.targets.warm.has(target, now_s),
                )
            )
        return views

    def token_s(self) -> float:
        """Return how long an engine of the typical pace takes for a token."""
        return self.paces.typical_event_s() / self.view.tokens_per_event

    def runs_by_engine(self, model: str) -> Mapping[str, int]:
        """Return how many runs of a model each engine has."""
        return Counter(
            run.target.instance
            for run in self.runs.values()
            if run.open_item.step.spec.model == model
        )

    def demand(self, model: str, named_version: int) -> ModelDemand:
        """Return what the open steps of a model, and the next one, ask of the engines."""
        open_steps = [step for step, _route in self.open_steps() if step.spec.model == model]
        lag = allowed_lag(open_steps, self._allowed_lags.get(model, 0))
        self._allowed_lags[model] = lag
        known = [step for step in self.step_log.fold.steps.values() if step.spec.model == model]
        return model_demand(
            model,
            named_version,
            lag,
            [step.spec.min_version for step in open_steps],
            engines_wanted(known, self.view.most_places),
            keeps_runs=not self.view.wants_single_version,
            shortage=self.short.get(model),
        )

    def version_of(self, target: Target, model: str) -> int:
        """Return the highest version of a model that the engine registered or streamed."""
        streamed = self.paces.of(target.instance).versions.get(model, 0)
        return max(target.versions.get(model, 1), streamed)

    def note_version(self, instance: str, model: str, version: int) -> None:
        """Take the version of a model that an engine itself reported."""
        self.paces.of(instance).note_version(model, version)
        self.changed.set()

    def is_slow(self, instance: str) -> bool:
        """Whether an engine is too slow to count on it for the next step."""
        return self.paces.slowness(instance) >= MOVE_TO_SLOWNESS

    def load_started(self, instance: str, model: str) -> None:
        """Place no item of a model at an engine until its load is over."""
        self._loading.add((instance, model))

    def load_finished(self, instance: str, model: str) -> None:
        """Place items of a model at an engine again."""
        self._loading.discard((instance, model))
