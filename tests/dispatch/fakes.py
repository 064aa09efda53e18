"""Registrations of targets for the tests of the queues."""

from samphirecleat.dispatch import ServiceLine
from samphirecleat.serving import Target


def target(name: str, slots: int = 6) -> Target:
    return Target(name, "svc", f"{name}:1", "z", slots, False)


def make_line(*targets: Target) -> ServiceLine:
    line = ServiceLine(lambda _target, _now_s: 0.0, lambda _target: False)
    line.set_targets(targets)
    return line
