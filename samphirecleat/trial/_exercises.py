"""What every trial does, with or without faults, so that every promise is checked."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from ..standins import HostRow
from ._stage import Stage

DRAIN_CALLS: Final = 8
DRAIN_CALL_TOKENS: Final = 100
OVERLOAD_CALLS: Final = 6


class Exercise(NamedTuple):
    """Something done once at a fraction of the trial's length."""

    name: str
    at_fraction: float
    run: Callable[[Stage], Awaitable[None]]


async def _let_targets_leave(stage: Stage) -> None:
    """One plain server says itself that it leaves; of an engine the host list does."""
    fleet = stage.fleet
    server = fleet.plain[-1]
    server.leave()
    stage.note(f"{server.address} says that it leaves")
    engine = fleet.engines[-1]
    row = HostRow(engine.address, engine.service, engine.zone, state="leaving")
    fleet.host_list.put(row)
    fleet.leaving_by_list.add(engine.address)
    stage.note(f"the host list will say that {engine.address} leaves")


async def _change_config(stage: Stage) -> None:
    appended = await stage.operator.publish("operator-1")
    stage.note(f"changed text: {appended.outcome.value} at {appended.offset}")


async def _publish_invalid(stage: Stage) -> None:
    appended = await stage.operator.publish("operator-1", valid=False)
    stage.note(f"invalid text: {appended.outcome.value} at {appended.offset}")


async def _drain_a_node(stage: Stage) -> None:
    """Drain a node that has long answers in flight, and start one in its place."""
    node = stage.fleet.claim_node(stage.rng)
    if node is None:
        return
    async with stage.workload.new_session() as session:
        calls = [
            stage.workload.call_node(session, node, max_tokens=DRAIN_CALL_TOKENS)
            for _call in range(DRAIN_CALLS)
        ]
        in_flight = asyncio.gather(*calls)
        await asyncio.sleep(0.05)
        stage.note(f"draining {node.settings.node_id}")
        await stage.fleet.drain_node(node)
        stage.note(f"{node.settings.node_id} has ended")
        await in_flight
    replacement = await stage.fleet.replace_node(node, stage.rng)
    stage.note(f"{replacement.settings.node_id} replaces {node.settings.node_id}")


async def _provoke_refusals(stage: Stage) -> None:
    """Have requests refused by the node, and by every plain server."""
    shape, workload = stage.fleet.shape, stage.workload
    async with workload.new_session() as session:
        client = workload.new_client(session)
        await workload.call(client, "no-such-service", "generate", idempotent=True)
        await workload.call(client, shape.plain_service, "no-such-method", idempotent=False)
        for server in stage.fleet.plain:
            server.refuse_next = OVERLOAD_CALLS
        calls = [
            workload.call(client, shape.plain_service, shape.plain_once, idempotent=False)
            for _call in range(OVERLOAD_CALLS)
        ]
        await asyncio.gather(*calls)
    for server in stage.fleet.plain:
        server.refuse_next = 0
    stage.note(f"{OVERLOAD_CALLS + 2} calls to be refused")


EXERCISES: Final = (
    Exercise("target_leaves", 0.02, _let_targets_leave),
    Exercise("config_change", 0.1, _change_config),
    Exercise("refusals", 0.15, _provoke_refusals),
    Exercise("node_drained", 0.2, _drain_a_node),
    Exercise("config_invalid", 0.25, _publish_invalid),
    Exercise("config_change", 0.3, _change_config),
    Exercise("config_change", 0.5, _change_config),
)
