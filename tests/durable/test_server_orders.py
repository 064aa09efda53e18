"""Tests of spot target orders: repeated, lost, refused, late, and never on stale data."""

import asyncio
from collections.abc import Callable

import pytest

from samphirecleat.durable import Holder, ScaleOutcome
from samphirecleat.durable._server_orders import ServerOrderer
from samphirecleat.observe import Observer
from samphirecleat.serving import (
    CallerLimits,
    EngineSpec,
    RouteTable,
    RoutingConfig,
    ScalingSpec,
    ServiceSpec,
    Target,
)

from ..fleets import until
from .runner_stage import RunnerStage

SLOTS = 4
PRICES = {"za": 1.0, "zb": 0.8}


class FakePlatform:
    """Accepts orders; ``answers`` scripts the next outcomes, zones in ``exhausted`` have none."""

    def __init__(self) -> None:
        self.spot: dict[str, int] = {}
        self.calls: list[tuple[str, int]] = []
        self.answers: list[ScaleOutcome] = []
        self.exhausted: set[str] = set()

    async def order_spot(
        self, service: str, zone: str, count: int, holder: Holder, timeout_s: float
    ) -> ScaleOutcome:
        del service, holder, timeout_s
        self.calls.append((zone, count))
        answer = self.answers.pop(0) if self.answers else ScaleOutcome.TAKEN
        if zone in self.exhausted:
            answer = ScaleOutcome.NONE_OR_FENCED
        if answer is ScaleOutcome.TAKEN:
            self.spot[zone] = count
        return answer


class Stage:
    """A service with two ordinary engines in each of two zones, and a wave of items."""

    def __init__(self, items: int) -> None:
        self.items = items
        self.sees_targets = True
        self.may_act = True
        self.platform = FakePlatform()
        inner = RunnerStage([], SLOTS)
        self.routes, self.targets = RouteTable(), inner.targets
        spec = ServiceSpec(
            "svc", "", 9, EngineSpec(SLOTS, 1 << 30, ["m"]), ScalingSpec(1, 9, 0.0, PRICES, 0.15)
        )
        self.routes.put(RoutingConfig(1, (), {"svc": spec}, CallerLimits()))
        self.register_targets(spot={})
        inner.work.items_to_generate = lambda: self.items  # type: ignore[method-assign]
        self.orderer = ServerOrderer(
            inner.work,
            self.routes,
            self.targets,
            self.platform,
            Holder("n1", 7, 0.0, lambda _s: self.may_act),
            Observer("n1"),
            lambda: self.sees_targets,
        )

    def register_targets(self, spot: dict[str, int]) -> None:
        """Register two ordinary engines in each zone, and spot ones by zone."""
        rows = [(f"{zone}{n}", zone, False) for zone in PRICES for n in range(2)]
        rows += [(f"s{zone}{n}", zone, True) for zone, count in spot.items() for n in range(count)]
        self.targets.replace(
            {
                name: Target(name, "svc", "127.0.0.1:1", zone, SLOTS, False, spot=is_spot)
                for name, zone, is_spot in rows
            }
        )

    def run_until(self, condition: Callable[[], bool], then_s: float = 0.1) -> None:
        async def body() -> None:
            task = asyncio.ensure_future(self.orderer.run())
            await until(condition)
            await asyncio.sleep(then_s)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        asyncio.run(body())


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("samphirecleat.durable._server_orders.EXHAUSTED_ZONE_BACKOFF_S", 0.1)
    for name in ("CHECK_INTERVAL_S", "UNKNOWN_OUTCOME_BACKOFF_S", "REGISTRATION_DELAY_S"):
        monkeypatch.setattr(f"samphirecleat.durable._server_orders.{name}", 0.02)


def test_targets_are_ordered_for_a_wave_and_kept_after_it() -> None:
    """Guards against targets released between two waves, which boot too late for the next."""
    stage = Stage(items=20)
    stage.run_until(lambda: sum(stage.platform.spot.values()) == 3, 0.0)
    stage.items = 0
    stage.register_targets(spot=stage.platform.spot)
    calls = len(stage.platform.calls)
    stage.run_until(lambda: True, 0.2)
    assert len(stage.platform.calls) == calls


def test_targets_are_released_when_the_peak_has_passed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("samphirecleat.durable._server_orders.PEAK_WINDOW_S", 0.1)
    stage = Stage(items=20)
    stage.run_until(lambda: sum(stage.platform.spot.values()) == 3)
    stage.items = 0
    stage.run_until(lambda: sum(stage.platform.spot.values()) == 0)


@pytest.mark.parametrize("answer", [ScaleOutcome.UNKNOWN, ScaleOutcome.BUSY])
def test_an_order_without_an_answer_is_repeated(answer: ScaleOutcome) -> None:
    stage = Stage(items=20)
    stage.platform.answers = [answer] * 3
    stage.run_until(lambda: sum(stage.platform.spot.values()) == 3)


def test_another_zone_substitutes_for_an_exhausted_one() -> None:
    """Guards against waiting for a zone whose targets were just reclaimed."""
    stage = Stage(items=20)
    stage.platform.answers = [ScaleOutcome.NONE_OR_FENCED]
    stage.run_until(lambda: sum(stage.platform.spot.values()) == 3)


def test_an_old_order_that_takes_effect_late_is_corrected() -> None:
    """Guards against a zone that stays at the number of an outdated order."""
    stage = Stage(items=20)
    stage.run_until(lambda: sum(stage.platform.spot.values()) == 3)
    ordered = len(stage.platform.calls)
    stage.register_targets(spot={"za": 0, "zb": 0})
    stage.run_until(lambda: len(stage.platform.calls) > ordered)


@pytest.mark.parametrize("fault", ["sees_targets", "may_act"])
def test_nothing_is_ordered_on_stale_data_or_claims(fault: str) -> None:
    """Guards against a node that sees no targets and orders the maximum."""
    stage = Stage(items=200)
    setattr(stage, fault, False)
    stage.run_until(lambda: True, 0.2)
    assert stage.platform.calls == []


def test_substitutes_for_an_exhausted_zone_stay_until_it_has_capacity() -> None:
    """Guards against releasing and reordering substitutes on every retry of an exhausted zone."""
    stage = Stage(items=20)
    stage.platform.exhausted = {"zb"}
    stage.run_until(lambda: stage.platform.spot.get("za") == 3)
    stage.register_targets(spot=stage.platform.spot)
    before = len(stage.platform.calls)
    stage.run_until(lambda: len(stage.platform.calls) > before + 2)
    assert {zone for zone, _count in stage.platform.calls[before:]} == {"zb"}
    stage.platform.exhausted = set()
    stage.run_until(lambda: stage.platform.spot.get("zb", 0) > 0)
