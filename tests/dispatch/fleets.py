"""Members and targets of the fleets that the tests of ownership use."""

from samphirecleat.blackboard import Member
from samphirecleat.serving import EngineSpec, ServiceSpec, Target

SERVICES = {
    "plain": ServiceSpec("plain", "/health", 99),
    "engine": ServiceSpec("engine", "/health", 99, EngineSpec(8, 1000, ("m",))),
}


def member(number: int, **changes: object) -> Member:
    """Return the row of a ready node."""
    node_id = f"n{number}"
    address = f"127.0.0.{number + 1}:1"
    base = Member(
        node_id, f"i{number}", 0, f"z{number % 3}", "a:1", address, 1, False, True, 1, 0, 0
    )
    return base._replace(**changes)  # type: ignore[arg-type]


def members(count: int, **changes: object) -> list[Member]:
    """Return the rows of ready nodes."""
    return [member(number, **changes) for number in range(count)]


def targets(count: int, service: str = "plain", slots: int = 6) -> dict[str, Target]:
    """Return the targets of a service."""
    names = [f"{service}-{number}" for number in range(count)]
    return {name: Target(name, service, "a:1", "z", slots, False) for name in names}
