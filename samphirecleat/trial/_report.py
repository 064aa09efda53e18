"""The report of a trial: verdicts, measures and events."""

import json
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from tabulate import tabulate

from ._journal import FaultEvent
from ._verdict import Verdict


class TrialReport(NamedTuple):
    """The result of a trial; it passed if :attr:`failed` is empty."""

    promises: Mapping[str, Verdict]
    measures: Mapping[str, float]
    faults: Sequence[FaultEvent]

    @property
    def broken(self) -> Sequence[str]:
        """Promises with at least one violation."""
        return [name for name, verdict in self.promises.items() if verdict.broken]

    @property
    def unchecked(self) -> Sequence[str]:
        """Promises without a single check, which therefore cannot pass."""
        return [name for name, verdict in self.promises.items() if not verdict.checked]

    @property
    def failed(self) -> Sequence[str]:
        """Promises that were broken or not checked."""
        return [*self.broken, *self.unchecked]

    def to_json(self) -> Mapping[str, Any]:
        """Return the report in the format of the JSON file."""
        return {
            "promises": {name: verdict.broken for name, verdict in self.promises.items()},
            "measures": dict(self.measures),
            "checked": {name: verdict.checked for name, verdict in self.promises.items()},
            "faults": list(self.faults),
        }


def print_report(report: TrialReport) -> None:
    """Print tables of verdicts and measures, with examples of violations."""
    rows = [
        (name, verdict.broken, verdict.checked, _describe(verdict))
        for name, verdict in report.promises.items()
    ]
    print(tabulate(rows, headers=["promise", "broken", "checked", ""]))
    for name in report.broken:
        for example in report.promises[name].examples:
            print(f"{name}: {example}")
    print()
    print(tabulate(report.measures.items(), headers=["measure", "value"], floatfmt=".4g"))


def write_report(report: TrialReport, path: str) -> None:
    """Write the report to a JSON file."""
    Path(path).write_text(json.dumps(report.to_json(), indent=2) + "\n")


def _describe(verdict: Verdict) -> str:
    if verdict.broken:
        return "BROKEN"
    return "held" if verdict.checked else "NOT CHECKED"
