"""Formats the fleet report as text tables."""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any

from tabulate import tabulate

Row = Sequence[object]
NodeReports = Mapping[str, Mapping[str, Any]]


def report_tables(body: Mapping[str, Any]) -> str:
    """Return the body of ``GET /v1/report`` as tables, without the empty ones."""
    nodes: NodeReports = body["nodes"]
    answered = {name: report for name, report in nodes.items() if "unavailable" not in report}
    tables = [
        _table("node", "zone revision members leaving", _node_rows(nodes)),
        _table("target", "service zone version health running waiting", _target_rows(answered)),
        _table("trainer", "step node size held ready running stale", _step_rows(answered)),
        _table("trainer", "node idle_ratio staleness_versions", _trainer_rows(answered)),
        _table("refusal", "count", _refusal_rows(answered)),
    ]
    return "\n\n".join(table for table in tables if table)


def _table(first_header: str, other_headers: str, rows: Sequence[Row]) -> str:
    return tabulate(rows, headers=[first_header, *other_headers.split()]) if rows else ""


def _node_rows(nodes: NodeReports) -> Sequence[Row]:
    rows: list[Row] = []
    for name, report in sorted(nodes.items()):
        if "unavailable" in report:
            rows.append((name, "", "", "", f"no answer: {report['unavailable']}"))
            continue
        leaving = "leaving" if report["leaving"] else ""
        rows.append((name, report["zone"], report["revision"], len(report["members"]), leaving))
    return rows


def _target_rows(nodes: NodeReports) -> Sequence[Row]:
    """Return one row per target, preferring reports of nodes that can reach it."""
    target_reports: dict[str, Mapping[str, Any]] = {}
    for report in nodes.values():
        for address, target in report["targets"].items():
            known = target_reports.get(address)
            if known is None or (target["reachable"] and not known["reachable"]):
                target_reports[address] = target
    rows = [
        (
            address,
            target["service"],
            target["zone"],
            target["version"] if target["version"] >= 0 else "",
            _health(target),
            target["running"],
            target["waiting"],
        )
        for address, target in target_reports.items()
    ]
    return sorted(rows, key=lambda row: (str(row[1]), str(row[0])))


def _health(target: Mapping[str, Any]) -> str:
    if not target["reachable"]:
        return "unreachable"
    if target["leaving"]:
        return "leaving"
    return "loading" if target["loading"] else "serving"


def _step_rows(nodes: NodeReports) -> Sequence[Row]:
    return [
        (
            step["trainer"],
            step["step"],
            name,
            step["size"],
            step["held"],
            step["ready"],
            step.get("running", ""),
            step["discarded_stale"],
        )
        for name, report in sorted(nodes.items())
        for step in report["steps"]
    ]


def _trainer_rows(nodes: NodeReports) -> Sequence[Row]:
    return [
        (
            trainer,
            name,
            stats.get("idle_ratio", ""),
            _format_counts(stats.get("staleness_versions", {})),
        )
        for name, report in sorted(nodes.items())
        for trainer, stats in sorted(report.get("trainers", {}).items())
    ]


def _format_counts(counts: Mapping[str, int]) -> str:
    return ", ".join(f"{key}: {count}" for key, count in counts.items())


def _refusal_rows(nodes: NodeReports) -> Sequence[Row]:
    totals: Counter[str] = Counter()
    for report in nodes.values():
        totals.update(report["refusals"])
    return sorted(totals.items())
