"""Route selection by prefix, target selection by observed behavior, expired registrations."""

import pytest

from samphirecleat.serving import (
    CallerLimits,
    CallKind,
    Route,
    RouteTable,
    RoutingConfig,
    Target,
    TargetRegistry,
    TargetTable,
    WeightedService,
    select_services,
)


def route(name: str, host: str, prefix: str, *services: tuple[str, float]) -> Route:
    parts = [WeightedService(*part) for part in services or (("svc", 1.0),)]
    return Route(name, host, prefix, CallKind.IDEMPOTENT, parts)


def table(revision: int, *routes: Route) -> RouteTable:
    made = RouteTable()
    made.put(RoutingConfig(revision, routes, {}, CallerLimits()))
    return made


@pytest.mark.parametrize(
    ("host", "path", "want"),
    [
        ("a", "/x/1", "short"),
        ("a", "/x/y/1", "long"),
        ("A", "/x/y/?q=/x/z/", "long"),
        ("a", "/x", None),
        ("a", "/other/", None),
        ("b", "/x/1", "other"),
        ("c", "/x/1", None),
    ],
)
def test_longest_prefix_of_host_wins(host: str, path: str, want: str | None) -> None:
    routes = table(
        1, route("short", "a", "/x/"), route("long", "a", "/x/y/"), route("other", "b", "/x/")
    )
    found = routes.find(host, path)
    assert (found.name if found else None) == want


def test_older_configuration_is_ignored() -> None:
    """Old records are delivered again after the store lost its history; they must be ignored."""
    routes = table(7, route("new", "a", "/"))
    assert not routes.put(RoutingConfig(5, [route("old", "a", "/")], {}, CallerLimits()))
    assert not routes.put(RoutingConfig(7, [route("same", "a", "/")], {}, CallerLimits()))
    assert [r.name for r in routes.config.routes] == ["new"]


@pytest.mark.parametrize(("draw", "want"), [(0.0, "a"), (0.89, "a"), (0.91, "b"), (1.0, "b")])
def test_services_are_selected_by_weight(draw: float, want: str) -> None:
    assert select_services(route("r", "h", "/", ("a", 90), ("b", 10)), draw) == [want]


def target(name: str, **changes: object) -> Target:
    base = Target(name, "svc", f"127.0.0.1:{len(name)}", "z", 4, False)
    return base._replace(**changes)  # type: ignore[arg-type]


def test_nearest_available_target_is_chosen() -> None:
    targets = TargetTable("z")
    near, far, gone = target("n"), target("ff", zone="y"), target("ddd", draining=True)
    targets.replace({t.instance: t for t in (near, far, gone)})
    assert targets.choose(["svc"], [], 0.0) == near
    targets.record_start(near)
    targets.record_start(near)
    assert targets.choose(["svc"], [], 0.0) == far
    targets.record_failure(far, 0.0, refused=False)
    assert targets.choose(["svc"], [], 0.5) == near
    assert targets.choose(["svc"], ["n"], 0.5) == far
    assert targets.choose(["svc"], [], 1.5) == far


def test_slow_target_is_avoided() -> None:
    targets = TargetTable("z")
    slow, quick = target("s"), target("q", zone="y")
    targets.replace({t.instance: t for t in (slow, quick)})
    for _ in range(5):
        targets.record_answer(slow, 0.3, 0.0)
        targets.record_answer(quick, 0.03, 0.0)
    assert targets.choose(["svc"], [], 0.0) == quick


@pytest.mark.parametrize(
    ("known_s", "waited_s", "slow"),
    [(0.03, 0.3, True), (None, 0.3, True), (0.03, 0.01, False), (None, 0.01, False)],
)
def test_abandoned_attempts_mark_target_as_slow(
    known_s: float | None, waited_s: float, slow: bool
) -> None:
    """A target becomes slow, and the hedged attempt answers each call that was sent to it.

    If only answers counted, the target would still look fast, and callers would wait for a hedged
    attempt each time. A caller that disconnects early gives no evidence.
    """
    targets = TargetTable("z")
    late, quick = target("s"), target("q", zone="y")
    targets.replace({t.instance: t for t in (late, quick)})
    for _ in range(5):
        if known_s is not None:
            targets.record_answer(late, known_s, 0.0)
        targets.record_answer(quick, 0.03, 0.0)
    for _ in range(3):
        targets.record_abandoned(late, waited_s, 1.0)
    assert (targets.choose(["svc"], [], 1.0) == quick) is slow


def test_slow_target_is_tried_again_later() -> None:
    """A target was slow for some seconds and has recovered, but gets no calls any more.

    If the observation didn't expire, it would stay idle while the others are overloaded.
    """
    targets = TargetTable("z")
    slow, quick = target("s"), target("q", zone="y")
    targets.replace({t.instance: t for t in (slow, quick)})
    targets.record_answer(slow, 0.3, 0.0)
    targets.record_answer(quick, 0.03, 0.0)
    assert targets.choose(["svc"], [], 1.0) == quick
    targets.record_answer(quick, 0.03, 60.0)
    assert targets.choose(["svc"], [], 60.0) == slow


def test_vanished_registration_is_kept_during_store_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The store is down, and all registrations expire although the targets are alive.

    If they were dropped at once, no call would find a target for the two seconds that the targets
    take to register again.
    """
    now = [100.0]
    monkeypatch.setattr("samphirecleat.serving._registry.boot_time_s", lambda: now[0])
    registry = TargetRegistry(lambda: 99.0)
    registry.replace({"a": target("a"), "bb": target("bb", draining=True)})
    registry.replace({})
    assert set(registry.usable_targets()) == {"a"}
    now[0] = 101.5
    assert set(registry.usable_targets()) == set()
    registry.put(target("a"))
    assert set(registry.usable_targets()) == {"a"}


def test_vanished_target_is_dropped_once_its_address_is_reused() -> None:
    registry = TargetRegistry(lambda: 1e12)
    registry.put(target("a", address="127.0.0.1:9"))
    registry.remove("a")
    registry.put(target("b", address="127.0.0.1:9"))
    assert set(registry.usable_targets()) == {"b"}


def test_vanished_target_is_dropped_at_once_without_store_outage() -> None:
    registry = TargetRegistry(lambda: -1e12)
    registry.put(target("a"))
    registry.remove("a")
    assert registry.usable_targets() == {}


def test_few_calls_reuse_warm_connections() -> None:
    """A node of a large fleet sends a call every second or two to a service with many targets.

    Spread over all targets, each connection would be closed as idle before its next call, and every
    call would open a new one.
    """
    targets = TargetTable("z")
    targets.replace({name: target(name) for name in ("a", "bb", "ccc", "dddd")})
    used = []
    for second in range(20):
        chosen = targets.choose(["svc"], [], float(second))
        assert chosen is not None
        used.append(chosen.instance)
        targets.warm.record_taken(chosen)
        targets.record_answer(chosen, 0.03, second + 0.03)
        targets.warm.record_returned(chosen, second + 0.03)
    assert len(set(used)) == 1


def test_busy_target_loses_to_one_without_a_connection() -> None:
    targets = TargetTable("z")
    warm, cold = target("w"), target("cc")
    targets.replace({t.instance: t for t in (warm, cold)})
    targets.warm.record_returned(warm, 0.0)
    targets.warm.record_returned(warm, 0.0)
    assert targets.choose(["svc"], [], 1.0) == warm
    for _ in range(2):
        targets.record_start(warm)
    assert targets.choose(["svc"], [], 1.0) == cold


def test_connection_counts_until_keep_alive_expires() -> None:
    targets = TargetTable("z")
    far = target("f", zone="y")
    targets.replace({t.instance: t for t in (far, target("nn"))})
    targets.warm.keep_alive_s = lambda _service: 5.0
    targets.warm.record_returned(far, 0.0)
    assert targets.choose(["svc"], [], 4.0) == far
    assert targets.choose(["svc"], [], 6.0) != far


def test_nodes_spread_over_equal_targets() -> None:
    """Many nodes send an occasional call, each to its first choice among equal targets.

    If all nodes chose the same one, it would be overloaded while the others are idle.
    """
    first = set()
    for number in range(40):
        targets = TargetTable("z", f"node-{number}")
        targets.replace({name: target(name) for name in ("a", "bb", "ccc", "dddd")})
        chosen = targets.choose(["svc"], [], 0.0)
        assert chosen is not None
        first.add(chosen.instance)
    assert len(first) == 4
