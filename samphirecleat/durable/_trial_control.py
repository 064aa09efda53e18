"""Holds and starts the items of one runner that may crash engines, as the trials decide."""

import asyncio
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import NamedTuple

from ..crashes import CrashGuard
from ..observe import Observer
from ._crash_backoff import item_digest
from ._engine_ranking import EngineView, PendingItem
from ._item_decisions import ItemName
from ._open_item import OpenItem
from ._suspect_trials import (
    Trial,
    TrialDecision,
    WaitingSuspect,
    WaitReason,
    choose_trial,
    is_restricted,
    kind_of,
    trial_s,
)


class StartableItems(NamedTuple):
    """The items that may start now; those in ``engine_by_item`` only at that engine."""

    items: Sequence[PendingItem]
    engine_by_item: Mapping[ItemName, str]


class TrialControl:
    """Keeps track of the runs on trial at the engines of one service."""

    def __init__(
        self,
        guard: CrashGuard | None,
        service: str,
        observer: Observer,
        on_end: Callable[[], None],
    ) -> None:
        """Take evidence from ``guard``; without it, every item may start.

        ``on_end`` is called when a trial ends, and others may begin.
        """
        self._guard = guard
        self._service = service
        self._observer = observer
        self._logger = observer.log("runner")
        self._on_end = on_end
        self._running: dict[ItemName, Trial] = {}
        self._chosen: dict[ItemName, WaitingSuspect] = {}
        self._logged_reasons: dict[ItemName, WaitReason] = {}

    def startable(
        self,
        pending: Sequence[PendingItem],
        open_items: Mapping[ItemName, OpenItem],
        engines: Sequence[EngineView],
    ) -> StartableItems:
        """Return which of the ``pending`` items may start now; the others wait for a trial."""
        self._chosen = {}
        guard = self._guard
        if guard is None or not guard.has_suspects:
            return StartableItems(pending, {})
        size = guard.service_size(self._service)
        if size.is_large:
            return StartableItems(pending, {})
        now_s = asyncio.get_running_loop().time()
        free: list[PendingItem] = []
        waiting: list[WaitingSuspect] = []
        for item in pending:
            suspicion = guard.suspicion(item_digest(open_items[item.step_id, item.item_id]))
            if is_restricted(suspicion, size, now_s):
                waiting.append(WaitingSuspect(item, suspicion))
            else:
                free.append(item)
        if not waiting:
            return StartableItems(pending, {})
        if guard.suspects_running(self._service) > len(self._running):
            # A call that may crash its target is on trial in this service.
            names = [suspect.name for suspect in waiting]
            decision = TrialDecision("", (), dict.fromkeys(names, WaitReason.OTHER_TRIAL))
        else:
            running = list(self._running.values())
            decision = choose_trial(waiting, running, size, engines, now_s)
        by_name = {suspect.name: suspect for suspect in waiting}
        for name, reason in decision.waiting.items():
            self._log_wait(by_name[name], reason, now_s)
        chosen = [(item.step_id, item.item_id) for item in decision.items]
        self._chosen = {name: by_name[name] for name in chosen}
        return StartableItems([*free, *decision.items], dict.fromkeys(chosen, decision.instance))

    def begin(self, name: ItemName, instance: str) -> Callable[[], None]:
        """Count a run that starts now, if it is on trial; return a function to call at its end."""
        suspect = self._chosen.pop(name, None)
        if suspect is None or self._guard is None:
            return _end_nothing
        duration_s = trial_s(suspect.suspicion)
        trial = Trial(instance, kind_of(suspect.suspicion), duration_s)
        self._running[name] = trial
        self._observer.counters["item_trials"] += 1
        self._logger.info(
            "item=%s target=%s on trial for=%.2f s crashes=%d waited=%.2f s beside=%d",
            name[1],
            instance,
            duration_s,
            suspect.suspicion.crash_count,
            asyncio.get_running_loop().time() - suspect.suspicion.last_crash_s,
            len(self._running) - 1,
        )
        self._logged_reasons.pop(name, None)
        end_suspect = self._guard.start_suspect(self._service)

        def end() -> None:
            timer.cancel()
            end_suspect()
            # The item may be on trial again by the time that its earlier run has ended.
            if self._running.get(name) is trial:
                del self._running[name]
                self._on_end()

        timer = asyncio.get_running_loop().call_later(duration_s, end)
        return end

    def keep_only(self, wanted_steps: Collection[str]) -> None:
        """Drop what was noted on items of other steps."""
        self._logged_reasons = {
            name: reason for name, reason in self._logged_reasons.items() if name[0] in wanted_steps
        }

    def _log_wait(self, suspect: WaitingSuspect, reason: WaitReason, now_s: float) -> None:
        """Log why an item waits, once for each reason that is new for it."""
        if self._logged_reasons.get(suspect.name) is reason or self._guard is None:
            return
        self._logged_reasons[suspect.name] = reason
        size = self._guard.service_size(self._service)
        suspicion = suspect.suspicion
        since_s = now_s - suspicion.last_crash_s if suspicion.crash_count else 0.0
        self._observer.counters["item_trials_waited"] += 1
        self._logger.info(
            "item=%s step=%s waits=%s verdict=%s crashes=%d last_crash=%.2f s ago accepting=%d "
            "required=%d on_trial=%s",
            suspect.item.item_id,
            suspect.item.step_id,
            reason.name.lower(),
            suspicion.verdict.value,
            suspicion.crash_count,
            since_s,
            size.accepting,
            size.required,
            ",".join(
                sorted({f"{t.instance}:{t.kind.name.lower()}" for t in self._running.values()})
            ),
        )


def _end_nothing() -> None:
    """Do nothing; the run was not on trial."""
