"""One node's part of the fleet report."""

from collections.abc import Collection, Mapping, Sequence
from typing import Any, Final

from ..blackboard import Blackboard
from ..controllers.steps import StepRegistry
from ..controllers.targets import TargetWatch
from ..controllers.weights import WeightCoordinator
from ..observe import Observer

MAX_NODES_FOR_FULL_REPORTS: Final = 16


def build_node_report(
    board: Blackboard,
    observer: Observer,
    registry: StepRegistry,
    weights: WeightCoordinator,
    watch: TargetWatch,
    now_s: float,
) -> Mapping[str, Any]:
    """Return the JSON-serializable report of one node for operators."""
    return {
        "incarnation": board.identity.incarnation,
        "zone": board.identity.zone,
        "leaving": board.leaving,
        "revision": board.config.revision,
        "members": sorted(member.node_id for member in board.live_members()),
        "targets": {a: board.targets[a]._asdict() for a in _reported_targets(board, watch)},
        "metrics": observer.metrics()._asdict(),
        "refusals": dict(board.refusals),
        "steps": _report_steps(registry),
        "trainers": registry.trainers_report(now_s),
        "weights": weights.report(),
    }


def _reported_targets(board: Blackboard, watch: TargetWatch) -> Collection[str]:
    """Return the addresses of the targets in this node's part of the report.

    In a fleet of at most :data:`MAX_NODES_FOR_FULL_REPORTS` nodes, each node reports all
    targets that it knows. In a larger one that would add up to hundreds of megabytes, so
    each node reports only the targets that it polls itself.
    """
    if len(board.live_members()) <= MAX_NODES_FOR_FULL_REPORTS:
        return list(board.targets)
    return [address for address in watch.owned() if address in board.targets]


def _report_steps(registry: StepRegistry) -> Sequence[Mapping[str, Any]]:
    return [
        {
            "trainer": trainer,
            "step": step_id,
            "size": step.spec.size,
            "held": len(step.held),
            "ready": len(step.ready),
            "running": len(step.runs),
            "copies": step.copies,
            "wasted_tokens": step.wasted_tokens,
            "discarded_stale": step.discarded_stale,
        }
        for (trainer, step_id), step in registry.steps.items()
    ]
