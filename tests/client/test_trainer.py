"""Tests of the trainers' client with crashing nodes, lost answers and duplicates."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import aiohttp
import pytest

from samphirecleat.client import StepRequest, TrainerClient
from samphirecleat.errors import ErrorKind, RequestError
from samphirecleat.steps import Sample
from samphirecleat.trial import DEPLOYMENTS
from samphirecleat.trial._fleet import Fleet

GROUPS, PER_GROUP = 4, 3
REQUEST = StepRequest(
    "step-1", "asesor", [f"prompt {n}" for n in range(GROUPS)], PER_GROUP, 8, 2, "scoring"
)
SIZE = REQUEST.size


class FaultyClient(TrainerClient):
    """Randomly drops answers of processed requests and sends requests twice."""

    def __init__(self, *arguments: Any, lost: float, duplicated: float, seed: int) -> None:
        super().__init__(*arguments, seed=seed)
        self._lost = lost
        self._duplicated = duplicated
        self._faults = random.Random(seed)
        self.counts: Counter[str] = Counter()

    async def _post(self, *arguments: Any) -> Mapping[str, Any]:
        answer = await super()._post(*arguments)
        if self._faults.random() < self._duplicated:
            self.counts["duplicated"] += 1
            await super()._post(*arguments)
        if self._faults.random() < self._lost:
            self.counts["lost"] += 1
            raise TimeoutError("the answer was lost")
        return answer


def run_with_fleet(body: Callable[[Fleet, aiohttp.ClientSession], Awaitable[None]]) -> None:
    async def run() -> None:
        fleet = Fleet(DEPLOYMENTS["los-aromos"], 3, seed=1)
        await fleet.start()
        try:
            async with aiohttp.ClientSession() as session:
                await until(lambda: all(_is_ready(node) for node in fleet.nodes))
                await asyncio.wait_for(body(fleet, session), 60.0)
        finally:
            await fleet.stop()

    asyncio.run(run())


def _is_ready(node: Any) -> bool:
    return node.board.ready and sum(1 for t in node.board.targets.values() if t.usable) >= 10


async def until(condition: Callable[[], bool]) -> None:
    give_up_at_s = asyncio.get_running_loop().time() + 20.0
    while not condition():
        assert asyncio.get_running_loop().time() < give_up_at_s
        await asyncio.sleep(0.02)


def check_against_engine_runs(fleet: Fleet, samples: list[Sample]) -> None:
    """Check that each position occurs once and matches a finished run of an engine."""
    assert sorted(sample.position for sample in samples) == list(range(SIZE))
    runs = {run.run_id: run for engine in fleet.engines for run in engine.runs}
    for sample in samples:
        run = runs[sample.run_id]
        assert run.ended
        assert [tuple(span) for span in run.spans] == [tuple(span) for span in sample.spans]


def owner_of(fleet: Fleet) -> Any:
    return next((node for node in fleet.nodes if node.steps.steps), None)


@pytest.mark.parametrize("after", [0, 1, SIZE // 2, SIZE - 1])
def test_killed_step_owner_loses_and_duplicates_nothing(after: int) -> None:
    """The node that runs a step is killed at various stages of the step.

    A faulty recovery would hang the trainer or deliver samples a second time.
    """

    async def body(fleet: Fleet, session: aiohttp.ClientSession) -> None:
        client = TrainerClient(session, "trainer-1", fleet.bootstrap, lambda: 0, seed=1)
        samples: list[Sample] = []
        killed = asyncio.ensure_future(kill_owner(fleet, samples, after))
        async for sample in client.run_step(REQUEST):
            samples.append(sample)
            if len(samples) == after:
                await killed
        await killed
        check_against_engine_runs(fleet, samples)

    run_with_fleet(body)


async def kill_owner(fleet: Fleet, samples: list[Sample], after: int) -> None:
    await until(lambda: owner_of(fleet) is not None and len(samples) >= after)
    owner = owner_of(fleet)
    await owner.stop()
    fleet.nodes.remove(owner)


@pytest.mark.parametrize("seed", [1, 2])
def test_lost_responses_and_duplicate_messages_change_nothing(seed: int) -> None:
    """Answers are lost after their requests were processed, so the step changes nodes.

    Two nodes then run the step at once; the trainer must still get every sample once.
    """

    async def body(fleet: Fleet, session: aiohttp.ClientSession) -> None:
        client = FaultyClient(
            session, "trainer-1", fleet.bootstrap, lambda: 0, lost=0.4, duplicated=0.4, seed=seed
        )
        samples = [sample async for sample in client.run_step(REQUEST)]
        assert client.counts["lost"] > 0
        assert client.counts["duplicated"] > 0
        check_against_engine_runs(fleet, samples)

    run_with_fleet(body)


def test_restarted_trainer_gets_only_the_remaining_results() -> None:
    """The trainer restarts in the middle of a step and has kept its samples."""

    async def body(fleet: Fleet, session: aiohttp.ClientSession) -> None:
        first = TrainerClient(session, "trainer-1", fleet.bootstrap, lambda: 0, seed=1)
        samples: list[Sample] = []
        async for sample in first.run_step(REQUEST):
            samples.append(sample)
            if len(samples) == SIZE // 2:
                break
        again = TrainerClient(session, "trainer-1", fleet.bootstrap, lambda: 0, seed=2)
        held = {sample.position for sample in samples}
        samples += [sample async for sample in again.run_step(REQUEST, held)]
        check_against_engine_runs(fleet, samples)

    run_with_fleet(body)


def test_draining_node_hands_over_its_step() -> None:
    """An operator drains the node that runs a step."""

    async def body(fleet: Fleet, session: aiohttp.ClientSession) -> None:
        client = TrainerClient(session, "trainer-1", fleet.bootstrap, lambda: 0, seed=1)
        samples: list[Sample] = []
        drained = None
        async for sample in client.run_step(REQUEST):
            samples.append(sample)
            if drained is None:
                drained = asyncio.ensure_future(owner_of(fleet).drain())
        assert drained is not None
        await drained
        check_against_engine_runs(fleet, samples)

    run_with_fleet(body)


def test_groups_are_yielded_complete_and_once() -> None:
    async def body(fleet: Fleet, session: aiohttp.ClientSession) -> None:
        client = TrainerClient(session, "trainer-1", fleet.bootstrap, lambda: 0, seed=1)
        groups = [group async for group in client.run_groups(REQUEST)]
        assert sorted(group.number for group in groups) == list(range(GROUPS))
        for group in groups:
            first = group.number * PER_GROUP
            positions = [sample.position for sample in group.samples]
            assert positions == list(range(first, first + PER_GROUP))

    run_with_fleet(body)


@pytest.mark.parametrize(
    ("changes", "kind"),
    [
        ({"service": "gone"}, ErrorKind.UNKNOWN_SERVICE),
        ({"scoring": "gone"}, ErrorKind.UNKNOWN_SERVICE),
        ({"max_tokens": 0}, ErrorKind.MALFORMED),
        ({"samples_per_group": 100_000}, ErrorKind.MALFORMED),
        ({"group_length_hints": [1]}, ErrorKind.MALFORMED),
        ({"staleness_bound": -1}, ErrorKind.MALFORMED),
    ],
)
def test_invalid_step_is_rejected_without_retries(
    shared_fleet: Any, changes: dict[str, Any], kind: ErrorKind
) -> None:
    fleet, loop, session = shared_fleet

    async def body() -> None:
        client = TrainerClient(session, "trainer-1", fleet.bootstrap, lambda: 0, seed=1)
        samples = client.run_step(REQUEST._replace(**changes))
        with pytest.raises(RequestError) as refused:
            await anext(samples)
        assert refused.value.kind is kind

    loop.run_until_complete(asyncio.wait_for(body(), 20.0))


@pytest.mark.parametrize(
    ("path", "body"),
    [
        ("", {"prompts": "no list"}),
        ("", {"held": "fff"}),
        ("", {"max_tokens": 1e999}),
        ("/pull", {"pull": "x", "version": 0, "held": "0"}),
        ("/pull", {"pull": 1, "version": 0, "held": "f" * 9000}),
        ("/pull", {"pull": 1, "version": 0}),
        ("/pull", []),
    ],
)
def test_malformed_trainer_messages_get_kind_malformed(
    shared_fleet: Any, path: str, body: Any
) -> None:
    """A trainer that uses the HTTP API directly sends malformed bodies."""
    fleet, loop, session = shared_fleet
    url = f"http://{fleet.bootstrap[0]}/v1/trainers/t/steps/s"
    valid = {
        "service": "asesor",
        "prompts": ["p"],
        "samples_per_group": 1,
        "max_tokens": 1,
        "staleness_bound": 2,
    }

    async def run() -> None:
        async with session.post(url, json=valid) as taken:
            assert taken.status == 200
        sent = {**valid, **body} if path == "" else body
        async with session.post(url + path, json=sent) as response:
            answer = await response.json()
        assert (response.status, answer["error"]["kind"]) == (400, "malformed")

    loop.run_until_complete(asyncio.wait_for(run(), 20.0))


@pytest.fixture(scope="module")
def shared_fleet() -> Any:
    loop = asyncio.new_event_loop()
    fleet = Fleet(DEPLOYMENTS["los-aromos"], 1, seed=1)

    async def start() -> aiohttp.ClientSession:
        await fleet.start()
        await until(lambda: _is_ready(fleet.nodes[0]))
        return aiohttp.ClientSession()

    session = loop.run_until_complete(start())
    yield fleet, loop, session
    loop.run_until_complete(session.close())
    loop.run_until_complete(fleet.stop())
    loop.close()
