"""Draws the charts of docs/MEASUREMENTS.md from the JSON results of benches.

Run from the repository root after writing the result of each bench::

    python -m samphirecleat bench weights --json > docs/measurements/weights.json
    python -m tools.plots docs/measurements

Needs the ``plots`` extra.
"""

import json
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final

import matplotlib as mpl

mpl.use("Agg")
from matplotlib import pyplot as plt

BAR_CHARTS: Final = {
    "routing": ("first_p50", "first_p99", "whole_p50", "whole_p99"),
    "limits": ("high_in_time", "low_in_time", "lowest_share", "goodput_2x"),
    "recovery": ("gap_s", "step_s"),
    "overhead": ("ms_p50", "ms_p99"),
}
WEIGHTS_X: Final = "trainer_idle_ratio"
WEIGHTS_Y: Final = "staleness_versions"


def main(directory: str) -> None:
    """Write a PNG chart next to each bench result in ``directory`` that is plotted."""
    folder = Path(directory)
    for name, figures in BAR_CHARTS.items():
        path = folder / f"{name}.json"
        if path.exists():
            draw_bars(json.loads(path.read_text()), figures, folder / f"{name}.png")
    weights = folder / "weights.json"
    if weights.exists():
        draw_tradeoff(json.loads(weights.read_text()), folder / "weights.png")


def draw_bars(result: dict[str, Any], figures: Sequence[str], path: Path) -> None:
    """Draw a group of bars per figure with one bar per variant."""
    axes = plt.figure(figsize=(8, 3.5)).add_subplot()
    rows = result["rows"]
    width = 0.8 / len(rows)
    for number, row in enumerate(rows):
        positions = [index + number * width for index in range(len(figures))]
        axes.bar(positions, [row["figures"][name] for name in figures], width, label=row["variant"])
    axes.set_xticks([index + 0.4 - width / 2 for index in range(len(figures))], figures)
    axes.set_title(f"bench {result['name']}, seed {result['seed']}")
    axes.legend(fontsize="small")
    _save(path)


def draw_tradeoff(result: dict[str, Any], path: Path) -> None:
    """Plot mean staleness against trainer idle ratio, one point per variant."""
    axes = plt.figure(figsize=(6, 4)).add_subplot()
    for row in result["rows"]:
        x, y = row["figures"][WEIGHTS_X], row["figures"][WEIGHTS_Y]
        axes.scatter([x], [y])
        axes.annotate(row["variant"], (x, y), fontsize="small")
    axes.set_xlabel("trainer idle ratio")
    axes.set_ylabel("mean staleness of samples in versions")
    axes.set_title(f"bench weights, seed {result['seed']}")
    _save(path)


def _save(path: Path) -> None:
    plt.tight_layout()
    plt.savefig(path, dpi=80)
    plt.close()


if __name__ == "__main__":
    main(sys.argv[1])
