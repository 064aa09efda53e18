"""Shared state of one service's work on the node that holds the service's duty.

Runner, finisher and orderers read it. The comment behind each attribute names the component that
writes it.
"""

import asyncio
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Final

from ..serving import Route, RouteTable, Target, TargetTable
from ._engine_ranking import EngineView
from ._engine_stats import EngineStatsTable
from ._fold import StepState
from ._item_decisions import ItemName, expected_remaining_events
from ._item_run import ItemRun
from ._open_item import OpenItem
from ._planner import RunMemory, Shortage, reserved_tokens
from ._run_moves import MAX_DESTINATION_SLOWNESS
from ._service_view import ServiceView
from ._step_log import StepLog
from ._text_lengths import GeneratedText, TextLengths
from ._weight_demand import allowed_lag, engines_wanted, model_demand
from ._weight_orders import ModelDemand

# Share of its memory from which an engine may preempt runs: their next events need the rest.
FULL_MEMORY_SHARE: Final = 0.9


class ServiceWork:
    """Open steps, runs and engines of one service."""

    def __init__(
        self, service: str, step_log: StepLog, routes: RouteTable, targets: TargetTable
    ) -> None:
        """Start without runs."""
        self.service = service
        self.step_log = step_log
        self.targets = targets
        self.view = ServiceView(service, routes, targets)
        self.runs: dict[ItemName, ItemRun] = {}  # RunPool
        self.scoring: dict[ItemName, asyncio.Task[None]] = {}  # Finisher
        self.submitted: set[ItemName] = set()  # Finisher
        self.shortages: Mapping[str, Shortage] = {}  # StepRunner
        self.engine_stats = EngineStatsTable()  # RunPool, and Orderer by record_version
        self.changed = asyncio.Event()
        self._routes = routes
        self._lengths = TextLengths()
        self._expected_tokens: dict[ItemName, int] = {}
        self._loading: set[tuple[str, str]] = set()
        self._allowed_lags: dict[str, int] = {}

    def is_in_progress(self, name: ItemName) -> bool:
        """Return whether an item is running, being scored or submitted for listing."""
        return name in self.submitted or name in self.runs or name in self.scoring

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
        """Return the priority rank of a step's workspace."""
        return self._routes.priority_of(step.spec.workspace)

    def items_to_generate(self) -> int:
        """Return how many items of the open steps are running or waiting to run."""
        unlisted = sum(len(step.unlisted) for step, _route in self.open_steps())
        return max(0, unlisted - len(self.scoring) - len(self.submitted))

    def engine_views(self, now_s: float) -> Sequence[EngineView]:
        """Return the planner's view of all engines."""
        running: Counter[str] = Counter()
        reserved: Counter[str] = Counter()
        for run in self.runs.values():
            running[run.target.instance] += 1
            reserved[run.target.instance] += run.reserved_tokens
        median_event_interval_s = self.engine_stats.median_event_interval_s()
        views = []
        for target in self.targets.accepting_targets(self.service):
            stats = self.engine_stats.of(target.instance)
            versions = {
                model: self.version_of(target, model)
                for model in self.view.models(target)
                if (target.instance, model) not in self._loading
            }
            views.append(
                EngineView(
                    target.instance,
                    versions,
                    self.view.slots(target),
                    self.view.memory_tokens,
                    running[target.instance],
                    reserved[target.instance],
                    self.engine_stats.slowness(target.instance, median_event_interval_s),
                    stats.backoff_until_s <= now_s,
                    stats.groups,
                    self.targets.warm.has(target, now_s),
                )
            )
        return views

    def update_lengths(self) -> None:
        """Update expected lengths, and the memory reserved for runs, by what was generated."""
        tokens_per_event = self.view.tokens_per_event
        runs = self.runs.values()
        texts = (
            GeneratedText(run.open_item, run.draft.last_event_id * tokens_per_event) for run in runs
        )
        self._lengths.record_running(texts, self.view.tokens_per_slot)
        self._expected_tokens.clear()
        token_s = self.token_s()
        for run in runs:
            run.reserved_tokens = reserved_tokens(self._memory_of(run), token_s)

    def record_text_end(self, open_item: OpenItem, events: int) -> None:
        """Learn from the length of a complete text; estimates follow at the next update."""
        text = GeneratedText(open_item, events * self.view.tokens_per_event)
        self._lengths.record_end(text, self.view.tokens_per_slot)

    def expected_tokens(self, open_item: OpenItem) -> int:
        """Return how long the text of an item is expected to become, as of the last update."""
        name = open_item.name
        expected = self._expected_tokens.get(name)
        if expected is None:
            expected = self._lengths.expected_tokens(open_item, self.view.tokens_per_slot)
            self._expected_tokens[name] = expected
        return expected

    def remaining_events(self, open_item: OpenItem, generated_events: int) -> int:
        """Return how many more events the text of an item is expected to have."""
        tokens_per_event = self.view.tokens_per_event
        return expected_remaining_events(
            generated_events,
            self.expected_tokens(open_item) // tokens_per_event,
            open_item.item.max_tokens // tokens_per_event,
        )

    def has_full_memory(self, instance: str) -> bool:
        """Return whether the texts of an engine's runs take about all of its memory."""
        tokens_per_event = self.view.tokens_per_event
        used_tokens = sum(
            run.open_item.item.prompt_tokens + run.draft.last_event_id * tokens_per_event
            for run in self.runs.values()
            if run.target.instance == instance
        )
        return used_tokens > FULL_MEMORY_SHARE * self.view.memory_tokens

    def _memory_of(self, run: ItemRun) -> RunMemory:
        tokens_per_event = self.view.tokens_per_event
        events = run.draft.last_event_id
        return RunMemory(
            run.open_item.item.prompt_tokens,
            run.resumed_at_event * tokens_per_event,
            events * tokens_per_event,
            self.remaining_events(run.open_item, events) * tokens_per_event,
        )

    def token_s(self) -> float:
        """Return the generation time of a token on the median engine, in seconds."""
        return self.engine_stats.median_event_interval_s() / self.view.tokens_per_event

    def runs_by_engine(self, model: str) -> Mapping[str, int]:
        """Return the number of runs of a model, by engine."""
        return Counter(
            run.target.instance
            for run in self.runs.values()
            if run.open_item.step.spec.model == model
        )

    def demand(self, model: str, newest_version: int) -> ModelDemand:
        """Return what the open steps of a model, and the next step, need from the engines."""
        open_steps = [step for step, _route in self.open_steps() if step.spec.model == model]
        lag = allowed_lag(open_steps, self._allowed_lags.get(model, 0))
        self._allowed_lags[model] = lag
        known = [step for step in self.step_log.fold.steps.values() if step.spec.model == model]
        return model_demand(
            model,
            newest_version,
            lag,
            [step.spec.min_version for step in open_steps],
            engines_wanted(known, self.view.max_slots),
            keeps_runs=not self.view.wants_single_version,
            shortage=self.shortages.get(model),
        )

    def version_of(self, target: Target, model: str) -> int:
        """Return the highest version of a model that the engine registered or streamed."""
        streamed = self.engine_stats.of(target.instance).versions.get(model, 0)
        return max(target.versions.get(model, 1), streamed)

    def record_version(self, instance: str, model: str, version: int) -> None:
        """Record the version of a model that an engine reported itself, and wake the runner."""
        self.engine_stats.of(instance).record_version(model, version)
        self.changed.set()

    def is_slow(self, instance: str) -> bool:
        """Return whether an engine is too slow to be counted on for the next step."""
        return self.engine_stats.slowness(instance) >= MAX_DESTINATION_SLOWNESS

    def begin_load(self, instance: str, model: str) -> None:
        """Stop placing items of a model on an engine while it loads that model."""
        self._loading.add((instance, model))

    def end_load(self, instance: str, model: str) -> None:
        """Allow items of a model on an engine again."""
        self._loading.discard((instance, model))
