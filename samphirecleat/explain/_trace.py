"""Reconstructs steps and their items from log lines."""

import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

from ._lines import LogLine


@dataclass
class RunTrace:
    """One run of an item; ``reason`` says why it ended, ``whole`` if it completed."""

    started_s: float
    target: str
    ended_s: float | None = None
    reason: str = ""


@dataclass
class ItemTrace:
    """One item: its runs in order, and when its result was appended to the log."""

    item_id: str
    runs: list[RunTrace] = field(default_factory=list)
    completed_s: float | None = None


@dataclass
class StepTrace:
    """One step; its times are the earliest that any node logged."""

    step_id: str
    accepted_s: float | None = None
    item_count: int = 0
    ended_s: float | None = None
    items: dict[str, ItemTrace] = field(default_factory=dict)


@dataclass
class FleetTrace:
    """All steps, and the times of events that affect every step.

    These are accepted load orders, changes of a service's runner and losses of the
    store.
    """

    steps: dict[str, StepTrace] = field(default_factory=dict)
    accepted_orders_s: list[float] = field(default_factory=list)
    runner_changes_s: list[float] = field(default_factory=list)
    store_lost_s: list[float] = field(default_factory=list)


def trace_steps(lines: Sequence[LogLine]) -> FleetTrace:
    """Build a trace from lines in chronological order."""
    trace = FleetTrace()
    for line in lines:
        for pattern, handle in _HANDLERS:
            match = pattern.search(line.message)
            if match is not None:
                handle(trace, line.time_s, match)
                break
    return trace


def _get_step(trace: FleetTrace, step_id: str) -> StepTrace:
    return trace.steps.setdefault(step_id, StepTrace(step_id))


def _on_step_accepted(trace: FleetTrace, time_s: float, match: re.Match[str]) -> None:
    step = _get_step(trace, match["step"])
    if step.accepted_s is None:
        step.accepted_s = time_s
        step.item_count = int(match["items"])


def _on_step_ended(trace: FleetTrace, time_s: float, match: re.Match[str]) -> None:
    step = _get_step(trace, match["step"])
    if step.ended_s is None:
        step.ended_s = time_s


def _on_run_started(trace: FleetTrace, time_s: float, match: re.Match[str]) -> None:
    items = _get_step(trace, match["step"]).items
    item = items.setdefault(match["item"], ItemTrace(match["item"]))
    item.runs.append(RunTrace(time_s, match["target"]))


def _end_run(trace: FleetTrace, time_s: float, item_id: str, reason: str) -> None:
    """Record the end of an item's open run.

    An item that belongs to several steps has at most one open run.
    """
    for step in reversed(trace.steps.values()):
        item = step.items.get(item_id)
        if item is not None and item.runs and item.runs[-1].ended_s is None:
            item.runs[-1].ended_s = time_s
            item.runs[-1].reason = reason
            return


def _on_run_failed(trace: FleetTrace, time_s: float, match: re.Match[str]) -> None:
    _end_run(trace, time_s, match["item"], match["reason"])


def _on_run_completed(trace: FleetTrace, time_s: float, match: re.Match[str]) -> None:
    _end_run(trace, time_s, match["item"], "whole")


def _on_item_completed(trace: FleetTrace, time_s: float, match: re.Match[str]) -> None:
    items = _get_step(trace, match["step"]).items
    item = items.setdefault(match["item"], ItemTrace(match["item"]))
    if item.completed_s is None:
        item.completed_s = time_s


def _on_order_accepted(trace: FleetTrace, time_s: float, _match: re.Match[str]) -> None:
    trace.accepted_orders_s.append(time_s)


def _on_runner_changed(trace: FleetTrace, time_s: float, _match: re.Match[str]) -> None:
    trace.runner_changes_s.append(time_s)


def _on_store_lost(trace: FleetTrace, time_s: float, _match: re.Match[str]) -> None:
    trace.store_lost_s.append(time_s)


_Handler = Callable[[FleetTrace, float, re.Match[str]], None]
_HANDLERS: Final[Sequence[tuple[re.Pattern[str], _Handler]]] = [
    (
        re.compile(
            r"^\[runner\] item=(?P<item>\S+) step=(?P<step>\S+) target=(?P<target>\S+) from"
        ),
        _on_run_started,
    ),
    (re.compile(r"^\[runner\] item=(?P<item>\S+) whole events="), _on_run_completed),
    (
        re.compile(r"^\[runner\] item=(?P<item>\S+) step=(?P<step>\S+) completed="),
        _on_item_completed,
    ),
    (re.compile(r"^\[runner\] item=(?P<item>\S+) .*ended=(?P<reason>\S+)"), _on_run_failed),
    (re.compile(r"^\[runner\] item=(?P<item>\S+) run (?P<reason>cancelled)"), _on_run_failed),
    (
        re.compile(r"^\[steps\] step=(?P<step>\S+) number=\d+ items=(?P<items>\d+) .*new=True"),
        _on_step_accepted,
    ),
    (re.compile(r"^\[steps\] step=(?P<step>\S+) ended .*new=True"), _on_step_ended),
    (re.compile(r"^\[orders\] .*outcome=accepted"), _on_order_accepted),
    # Duties other than running a service have a prefix, and delay no step.
    (re.compile(r"^\[duty\] subject=(?!duty:)\S+ taken"), _on_runner_changed),
    (re.compile(r"^\[store\] direct=lost"), _on_store_lost),
]
