"""Runs of a service's items on its engines, and the backoff after failed runs."""

import asyncio
import logging
from collections.abc import Collection

from ..crashes import CrashGuard
from ..observe import Observer
from ._crash_backoff import CrashBackoff
from ._drafts import DraftStore
from ._engine_ranking import MAX_MEMORY_WAIT_S
from ._finisher import Finisher
from ._item_decisions import ItemName, failure_response
from ._item_run import ItemRun, stream_item
from ._open_item import OpenItem
from ._planner import Placement
from ._ports import GenerationChannel, GenerationError, GenerationFailure
from ._run_moves import Move, MoveReason
from ._service_work import ServiceWork
from ._trial_control import TrialControl


class RunPool:
    """Starts, moves and cancels runs; owns ``runs`` and ``engine_stats`` of the service's work."""

    def __init__(
        self,
        work: ServiceWork,
        drafts: DraftStore,
        engines: GenerationChannel,
        finisher: Finisher,
        observer: Observer,
        guard: CrashGuard | None = None,
    ) -> None:
        """Stream from ``engines`` into ``drafts``; complete texts go to ``finisher``.

        ``guard`` collects evidence of items that crash engines.
        """
        self._work = work
        self._drafts = drafts
        self._engines = engines
        self._finisher = finisher
        self._observer = observer
        self._logger = observer.log("runner")
        self._backoff_until_s: dict[ItemName, float] = {}
        self._failures: dict[ItemName, int] = {}
        self._moved: set[ItemName] = set()
        self._crash_backoff = CrashBackoff(guard)
        self.trials = TrialControl(guard, work.service, observer, work.changed.set)

    def is_backing_off(self, open_item: OpenItem, now_s: float) -> bool:
        """Return whether an item is still backing off after a failed run."""
        backoff_until_s = self._backoff_until_s.get(open_item.name, 0.0)
        return backoff_until_s > now_s or self._crash_backoff.is_backing_off(open_item, now_s)

    def start(self, open_item: OpenItem, placement: Placement) -> None:
        """Start an item on the engine of its placement."""
        target = self._work.targets.targets[placement.instance]
        plan = placement.item
        item, step = open_item.item, open_item.step
        draft = self._drafts.get(item.item_id)
        run = ItemRun(open_item, target, draft, placement.planned_tokens, plan.priority)
        run.resumed_at_event = draft.last_event_id
        run.moved = run.name in self._moved
        self._work.engine_stats.of(target.instance).groups.add(item.group)
        self._work.runs[run.name] = run
        self._logger.info(
            "item=%s step=%s target=%s from_event=%d expected_tokens=%d reserved_tokens=%d "
            "memory_wait=%.2f s version=%d",
            item.item_id,
            step.spec.step_id,
            target.instance,
            run.draft.last_event_id,
            plan.expected_tokens,
            placement.planned_tokens,
            plan.memory_wait_s,
            self._work.version_of(target, step.spec.model),
        )
        if plan.memory_wait_s >= MAX_MEMORY_WAIT_S:
            self._observer.counters["items_started_without_memory"] += 1
        end_trial = self.trials.begin(run.name, placement.instance)
        run.task = asyncio.ensure_future(self._run(run))
        # Called also if the run is cancelled before its first step.
        run.task.add_done_callback(lambda _task: end_trial())

    def move(self, move: Move) -> None:
        """Request that a run ends at its next event, to be resumed on another engine."""
        run = self._work.runs[move.run.name]
        run.move_requested = True
        if move.reason is not MoveReason.LEAVING:
            self._moved.add(run.name)
        self._observer.counters[f"moves_{move.reason.value}"] += 1
        stats = self._work.engine_stats
        self._logger.info(
            "item=%s step=%s target=%s moves reason=%s lasting_slowness=%.2f current_slowness=%.2f"
            " destination_slowness=%.2f events=%d expected_remaining_s=%.2f due_in_s=%.2f",
            run.open_item.item.item_id,
            run.open_item.step.spec.step_id,
            run.target.instance,
            move.reason.value,
            move.run.slowness,
            stats.current_slowness(run.target.instance),
            move.destination_slowness,
            run.draft.last_event_id,
            move.run.remaining_s,
            move.run.due_in_s,
        )

    def keep_only(self, wanted_steps: Collection[str]) -> None:
        """Cancel runs of other steps and of listed items; drop failure records of other steps."""
        self._crash_backoff.keep_only(wanted_steps)
        self.trials.keep_only(wanted_steps)
        for (step_id, item_id), run in list(self._work.runs.items()):
            listed = item_id not in run.open_item.step.unlisted
            if (step_id not in wanted_steps or listed) and run.task is not None:
                run.task.cancel()
        self._moved = {name for name in self._moved if name[0] in wanted_steps}
        for by_name in (self._failures, self._backoff_until_s):
            for name in [name for name in by_name if name[0] not in wanted_steps]:
                del by_name[name]

    def close(self) -> None:
        """Cancel every run; the drafts are kept."""
        for run in list(self._work.runs.values()):
            if run.task is not None:
                run.task.cancel()

    async def _run(self, run: ItemRun) -> None:
        loop = asyncio.get_running_loop()
        self._work.targets.record_start(run.target)
        self._work.targets.warm.record_taken(run.target)
        began_s = loop.time()
        try:
            await stream_item(run, self._engines, self._work.engine_stats.of(run.target.instance))
        except GenerationError as error:
            self._record_failure(run, error)
            await self._crash_backoff.record_cut(run, began_s, error, loop.time())
        except asyncio.CancelledError:
            self._logger.info("item=%s run cancelled", run.open_item.item.item_id)
            raise
        finally:
            self._work.targets.record_end(run.target)
            self._work.runs.pop(run.name, None)
            self._work.changed.set()
        if run.draft.complete:
            self._crash_backoff.record_completion(run)
            self._work.targets.warm.record_returned(run.target, loop.time())
        if run.draft.complete and not self._work.is_in_progress(run.name):
            self._observer.record_s("item_run", loop.time() - began_s)
            self._work.record_text_end(run.open_item, run.draft.last_event_id)
            self._logger.info(
                "item=%s whole events=%d target=%s",
                run.open_item.item.item_id,
                run.draft.last_event_id,
                run.target.instance,
            )
            self._finisher.score(run.open_item, run.draft)

    def _record_failure(self, run: ItemRun, error: GenerationError) -> None:
        now_s = asyncio.get_running_loop().time()
        self._logger.log(
            logging.INFO if error.reason is GenerationFailure.MOVED else logging.WARNING,
            "item=%s target=%s ended=%s at_event=%d detail=%s",
            run.open_item.item.item_id,
            run.target.instance,
            error.reason.value,
            run.draft.last_event_id,
            error.detail,
        )
        failures = self._failures.get(run.name, 0) + (error.reason is GenerationFailure.FAILED)
        self._failures[run.name] = failures
        response = failure_response(
            error.reason,
            failures,
            run.open_item.route.max_attempts,
            memory_full=self._work.has_full_memory(run.target.instance),
        )
        self._backoff_until_s[run.name] = now_s + response.item_backoff_s
        if response.engine_backoff_s > 0.0:
            stats = self._work.engine_stats.of(run.target.instance)
            stats.backoff_until_s = now_s + response.engine_backoff_s
        if response.give_up_item:
            self._finisher.give_up(run.open_item)
