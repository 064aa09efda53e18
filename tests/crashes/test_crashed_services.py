"""Targets that services have left, and when crashed ones are expected back."""

from collections.abc import Sequence

import pytest

from samphirecleat.crashes import TargetStart
from samphirecleat.crashes._crashed_services import CRASHED_TARGET_COUNTS_S, CrashedServices


class FakeView:
    """A service ``svc`` whose targets are named by their address; ``starts`` counts restarts."""

    def __init__(self, count: int) -> None:
        self.starts = {f"t{number}": 1 for number in range(count)}
        self.failed: set[str] = set()

    def service_of(self, start_name: str) -> tuple[str, TargetStart] | None:
        found = (("svc", s) for s in self.accepting("svc") if s.name == start_name)
        return next(found, None)

    def accepting(self, service: str) -> Sequence[TargetStart]:
        assert service == "svc"
        return [TargetStart(f"{a}-{n}", a, n) for a, n in self.starts.items()]

    def has_failed(self, start: TargetStart, now_s: float) -> bool:
        del now_s
        return start.address in self.failed


def name_of(view: FakeView, address: str) -> str:
    return next(s.name for s in view.accepting("svc") if s.address == address)


@pytest.mark.parametrize(
    ("count", "crashed", "may_send"),
    [(1, 0, True), (1, 1, False), (2, 1, False), (3, 1, False), (4, 1, True), (4, 2, False)],
)
def test_suspect_needs_other_targets(count: int, crashed: int, may_send: bool) -> None:
    """Guards against a suspect that is sent to one of the last targets of its service."""
    view = FakeView(count)
    services = CrashedServices(view)
    for number in range(crashed):
        services.record_crash(name_of(view, f"t{number}"), 0.0)
    size = services.size("svc", 1.0)
    assert (size.can_lose_one, size.total) == (may_send, count)


def test_crashed_target_counts_for_ten_seconds_or_until_its_restart() -> None:
    """Guards against a service that waits for ever for a target that doesn't come back."""
    view = FakeView(3)
    services = CrashedServices(view)
    services.record_crash(name_of(view, "t0"), 0.0)
    del view.starts["t0"]
    assert services.size("svc", CRASHED_TARGET_COUNTS_S - 0.1)[:] == (2, 3)
    assert services.size("svc", CRASHED_TARGET_COUNTS_S)[:] == (2, 2)
    view.starts["t0"] = 2
    assert services.size("svc", CRASHED_TARGET_COUNTS_S)[:] == (3, 3)
    view.failed.add("t1")
    assert services.size("svc", CRASHED_TARGET_COUNTS_S)[:] == (2, 3)


def test_earliest_restart_follows_from_earlier_restarts() -> None:
    """Guards against calls held for a target that can't be back before their deadline."""
    view = FakeView(3)
    services = CrashedServices(view)
    services.record_crash(name_of(view, "t0"), 1.0)
    assert services.earliest_restart_s("svc", 2.0) == 2.0
    view.starts["t0"] = 2
    services.refresh(4.0)
    services.record_crash(name_of(view, "t1"), 5.0)
    assert services.earliest_restart_s("svc", 5.0) == pytest.approx(5.0 + 0.8 * 3.0)
    assert services.earliest_restart_s("svc", 9.0) == 9.0
