"""Finds periods without progress on the item that delayed its step, and their causes."""

from collections.abc import Sequence
from enum import Enum
from typing import Final, NamedTuple

from ._trace import FleetTrace, ItemTrace, StepTrace

MIN_GAP_S: Final = 0.1  # planning and event handling cause shorter pauses


class GapCause(Enum):
    """Why an item made no progress."""

    NEW_RUNNER = "the service changed its runner"
    NO_VERSION = "no engine had the version"
    NO_ENGINE = "no engine or no runner"
    NO_FREE_SLOT = "no engine had a place"
    FAILED_RUN = "a run broke off"
    SCORING = "its score"
    LISTING = "listing and reading"


class Gap(NamedTuple):
    """A period without progress on an item; ``detail`` holds further facts from the logs."""

    item_id: str
    from_s: float
    until_s: float
    cause: GapCause
    detail: str = ""

    @property
    def length_s(self) -> float:
        """Length of the gap in seconds."""
        return self.until_s - self.from_s


def delaying_item(step: StepTrace) -> ItemTrace | None:
    """Return the item that delayed the step, None if it has none.

    This is the unfinished item that started last or, if all are finished, the one
    that finished last.
    """
    if not step.items:
        return None
    unfinished = [item for item in step.items.values() if item.completed_s is None]
    if unfinished:
        return max(unfinished, key=lambda item: item.runs[0].started_s)
    return max(step.items.values(), key=lambda item: item.completed_s or 0.0)


def gaps_of(step: StepTrace, fleet: FleetTrace) -> Sequence[Gap]:
    """Return the gaps of the item that delayed the step, in chronological order."""
    item = delaying_item(step)
    if step.accepted_s is None:
        return []
    if item is None:
        if step.ended_s is None:
            return []
        cause = _classify_gap(step.accepted_s, step.ended_s, step, fleet, run_failed=False)
        return [Gap("", step.accepted_s, step.ended_s, cause, "nothing started")]
    gaps: list[Gap] = []
    idle_since_s: float | None = step.accepted_s
    detail = ""
    for run in item.runs:
        if idle_since_s is not None:
            cause = _classify_gap(idle_since_s, run.started_s, step, fleet, run_failed=bool(detail))
            gaps.append(Gap(item.item_id, idle_since_s, run.started_s, cause, detail))
        idle_since_s, detail = run.ended_s, f"{run.target} {run.reason}"
    if item.completed_s is not None and idle_since_s is not None:
        gaps.append(Gap(item.item_id, idle_since_s, item.completed_s, GapCause.SCORING))
    if item.completed_s is not None and step.ended_s is not None:
        store_detail = (
            "store lost" if _any_within(fleet.store_lost_s, item.completed_s, step.ended_s) else ""
        )
        gaps.append(
            Gap(item.item_id, item.completed_s, step.ended_s, GapCause.LISTING, store_detail)
        )
    return [gap for gap in gaps if gap.length_s >= MIN_GAP_S]


def _classify_gap(
    from_s: float, until_s: float, step: StepTrace, fleet: FleetTrace, *, run_failed: bool
) -> GapCause:
    """Return why no run was active; ``run_failed`` means that a previous run had failed."""
    if _any_within(fleet.runner_changes_s, from_s, until_s):
        return GapCause.NEW_RUNNER
    if run_failed:
        return GapCause.FAILED_RUN
    starts_s = [item.runs[0].started_s for item in step.items.values() if item.runs]
    if any(started_s < until_s - MIN_GAP_S for started_s in starts_s):
        return GapCause.NO_FREE_SLOT
    if _any_within(fleet.accepted_orders_s, from_s, until_s):
        return GapCause.NO_VERSION
    return GapCause.NO_ENGINE


def _any_within(times_s: Sequence[float], from_s: float, until_s: float) -> bool:
    return any(from_s <= time_s <= until_s for time_s in times_s)
