"""Tests of target selection from delayed reports."""

import random

import pytest

from samphirecleat.blackboard import TargetView
from samphirecleat.controllers.admission._latency_tracker import LatencyTracker
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
def test_an_unusable_target_gets_no_calls(policy, changes) -> None:
    """A target is leaving, is loading weights, or is unreachable.

    Calls sent there would be cut off or answered by partly loaded weights.
    """
    out, other = make_target(1, **changes), make_target(2, running=8, waiting=9)
    for prompt in ("a", "b", "c", "d"):
        assert choose(policy, [out, other], prompt=prompt) == other
    assert choose(policy, [out]) is None
    assert choose(policy, [other], excluded=[other.address]) is None


def test_a_prefix_maps_to_the_same_target_at_every_node() -> None:
    targets = [make_target(n) for n in range(5)]
    for number in range(20):
        prompt = f"shared instructions {number}".ljust(32)
        chosen = {
            choose(PrefixAffinity(), order, prompt=prompt + tail)
            for order in (targets, targets[::-1])
            for tail in ("x", "y")
        }
        assert len(chosen) == 1


def test_a_popular_prefix_overflows_when_its_target_is_full() -> None:
    """All clients send the same long prompt prefix.

    Without the load bound one engine would build up a queue while others are idle.
    """
    targets = [make_target(n) for n in range(5)]
    first = choose(PrefixAffinity(), targets, prompt="popular")
    full = [t._replace(running=8, waiting=20) if t == first else t for t in targets]
    chosen = choose(PrefixAffinity(), full, prompt="popular")
    assert chosen is not None
    assert chosen.address != first.address


def test_a_slow_target_counts_as_more_loaded_than_reported() -> None:
    """An engine is three times slower than its peers although its reported load is low."""
    targets = [make_target(1), make_target(2)]
    slowdown = {targets[0].address: 3.0}
    assert choose(TwoChoices(), targets, slowdown=slowdown) == targets[1]


def test_own_calls_outweigh_an_old_report() -> None:
    """A report is five seconds old and this node has sent calls since."""
    targets = [make_target(1, reported_at_s=NOW_S - 5.0), make_target(2, running=2)]
    own = {targets[0].address: 4}
    assert choose(TwoChoices(), targets, own_in_flight=own) == targets[1]


def test_slowdown_is_relative_to_the_median_and_expires() -> None:
    tracker = LatencyTracker()
    for number, duration_s in enumerate((0.1, 0.1, 0.4)):
        tracker.record(f"t{number}", duration_s, 10, NOW_S)
    addresses = ["t0", "t1", "t2", "unknown"]
    assert tracker.slowdowns(addresses, NOW_S) == pytest.approx({"t0": 1.0, "t1": 1.0, "t2": 4.0})
    assert tracker.slowdowns(addresses, NOW_S + 60.0) == {}


def test_service_time_adopts_the_first_duration() -> None:
    time = ServiceTime()
    time.record(0.5)
    assert time.mean_s == pytest.approx(0.5)
    assert time.high_estimate_s == pytest.approx(0.5)
    for _ in range(50):
        time.record(0.3)
        time.record(0.7)
    assert 0.4 < time.mean_s < 0.6
    assert time.high_estimate_s > 0.7
