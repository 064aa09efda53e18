"""Exercises that every trial runs so that each promise has something to check."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from ..standins import HostRow
from ._fault_context import FaultContext

DRAIN_CALLS: Final = 8
DRAIN_CALL_TOKENS: Final = 100
OVERLOAD_CALLS: Final = 6


class Exercise(NamedTuple):
    """An action that runs once, at a fraction of the duration of the trial."""

    name: str
    at_fraction: float
    run: Callable[[FaultContext], Awaitable[None]]


async def _announce_leaving_targets(context: FaultContext) -> None:
    """Have a plain server report that it is leaving, and the host list report it of an engine."""
    fleet = context.fleet
    server = fleet.plain[-1]
    server.leave()
    context.record(f"{server.address} reports that it is leaving")
    engine = fleet.engines[-1]
    row = HostRow(engine.address, engine.service, engine.zone, state="leaving")
    fleet.host_list.put(row)
    fleet.leaving_by_list.add(engine.address)
    context.record(f"the host list will report {engine.address} as leaving")


async def _change_config(context: FaultContext) -> None:
    appended = await context.operator.publish("operator-1")
    context.record(f"published changed text: {appended.outcome.value} at {appended.offset}")


async def _publish_invalid(context: FaultContext) -> None:
    appended = await context.operator.publish("operator-1", valid=False)
    context.record(f"published invalid text: {appended.outcome.value} at {appended.offset}")


async def _drain_node(context: FaultContext) -> None:
    """Drain a node while long calls are in flight, then start a replacement."""
    node = context.fleet.claim_node(context.rng)
    if node is None:
        return
    async with context.workload.new_session() as session:
        calls = [
            context.workload.call_node(session, node, max_tokens=DRAIN_CALL_TOKENS)
            for _call in range(DRAIN_CALLS)
        ]
        in_flight = asyncio.gather(*calls)
        await asyncio.sleep(0.05)
        context.record(f"draining {node.settings.node_id}")
        await context.fleet.drain_node(node)
        context.record(f"{node.settings.node_id} has shut down")
        await in_flight
    replacement = await context.fleet.replace_node(node, context.rng)
    context.record(f"{replacement.settings.node_id} replaces {node.settings.node_id}")


async def _provoke_refusals(context: FaultContext) -> None:
    """Send calls that nodes reject, and calls that every plain server refuses."""
    shape, workload = context.fleet.shape, context.workload
    async with workload.new_session() as session:
        client = workload.new_client(session)
        await workload.call(client, "no-such-service", "generate", idempotent=True)
        await workload.call(client, shape.plain_service, "no-such-method", idempotent=False)
        for server in context.fleet.plain:
            server.refuse_next = OVERLOAD_CALLS
        calls = [
            workload.call(client, shape.plain_service, shape.plain_once, idempotent=False)
            for _call in range(OVERLOAD_CALLS)
        ]
        await asyncio.gather(*calls)
    for server in context.fleet.plain:
        server.refuse_next = 0
    context.record(f"sent {OVERLOAD_CALLS + 2} calls that must be refused")


EXERCISES: Final = (
    Exercise("target_leaves", 0.02, _announce_leaving_targets),
    Exercise("config_change", 0.1, _change_config),
    Exercise("refusals", 0.15, _provoke_refusals),
    Exercise("node_drained", 0.2, _drain_node),
    Exercise("config_invalid", 0.25, _publish_invalid),
    Exercise("config_change", 0.3, _change_config),
    Exercise("config_change", 0.5, _change_config),
)
