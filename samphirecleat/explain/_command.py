"""The ``samphirecleat explain`` command."""

import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from typing import Final

from tabulate import tabulate

from ._barred import BarredCall, trace_barred
from ._gaps import Gap, GapCause, gaps_of
from ._lines import LogReading, read_lines
from ._trace import FleetTrace, StepTrace, trace_steps

EXIT_BAD_INPUT: Final = 2
STANDARD_INPUT: Final = "-"
MAX_LISTED_ENDS: Final = 5


def explain_command(*logs: str) -> None:
    """Print the delays of each step and the requests refused because their targets crashed.

    Reads node logs from files; ``-`` is standard input.

    Exits with code 2 if a file cannot be read or no line comes from a node.
    """
    try:
        reading = read_lines(_open_sources(logs or (STANDARD_INPUT,)))
    except (OSError, UnicodeError) as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    if not reading.lines:
        print("no node log lines found", *reading.faults, sep="\n", file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    print(render(reading))


def render(reading: LogReading) -> str:
    """Return tables of steps, causes and barred requests, followed by the omitted input."""
    fleet = trace_steps(reading.lines)
    log_start_s = reading.lines[0].time_s
    steps = sorted(
        (step for step in fleet.steps.values() if step.accepted_s is not None),
        key=lambda step: step.accepted_s or 0.0,
    )
    by_step = {step.step_id: gaps_of(step, fleet) for step in steps}
    parts = [
        tabulate(
            [_step_row(step, by_step[step.step_id], log_start_s) for step in steps],
            headers=["step", "accepted_s", "items", "whole", "ended_s", "longest gap", "cause"],
            floatfmt=".2f",
        ),
        tabulate(
            _cause_rows(by_step.values()), headers=["cause", "steps", "seconds"], floatfmt=".2f"
        ),
        _barred_table(trace_barred(reading.lines), log_start_s),
        _omissions(reading, fleet),
    ]
    return "\n\n".join(part for part in parts if part)


def _open_sources(logs: Sequence[str]) -> Iterator[tuple[str, Iterable[str]]]:
    for name in logs:
        if name == STANDARD_INPUT:
            yield "standard input", sys.stdin
            continue
        with open(name, encoding="utf-8", errors="replace") as file:
            yield name, file


def _step_row(step: StepTrace, gaps: Sequence[Gap], log_start_s: float) -> Sequence[object]:
    accepted_s = step.accepted_s or 0.0
    completed = sum(item.completed_s is not None for item in step.items.values())
    ended = f"{step.ended_s - accepted_s:.2f}" if step.ended_s is not None else "open"
    longest = max(gaps, key=lambda gap: gap.length_s, default=None)
    longest_columns = (f"{longest.length_s:.2f}", _format_cause(longest)) if longest else ("", "")
    return (
        step.step_id,
        accepted_s - log_start_s,
        step.item_count,
        completed,
        ended,
        *longest_columns,
    )


def _format_cause(gap: Gap) -> str:
    return f"{gap.cause.value} ({gap.detail})" if gap.detail else gap.cause.value


def _cause_rows(gaps_by_step: Iterable[Sequence[Gap]]) -> Sequence[tuple[str, int, float]]:
    steps: dict[GapCause, int] = defaultdict(int)
    seconds: dict[GapCause, float] = defaultdict(float)
    for gaps in gaps_by_step:
        for cause in {gap.cause for gap in gaps}:
            steps[cause] += 1
        for gap in gaps:
            seconds[gap.cause] += gap.length_s
    ordered = sorted(steps, key=lambda cause: seconds[cause], reverse=True)
    return [(cause.value, steps[cause], seconds[cause]) for cause in ordered]


def _barred_table(calls: Sequence[BarredCall], log_start_s: float) -> str:
    """Return a table of the requests that crashed targets and the evidence for it."""
    rows = [
        (
            call.call,
            len(call.ends),
            "; ".join(f"{end.target} by {end.node}" for end in call.ends[:MAX_LISTED_ENDS]),
            f"{call.barred_s - log_start_s:.2f}" if call.barred_s is not None else "no",
            call.held,
            call.refused,
            call.last_request_id,
            f"{call.oldest_evidence_s:.1f}",
            f"{call.cleared_s - log_start_s:.2f}" if call.cleared_s is not None else "",
        )
        for call in calls
    ]
    if not rows:
        return ""
    headers = ["request ends targets", "ends", "first ends, by observing node", "barred_s"]
    headers += ["held", "refused", "last id", "oldest evidence_s", "cleared_s"]
    return tabulate(rows, headers=headers, disable_numparse=True)


def _omissions(reading: LogReading, fleet: FleetTrace) -> str:
    messages = []
    unknown = sum(step.accepted_s is None for step in fleet.steps.values())
    if unknown:
        messages.append(f"{unknown} steps were accepted before these logs begin and are left out.")
    if reading.malformed:
        messages.append(f"{reading.malformed} malformed log lines, the first:")
        messages.extend(f"  {fault}" for fault in reading.faults)
    return "\n".join(messages)
