"""Faults of targets: crashes, silence, slowness, false reports and lost responses."""

import asyncio
from typing import Final

from ..standins import StandInEngine, StandInPlainService
from ._fault_context import FaultContext

# Together longer than the time in which all nodes learn of the crashes.
CRASHING_REQUEST_SENDS: Final = 14
CRASHING_REQUEST_PERIOD_S: Final = 0.4


async def crash_engine(context: FaultContext) -> None:
    """An engine crashes under load and restarts with old weights."""
    engine = _choose_engine(context)
    if engine is None:
        return
    await engine.crash()
    context.record(f"{engine.address} crashed")
    await context.wait_random(0.2, 2.5)
    if not engine.listening:
        await engine.restart(context.rng.choice([0, max(0, engine.version - 2)]))
        context.record(f"{engine.address} restarted with version {engine.version}")


async def silence_engine(context: FaultContext) -> None:
    """Open connections of an engine never answer again; new connections work."""
    engine = _choose_engine(context)
    if engine is not None:
        engine.silence_open_connections()
        context.record(f"open connections of {engine.address} are silent")


async def slow_engine(context: FaultContext) -> None:
    """An engine generates tokens many times more slowly for some time."""
    engine = _choose_engine(context)
    if engine is None:
        return
    usual_s = engine.token_s
    engine.token_s = usual_s * context.rng.choice([5.0, 20.0])
    context.record(f"{engine.address} is slow")
    try:
        await context.wait_random(1.0, 4.0)
    finally:
        engine.token_s = usual_s


async def fail_swaps(context: FaultContext) -> None:
    """The next weight loads of two engines fail and keep the old version."""
    for engine in context.rng.sample(context.fleet.engines, 2):
        engine.fail_next_loads += 2
        context.record(f"the next 2 loads of {engine.address} fail")


async def pretend_swaps(context: FaultContext) -> None:
    """The next weight load of two engines ends without changing the version."""
    for engine in context.rng.sample(context.fleet.engines, 2):
        engine.pretend_next_loads += 1
        context.record(f"the next load of {engine.address} has no effect")


async def lose_answers(context: FaultContext) -> None:
    """Calls to a plain service run but their responses are lost."""
    server = context.rng.choice(context.fleet.plain)
    server.lose_next_answers += context.rng.randint(1, 5)
    context.record(f"{server.address} loses {server.lose_next_answers} responses")


async def silence_plain(context: FaultContext) -> None:
    """Open connections of a plain server never answer again; new connections work."""
    server = _choose_plain(context)
    if server is not None:
        server.silence_open_connections()
        context.record(f"open connections of {server.address} are silent")


async def crash_by_request(context: FaultContext) -> None:
    """A request that crashes every plain server that runs it is sent to all nodes in turn."""
    fleet = context.fleet
    prompt = f"{context.name} {context.rng.random()}"
    for server in fleet.plain:
        server.ends_on.add(prompt)
    async with context.workload.new_session() as session:
        for number in range(CRASHING_REQUEST_SENDS):
            node = fleet.nodes[number % len(fleet.nodes)]
            await context.workload.call_plain(session, node, prompt)
            await asyncio.sleep(CRASHING_REQUEST_PERIOD_S)
    crash_count = sum(run.prompt == prompt for server in fleet.plain for run in server.ends)
    context.record(
        f"a request sent {CRASHING_REQUEST_SENDS} times crashed {crash_count} plain servers"
    )


async def refuse_work(context: FaultContext) -> None:
    """An engine and a plain server refuse their next requests."""
    for target in (
        context.rng.choice(context.fleet.engines),
        context.rng.choice(context.fleet.plain),
    ):
        target.refuse_next += context.rng.randint(3, 12)
        context.record(f"{target.address} refuses {target.refuse_next} requests")


async def announce_leaving(context: FaultContext) -> None:
    """One more plain server reports that it is leaving."""
    staying = [server for server in context.fleet.plain if not server.leaving]
    if len(staying) > 1:
        server = context.rng.choice(staying)
        server.leave()
        context.record(f"{server.address} reports that it is leaving")
    await asyncio.sleep(0)


def _choose_engine(context: FaultContext) -> StandInEngine | None:
    engines = [engine for engine in context.fleet.engines if engine.listening]
    return context.rng.choice(engines) if len(engines) > 1 else None


def _choose_plain(context: FaultContext) -> StandInPlainService | None:
    servers = [server for server in context.fleet.plain if server.listening]
    return context.rng.choice(servers) if servers else None
