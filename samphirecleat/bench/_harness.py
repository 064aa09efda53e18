"""Results of benches: rows of figures, and a table with the ratios to the policy."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from statistics import fmean
from typing import Any, NamedTuple

from tabulate import tabulate


class BenchRow(NamedTuple):
    """The figures of one variant; each is the mean over ``repeats`` runs."""

    variant: str
    repeats: int
    figures: Mapping[str, float]


class BenchResult(NamedTuple):
    """The outcome of a bench. The first row is the policy, the others are baselines.

    ``parts`` are results with other figures, each printed as a table of its own.
    """

    name: str
    seed: int
    rows: Sequence[BenchRow]
    note: str = ""
    parts: Sequence["BenchResult"] = ()

    def to_json(self) -> Mapping[str, Any]:
        """Return the result as ``--json`` prints it."""
        return {
            "name": self.name,
            "seed": self.seed,
            "note": self.note,
            "rows": [row._asdict() for row in self.rows],
            "parts": [part.to_json() for part in self.parts],
        }


def average_runs(variant: str, runs: Sequence[Mapping[str, float]]) -> BenchRow:
    """Return the row of a variant: each figure's mean over its runs.

    :raises ValueError: when there is no run.
    """
    if not runs:
        raise ValueError(f'variant "{variant}" has no run')
    figures = {name: fmean(run[name] for run in runs) for name in runs[0]}
    return BenchRow(variant, len(runs), figures)


def fleet_size(row: BenchRow) -> float:
    """Return the number of nodes in a variant's name, which has the form ``name, N nodes``."""
    return float(row.variant.split(", ")[1].split(" ")[0])


async def run_repeats(
    variant: str, run_once: Callable[[int], Awaitable[Mapping[str, float]]], seed: int, repeats: int
) -> BenchRow:
    """Return a variant's row over ``repeats`` runs with consecutive seeds from ``seed`` on."""
    return average_runs(variant, [await run_once(seed + repeat) for repeat in range(repeats)])


def print_result(result: BenchResult) -> None:
    """Print the figures of each variant, with their ratios to the policy's for a baseline."""
    policy = result.rows[0]
    names = list(policy.figures)
    table: list[list[object]] = []
    for row in result.rows:
        table.append([row.variant, row.repeats, *(f"{row.figures[name]:.4g}" for name in names)])
        if row is not policy:
            ratios = [_ratio(row.figures[name], policy.figures[name]) for name in names]
            table.append(["  / policy", "", *ratios])
    print(f"bench {result.name}, seed {result.seed}")
    headers = ["variant", "repeats", *names]
    print(tabulate(table, headers, stralign="right", disable_numparse=True))
    if result.note:
        print(result.note)
    for part in result.parts:
        print_result(part)


def _ratio(value: float, policy: float) -> str:
    return f"x{value / policy:.2f}" if policy else ("x1" if not value else "-")
