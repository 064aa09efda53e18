"""Faults of targets: crashes, silence, slowness, false words, lost answers."""

import asyncio
from typing import Final

from ..standins import StandInEngine, StandInPlainService
from ._stage import Stage

# A request that ends its targets is sent so often, and so far apart: beyond the time in which all
# nodes hear of it.
ENDING_SENDINGS: Final = 14
ENDING_EVERY_S: Final = 0.4


async def crash_engine(stage: Stage) -> None:
    """An engine crashes with work in hand and comes back with old weights."""
    engine = _choose_engine(stage)
    if engine is None:
        return
    await engine.crash()
    stage.note(f"{engine.address} crashed")
    await stage.hold(0.2, 2.5)
    if not engine.listening:
        await engine.restart(stage.rng.choice([0, max(0, engine.version - 2)]))
        stage.note(f"{engine.address} is back with version {engine.version}")


async def silence_engine(stage: Stage) -> None:
    """Open connections of an engine go silent for good while new ones work."""
    engine = _choose_engine(stage)
    if engine is not None:
        engine.silence_open_connections()
        stage.note(f"open connections of {engine.address} are silent")


async def slow_engine(stage: Stage) -> None:
    """An engine makes its tokens many times more slowly for a while."""
    engine = _choose_engine(stage)
    if engine is None:
        return
    usual_s = engine.token_s
    engine.token_s = usual_s * stage.rng.choice([5.0, 20.0])
    stage.note(f"{engine.address} is slow")
    try:
        await stage.hold(1.0, 4.0)
    finally:
        engine.token_s = usual_s


async def fail_swaps(stage: Stage) -> None:
    """The next loads of some engines fail partway and keep the old version."""
    for engine in stage.rng.sample(stage.fleet.engines, 2):
        engine.fail_next_loads += 2
        stage.note(f"the next 2 loads of {engine.address} fail")


async def pretend_swaps(stage: Stage) -> None:
    """The next loads of some engines are said to be done and are not."""
    for engine in stage.rng.sample(stage.fleet.engines, 2):
        engine.pretend_next_loads += 1
        stage.note(f"the next load of {engine.address} is pretended")


async def lose_answers(stage: Stage) -> None:
    """Calls to a plain service run and their answers are lost."""
    server = stage.rng.choice(stage.fleet.plain)
    server.lose_next_answers += stage.rng.randint(1, 5)
    stage.note(f"{server.address} loses {server.lose_next_answers} answers")


async def silence_plain(stage: Stage) -> None:
    """Open connections of a plain server go silent for good while new ones work."""
    server = _choose_plain(stage)
    if server is not None:
        server.silence_open_connections()
        stage.note(f"open connections of {server.address} are silent")


async def end_by_request(stage: Stage) -> None:
    """A request ends each plain server that begins to run it, and comes again at every node."""
    fleet = stage.fleet
    prompt = f"{stage.name} {stage.rng.random()}"
    for server in fleet.plain:
        server.ends_on.add(prompt)
    async with stage.workload.new_session() as session:
        for number in range(ENDING_SENDINGS):
            node = fleet.nodes[number % len(fleet.nodes)]
            await stage.workload.call_plain(session, node, prompt)
            await asyncio.sleep(ENDING_EVERY_S)
    ends = sum(run.prompt == prompt for server in fleet.plain for run in server.ends)
    stage.note(f"a request sent {ENDING_SENDINGS} times ended {ends} plain servers")


async def refuse_work(stage: Stage) -> None:
    """Targets refuse work before they start it."""
    for target in (stage.rng.choice(stage.fleet.engines), stage.rng.choice(stage.fleet.plain)):
        target.refuse_next += stage.rng.randint(3, 12)
        stage.note(f"{target.address} refuses {target.refuse_next} requests")


async def leave(stage: Stage) -> None:
    """One more plain server leaves by its own word."""
    staying = [server for server in stage.fleet.plain if not server.leaving]
    if len(staying) > 1:
        server = stage.rng.choice(staying)
        server.leave()
        stage.note(f"{server.address} says that it leaves")
    await asyncio.sleep(0)


def _choose_engine(stage: Stage) -> StandInEngine | None:
    engines = [engine for engine in stage.fleet.engines if engine.listening]
    return stage.rng.choice(engines) if len(engines) > 1 else None


def _choose_plain(stage: Stage) -> StandInPlainService | None:
    servers = [server for server in stage.fleet.plain if server.listening]
    return stage.rng.choice(servers) if servers else None
