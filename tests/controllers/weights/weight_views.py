"""Builders of a service and an engine for the weight tests."""

from samphirecleat.blackboard import TargetView
from samphirecleat.config import Service, ServiceKind

LATEST = 5


def service(weight: float = 1.0, share: float = 0.5, bound: int = 1) -> Service:
    return Service(
        "asesor", ServiceKind.ENGINE, (), (), {}, 8, True, True, bound, weight, share, 0.7
    )


def engine(name: str, version: int = LATEST - 1, **changes: object) -> TargetView:
    target = TargetView(name, "asesor", "z", f"{name}-1", version, slots=8, reachable=True)
    return target._replace(**{"reported_at_s": 100.0, **changes})
