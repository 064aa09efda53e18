"""Requests that crash targets in small services: few targets lost, and innocent calls served."""

import asyncio

import pytest

from samphirecleat.serving import Call, call_digest

from .small_service import ROUTE, SmallService


@pytest.mark.parametrize(("count", "lost"), [(1, 1), (2, 1), (3, 1), (4, 2)])
def test_deadly_request_leaves_a_target(count: int, lost: int) -> None:
    """Guards against a service that loses all targets to one request and its caller's retry."""

    async def body() -> None:
        service = SmallService(count, restart_s=9.0)
        assert await service.nodes[0].send("/crash", deadline_s=0.5) == "outcome_unknown"
        assert await service.nodes[1].send("/crash", deadline_s=0.3) == "crash_suspected"
        assert service.crashes == lost
        assert service.least_up == count - lost

    asyncio.run(body())


@pytest.mark.parametrize("delay_s", [0.01, 0.1])
def test_second_copy_at_another_node_is_held_before_a_heartbeat(delay_s: float) -> None:
    """Guards against a retry that arrives before the report of the crash."""

    async def body() -> None:
        service = SmallService(3, restart_s=9.0)
        first = asyncio.ensure_future(service.nodes[0].send("/crash", deadline_s=0.4))
        while not service.crashes:
            await asyncio.sleep(0.001)
        await asyncio.sleep(delay_s)
        assert await service.nodes[1].send("/crash", deadline_s=0.3) == "crash_suspected"
        await first
        assert (service.crashes, service.least_up) == (1, 2)

    asyncio.run(body())


def test_caller_has_its_error_only_when_other_nodes_know() -> None:
    """Guards against a caller that retries faster than the report of the crash travels."""

    async def body() -> None:
        service = SmallService(3, restart_s=9.0)
        once = ROUTE._replace(max_attempts=1)
        now_s = asyncio.get_running_loop().time()
        call = Call("id", "POST", "/crash", "h", (), b"", now_s, now_s + 1.0)
        with pytest.raises(Exception, match="outcome_unknown"):
            await service.nodes[0].forwarder.forward(call, once)
        assert service.nodes[1].guard.is_suspect(call_digest(call))
        assert 0.1 < asyncio.get_running_loop().time() - now_s < 0.3

    asyncio.run(body())


def test_innocent_calls_are_served_when_the_target_is_back() -> None:
    """Guards against calls beside a deadly one that are refused, sent too early or forgotten."""

    async def body() -> None:
        service = SmallService(3, restart_s=0.3)
        sent = [service.nodes[n % 2].send(f"/{n}", deadline_s=2.0) for n in range(9)]
        results = await asyncio.gather(service.nodes[0].send("/crash", deadline_s=2.0), *sent)
        assert results == ["outcome_unknown", *["ok"] * 9]
        assert service.least_up == 2

    asyncio.run(body())


def test_calls_of_an_ordinary_crash_end_in_time() -> None:
    """A target crashes by itself. Guards against calls that wait until their deadline for ever.

    Once the restart time is known, a call whose deadline is earlier ends at once.
    """

    async def body() -> None:
        service = SmallService(3, restart_s=0.4)
        service.run_s = 0.05
        loop = asyncio.get_running_loop()
        for deadline_s, expected, at_most_s in ((1.0, "ok", 0.7), (0.3, "outcome_unknown", 0.22)):
            began_s = loop.time()
            paths = [f"/{deadline_s}/{n}" for n in range(3)]
            sent = [service.nodes[0].send(path, deadline_s=deadline_s) for path in paths]
            calls = asyncio.gather(*sent)
            await asyncio.sleep(0.01)
            crashed = service.asked[-1][1]
            cut = {path for path, target in service.asked if target == crashed}
            service.crash(crashed)
            results = dict(zip(paths, await calls, strict=True))
            assert results == {path: expected if path in cut else "ok" for path in paths}
            assert loop.time() - began_s < at_most_s
            await asyncio.sleep(0.5)
        assert service.nodes[0].guard._observer.counters["crash_suspects_not_sent"] > 0

    asyncio.run(body())


def test_suspects_run_one_at_a_time() -> None:
    """Guards against two suspects that crash two targets of a small service at once."""

    async def body() -> None:
        service = SmallService(3, restart_s=0.2, nodes=1)
        node = service.nodes[0]
        await asyncio.gather(*(node.send(f"/crash{n}", deadline_s=0.1) for n in range(2)))
        await asyncio.sleep(0.3)
        service.most_at_once, service.least_up = 0, 3
        await asyncio.gather(*(node.send(f"/crash{n}", deadline_s=0.6) for n in range(2)))
        assert (service.most_at_once, service.least_up) == (1, 2)

    asyncio.run(body())


def test_hedged_attempt_ends_when_the_first_target_crashes() -> None:
    """Guards against a slow deadly request that crashes a second target by its hedged attempt."""

    async def body() -> None:
        service = SmallService(3, restart_s=9.0, nodes=1)
        service.run_s = 0.1
        assert await service.nodes[0].send("/crash", deadline_s=0.5) == "outcome_unknown"
        await asyncio.sleep(0.1)
        assert [path for path, _target in service.asked] == ["/crash"] * 2
        assert service.crashes == 1

    asyncio.run(body())


def test_crash_is_reported_if_the_caller_leaves_meanwhile() -> None:
    """Guards against a crash that no node knows of, as its call ended while it was confirmed."""

    async def body() -> None:
        service = SmallService(3, restart_s=9.0)
        service.look_s = 0.02
        call = asyncio.ensure_future(service.nodes[0].send("/crash"))
        while not service.crashes:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.005)
        call.cancel()
        await asyncio.sleep(0.05)
        assert all(node.ledger.suspects for node in service.nodes)

    asyncio.run(body())


def test_loss_of_all_targets_refuses_no_call() -> None:
    """A zone with the whole service fails twice. Guards against calls that are blamed for it."""

    async def body() -> None:
        service = SmallService(3, restart_s=0.2)
        service.run_s = 0.05
        for _ in range(2):
            sent = [service.nodes[n % 2].send(f"/{n}") for n in range(6)]
            calls = asyncio.gather(*sent)
            await asyncio.sleep(0.01)
            for name in service.starts:
                service.crash(name)
            assert set(await calls) <= {"ok", "outcome_unknown"}
            await asyncio.sleep(0.3)
        assert await asyncio.gather(*(service.nodes[0].send(f"/{n}") for n in range(6))) == (
            ["ok"] * 6
        )

    asyncio.run(body())


@pytest.mark.parametrize("refused", [True, False])
def test_full_targets_count_and_failed_ones_do_not(refused: bool) -> None:
    """Guards against suspects held while targets are full, and sent while others are down."""

    async def body() -> None:
        service = SmallService(3, restart_s=0.1, nodes=1)
        node = service.nodes[0]
        await node.send("/crash", deadline_s=0.1)
        await asyncio.sleep(0.2)
        target = next(iter(node.table.targets.values()))
        node.table.record_failure(target, asyncio.get_running_loop().time(), refused=refused)
        service.run_s = 0.3
        began = len(service.asked)
        call = asyncio.ensure_future(node.send("/crash", deadline_s=0.2))
        await asyncio.sleep(0.03)
        assert (len(service.asked) > began) == refused
        await call

    asyncio.run(body())


def test_recently_answered_call_is_not_held() -> None:
    """Guards against a popular call that waits since one of its copies ran at a crashed target."""

    async def body() -> None:
        service = SmallService(3, restart_s=9.0, nodes=1)
        assert await service.nodes[0].send("/popular") == "ok"
        service.run_s = 0.05
        call = asyncio.ensure_future(service.nodes[0].send("/popular"))
        await asyncio.sleep(0.01)
        service.crash(service.asked[-1][1])
        began_s = asyncio.get_running_loop().time()
        assert await call == "ok"
        assert asyncio.get_running_loop().time() - began_s < 0.1

    asyncio.run(body())


def test_large_service_behaves_as_without_sizes() -> None:
    """Guards against a change for services that keep four targets or more."""

    async def outcomes(*, knows_sizes: bool) -> list[object]:
        service = SmallService(7, restart_s=9.0, nodes=1, knows_sizes=knows_sizes)
        node = service.nodes[0]
        results = [await node.send("/crash") for _ in range(3)]
        await asyncio.sleep(1.05)
        results += [await node.send("/crash"), await node.send("/other")]
        return [results, service.asked, service.crashes]

    with_sizes = asyncio.run(outcomes(knows_sizes=True))
    assert with_sizes == asyncio.run(outcomes(knows_sizes=False))
    assert with_sizes[2] == 3
