"""The times in which an item that held up its step stood still, each with its cause."""

from collections.abc import Sequence
from enum import Enum
from typing import Final, NamedTuple

from ._trace import FleetTrace, ItemTrace, StepTrace

# Shorter ones are the normal pauses of planning and of an event.
LEAST_GAP_S: Final = 0.1


class GapCause(Enum):
    """Why an item stood still."""

    NEW_RUNNER = "the service changed its runner"
    NO_VERSION = "no engine had the version"
    NO_ENGINE = "no engine or no runner"
    NO_SLOT = "no engine had a place"
    BROKEN_RUN = "a run broke off"
    SCORE = "its score"
    LISTING = "listing and reading"


class Gap(NamedTuple):
    """From ``from_s`` to ``until_s`` an item made nothing; ``detail`` says what the logs add."""

    item_id: str
    from_s: float
    until_s: float
    cause: GapCause
    detail: str = ""

    @property
    def length_s(self) -> float:
        """How long the item stood still."""
        return self.until_s - self.from_s


def last_item(step: StepTrace) -> ItemTrace | None:
    """Return the item that held the step up: one without a result, or the last to have one."""
    if not step.items:
        return None
    unfinished = [item for item in step.items.values() if item.completed_s is None]
    if unfinished:
        return max(unfinished, key=lambda item: item.runs[0].started_s)
    return max(step.items.values(), key=lambda item: item.completed_s or 0.0)


def gaps_of(step: StepTrace, fleet: FleetTrace) -> Sequence[Gap]:
    """Return the gaps of the item that held the step up, in order."""
    item = last_item(step)
    if step.accepted_s is None:
        return []
    if item is None:
        if step.ended_s is None:
            return []
        cause = _cause(step.accepted_s, step.ended_s, step, fleet, broken=False)
        return [Gap("", step.accepted_s, step.ended_s, cause, "nothing started")]
    gaps: list[Gap] = []
    stood_since_s: float | None = step.accepted_s
    detail = ""
    for run in item.runs:
        if stood_since_s is not None:
            cause = _cause(stood_since_s, run.started_s, step, fleet, broken=bool(detail))
            gaps.append(Gap(item.item_id, stood_since_s, run.started_s, cause, detail))
        stood_since_s, detail = run.ended_s, f"{run.target} {run.reason}"
    if item.completed_s is not None and stood_since_s is not None:
        gaps.append(Gap(item.item_id, stood_since_s, item.completed_s, GapCause.SCORE))
    if item.completed_s is not None and step.ended_s is not None:
        store = (
            "store lost" if _any_within(fleet.store_lost_s, item.completed_s, step.ended_s) else ""
        )
        gaps.append(Gap(item.item_id, item.completed_s, step.ended_s, GapCause.LISTING, store))
    return [gap for gap in gaps if gap.length_s >= LEAST_GAP_S]


def _cause(
    from_s: float, until_s: float, step: StepTrace, fleet: FleetTrace, *, broken: bool
) -> GapCause:
    """Return why no run was under way; ``broken`` says that one had been."""
    if _any_within(fleet.taken_s, from_s, until_s):
        return GapCause.NEW_RUNNER
    if broken:
        return GapCause.BROKEN_RUN
    starts_s = [item.runs[0].started_s for item in step.items.values() if item.runs]
    if any(started_s < until_s - LEAST_GAP_S for started_s in starts_s):
        return GapCause.NO_SLOT
    if _any_within(fleet.orders_s, from_s, until_s):
        return GapCause.NO_VERSION
    return GapCause.NO_ENGINE


def _any_within(times_s: Sequence[float], from_s: float, until_s: float) -> bool:
    return any(from_s <= time_s <= until_s for time_s in times_s)
