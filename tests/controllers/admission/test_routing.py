"""The choice of a target from lagged reports."""

import random

import pytest

from samphirecleat.blackboard import TargetView
from samphirecleat.controllers.admission._pace import LatencyTracker
from samphirecleat.controllers.admission._routing import RoutingView, choose_target
from samphirecleat.controllers.admission._service_time import ServiceTime
from samphirecleat.controllers.policies import (
    LeastReported,
    PrefixAffinity,
    RandomTarget,
    RoundRobin,
    TwoChoices,
)

POLICIES = [PrefixAffinity(), TwoChoices(), LeastReported(), RoundRobin(), RandomTarget()]
NOW_S = 100.0


def make_target(number: int, **changes) -> TargetView:
    target = TargetView(
        f"10.0.0.{number}:80", "asesor", "z1", slots=8, reported_at_s=NOW_S, reachable=True
    )
    return target._replace(**changes)


def choose(policy, targets, **changes) -> TargetView | None:
    view = RoutingView(targets, {}, 9, "z1")._replace(**changes)
    return choose_target(policy, view, random.Random(1), NOW_S)


@pytest.mark.parametrize("policy", POLICIES)
@pytest.mark.parametrize(
    "changes", [{"leaving": True}, {"loading": True}, {"reachable": False}], ids=str
)
def test_a_target_that_may_not_get_work_gets_none(policy, changes) -> None:
    """A target leaves, swaps its weights, or refuses connections.

    New work sent there would be cut off or answered by half-loaded weights.
    """
    out, other = make_target(1, **changes), make_target(2, running=8, waiting=9)
    for prompt in ("a", "b", "c", "d"):
        assert choose(policy, [out, other], prompt=prompt) == other
    assert choose(policy, [out]) is None
    assert choose(policy, [other], excluded=[other.address]) is None


def test_one_prefix_meets_in_one_target_whatever_node_asks() -> None:
    targets = [make_target(n) for n in range(5)]
    for number in range(20):
        prompt = f"shared instructions {number}".ljust(32)
        chosen = {
            choose(PrefixAffinity(), order, prompt=prompt + tail)
            for order in (targets, targets[::-1])
            for tail in ("x", "y")
        }
        assert len(chosen) == 1


def test_a_popular_prefix_is_passed_on_when_its_target_is_full() -> None:
    """Every client of one campaign sends the same long instructions.

    Without the bound one engine would have a queue while the others stand idle.
    """
    targets = [make_target(n) for n in range(5)]
    first = choose(PrefixAffinity(), targets, prompt="popular")
    full = [t._replace(running=8, waiting=20) if t == first else t for t in targets]
    chosen = choose(PrefixAffinity(), full, prompt="popular")
    assert chosen is not None
    assert chosen.address != first.address


def test_a_slow_target_gets_less_than_its_report_would_bring() -> None:
    """An engine runs three times slower than its peers while it reports little load."""
    targets = [make_target(1), make_target(2)]
    slowdown = {targets[0].address: 3.0}
    assert choose(TwoChoices(), targets, slowdown=slowdown) == targets[1]


def test_an_old_report_gives_way_to_what_this_node_sent() -> None:
    """Reports stand still for five seconds; this node has sent calls meanwhile."""
    targets = [make_target(1, reported_at_s=NOW_S - 5.0), make_target(2, running=2)]
    own = {targets[0].address: 4}
    assert choose(TwoChoices(), targets, own_in_flight=own) == targets[1]


def test_pace_is_told_against_the_median_and_forgotten() -> None:
    tracker = LatencyTracker()
    for number, duration_s in enumerate((0.1, 0.1, 0.4)):
        tracker.record(f"t{number}", duration_s, 10, NOW_S)
    addresses = ["t0", "t1", "t2", "unknown"]
    assert tracker.slowdowns(addresses, NOW_S) == pytest.approx({"t0": 1.0, "t1": 1.0, "t2": 4.0})
    assert tracker.slowdowns(addresses, NOW_S + 60.0) == {}


def test_service_time_follows_the_first_call_at_once() -> None:
    time = ServiceTime()
    time.record(0.5)
    assert time.mean_s == pytest.approx(0.5)
    assert time.high_estimate_s == pytest.approx(0.5)
    for _ in range(50):
        time.record(0.3)
        time.record(0.7)
    assert 0.4 < time.mean_s < 0.6
    assert time.high_estimate_s > 0.7
