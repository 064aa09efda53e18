"""Decides which items that may crash engines run now in a small service, and at which engine.

An engine that crashes takes a dozen runs down, of which one at most was the cause, and in a small
service one more crash may end it. So those items are tried at one engine at a time: whatever is
wrong with one of them, no second engine is lost to it. Yet nearly all of them are innocent, and
their step waits. Therefore they are tried together, and none waits for more than a few seconds.

Pure: performs no I/O and uses no clock. What it decides follows from reports that all nodes have,
so that a node that takes the service over decides the same.
"""

import math
from collections.abc import Mapping, Sequence
from enum import IntEnum
from typing import Final, NamedTuple

from ..crashes import MIN_CRASHES_TO_REFUSE, OWED_BACKOFF_S, CrashVerdict, ServiceSize, Suspicion
from ._engine_ranking import EngineView, PendingItem
from ._item_decisions import ItemName

# A run is on trial for as long as the shortest of the item's runs that ended in a crash, within
# these bounds, and a margin for the latency of reports.
MIN_TRIAL_S: Final = 0.1
MAX_TRIAL_S: Final = 1.0
TRIAL_MARGIN_S: Final = 0.1
# An item whose engine crashed this soon after the item's start is likely to be the cause.
QUICK_CRASH_S: Final = 0.2
# How long items wait for a crashed engine to come back, if fewer accept work than are needed to
# lose one. They wait longer if the next crash may be the last one, or if they are likely causes.
WAIT_FOR_ENGINES_S: Final = 1.5
LONG_WAIT_FOR_ENGINES_S: Final = 3.0
# An item that was at no engine for this long after the crash runs anywhere. An item of a step
# should not be at no engine for 5 s; the rest is for its start.
MAX_WAIT_S: Final = 4.0
# Items that were at more crashes than this are tried alone.
MAX_CRASHES_IN_GROUP: Final = 2


class SuspectKind(IntEnum):
    """How much speaks against an item; items of different kinds are not on trial together.

    An item is LIKELY to be the cause if it was at several crashes, or had only just started.
    """

    UNLIKELY = 1
    LIKELY = 2
    REFUSED = 3


class WaitReason(IntEnum):
    """Why an item waits."""

    SETTLING = 1
    BACKOFF = 2
    FEW_ENGINES = 3
    OTHER_TRIAL = 4
    NO_SLOT = 5


class WaitingSuspect(NamedTuple):
    """An item that waits for a slot, and what speaks against it."""

    item: PendingItem
    suspicion: Suspicion

    @property
    def name(self) -> ItemName:
        """The IDs of the step and the item."""
        return self.item.step_id, self.item.item_id


class Trial(NamedTuple):
    """A run on trial at an engine."""

    instance: str
    kind: SuspectKind
    trial_s: float


class TrialDecision(NamedTuple):
    """The items that may start, all at ``instance``, and why each of the others waits."""

    instance: str
    items: Sequence[PendingItem]
    waiting: Mapping[ItemName, WaitReason]


def kind_of(suspicion: Suspicion) -> SuspectKind:
    """Return how much speaks against an item."""
    if suspicion.verdict is CrashVerdict.REFUSED:
        return SuspectKind.REFUSED
    is_likely = suspicion.crash_count > 1 or suspicion.crash_delay_s <= QUICK_CRASH_S
    return SuspectKind.LIKELY if is_likely else SuspectKind.UNLIKELY


def trial_s(suspicion: Suspicion) -> float:
    """Return how long a run of the item is on trial, in seconds."""
    return min(MAX_TRIAL_S, max(MIN_TRIAL_S, suspicion.crash_delay_s)) + TRIAL_MARGIN_S


def is_restricted(suspicion: Suspicion, size: ServiceSize, now_s: float) -> bool:
    """Return whether an item may run only as :func:`choose_trial` decides."""
    if suspicion.verdict is CrashVerdict.CLEAR or size.is_large:
        return False
    if suspicion.verdict is not CrashVerdict.SUSPECT or _needs_others(suspicion, size):
        return True
    return now_s - suspicion.last_crash_s < MAX_WAIT_S


def _needs_others(suspicion: Suspicion, size: ServiceSize) -> bool:
    """Return whether the service can't afford an item that crashed its engines alike.

    An item that merely ran beside the cause was at a different point of its run each time.
    """
    is_alike = suspicion.crash_count > 1 and suspicion.delay_spread_s <= TRIAL_MARGIN_S
    return is_alike and not size.can_lose_one


def choose_trial(
    waiting: Sequence[WaitingSuspect],
    running: Sequence[Trial],
    size: ServiceSize,
    engines: Sequence[EngineView],
    now_s: float,
) -> TrialDecision:
    """Return which of the ``waiting`` items start now; ``running`` are on trial already.

    Of the items that may start, those whose crash is the longest ago decide the kind. Unlikely
    causes start together, as many as the engine has slots for. Likely ones start alone if there is
    time for that, else in groups; those that crashed their engines alike come last. A refused item
    starts alone.
    """
    reasons = {suspect.name: _reason_to_wait(suspect, size, now_s) for suspect in waiting}
    ready = [suspect for suspect in waiting if reasons[suspect.name] is None]
    if running:
        kind, instance = running[0].kind, running[0].instance
    elif ready:
        # The oldest decides, unless no engine can take it: the others must not wait for that.
        by_age = sorted(ready, key=lambda suspect: suspect.suspicion.last_crash_s)
        found = ((suspect, _trial_engine(suspect.item, engines)) for suspect in by_age)
        first, instance = next(((s, e) for s, e in found if e), (by_age[0], ""))
        kind = kind_of(first.suspicion)
    else:
        return TrialDecision("", (), {name: r for name, r in reasons.items() if r is not None})
    candidates = sorted(
        (suspect for suspect in ready if kind_of(suspect.suspicion) is kind),
        key=lambda s: (s.suspicion.crash_count, -s.suspicion.delay_spread_s),
    )
    room = _room(kind, candidates, running, now_s) if instance else 0
    chosen = {suspect.name for suspect in candidates[:room]}
    for suspect in ready:
        if suspect.name not in chosen:
            reasons[suspect.name] = WaitReason.OTHER_TRIAL if instance else WaitReason.NO_SLOT
    return TrialDecision(
        instance,
        [suspect.item for suspect in candidates if suspect.name in chosen],
        {name: reason for name, reason in reasons.items() if reason is not None},
    )


def _reason_to_wait(suspect: WaitingSuspect, size: ServiceSize, now_s: float) -> WaitReason | None:
    """Return why an item may not be on trial now, whatever else is, or None if it may."""
    suspicion = suspect.suspicion
    if suspicion.verdict is CrashVerdict.HELD:
        return WaitReason.SETTLING
    since_s = now_s - suspicion.last_crash_s
    if suspicion.crash_count >= MIN_CRASHES_TO_REFUSE and since_s < OWED_BACKOFF_S:
        return WaitReason.BACKOFF
    if size.can_lose_one:
        return None
    kind = kind_of(suspicion)
    if size.accepting == 0 or kind is SuspectKind.REFUSED or _needs_others(suspicion, size):
        return WaitReason.FEW_ENGINES
    is_patient = size.accepting == 1 or kind is SuspectKind.LIKELY
    wait_s = LONG_WAIT_FOR_ENGINES_S if is_patient else WAIT_FOR_ENGINES_S
    return None if since_s >= wait_s else WaitReason.FEW_ENGINES


def _trial_engine(item: PendingItem, engines: Sequence[EngineView]) -> str:
    """Return the engine with the fewest runs that could take the item, "" if there is none."""
    fitting = [
        engine
        for engine in engines
        if engine.accepts
        and engine.running < engine.slots
        and engine.versions.get(item.model, -1) >= item.min_version
    ]
    best = min(fitting, key=lambda engine: (engine.running, engine.slowness), default=None)
    return best.instance if best is not None else ""


def _room(
    kind: SuspectKind,
    candidates: Sequence[WaitingSuspect],
    running: Sequence[Trial],
    now_s: float,
) -> int:
    """Return how many more items of a kind may be on trial beside those that are."""
    match kind:
        case SuspectKind.UNLIKELY:
            return len(candidates)
        case SuspectKind.REFUSED:
            return max(0, 1 - len(running))
    if not candidates:
        return 0
    alike = [s for s in candidates if s.suspicion.crash_count <= MAX_CRASHES_IN_GROUP]
    if not alike:
        return max(0, 1 - len(running))
    # One after the other, if all of them can be tried before the first must run anyway.
    needed_s = sum(trial_s(suspect.suspicion) for suspect in alike)
    oldest_s = min(suspect.suspicion.last_crash_s for suspect in alike)
    left_s = max(MIN_TRIAL_S + TRIAL_MARGIN_S, oldest_s + MAX_WAIT_S - now_s)
    return max(0, min(len(alike), math.ceil(needed_s / left_s)) - len(running))
