"""Responses of a node that has just replaced another at the same address."""

import asyncio

import aiohttp

from samphirecleat.errors import ErrorKind, RequestError
from samphirecleat.trial import DEPLOYMENTS, Fleet


def test_node_without_text_rejects_step_as_not_ready() -> None:
    """A node is replaced at its old address while the log is down.

    A trainer with the old entry list submits its step to the new node. If the node
    answered that the service is unknown, the trainer would abandon the step instead of
    trying another node.
    """

    async def run() -> ErrorKind:
        fleet = Fleet(DEPLOYMENTS["los-aromos"], node_count=0, seed=1)
        await fleet.start()
        try:
            fleet.log.down = True
            node = await fleet.start_node("n1", fleet.shape.zones[0])
            url = f"http://{node.settings.http_address}/v1/trainers/trainer-1/steps/step-1"
            step = {
                "service": fleet.shape.engine_service,
                "prompts": ["p"],
                "samples_per_group": 1,
                "max_tokens": 1,
            }
            async with aiohttp.ClientSession() as session, session.post(url, json=step) as answer:
                return RequestError.from_body((await answer.json())["error"]).kind
        finally:
            await fleet.stop()

    assert asyncio.run(run()) is ErrorKind.NOT_READY
