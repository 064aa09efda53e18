"""Soak test: trainers and callers of node processes while nodes, store and targets fail.

The faults are chosen at random. The environment variables ``SOAK_S`` and ``SOAK_SEED`` set the
duration in seconds and the random seed. Each check holds at any time, so that a violation is
found when it happens.
"""

import asyncio
import json
import os
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import aiohttp

from .nodes import Nodes, job, running_nodes
from .standin_store import StoreStandIn
from .standin_targets import TargetStandIn

SOAK_S = float(os.environ.get("SOAK_S", "25"))
SEED = int(os.environ.get("SOAK_SEED", "5"))
ITEMS = 6
EVENTS = 8
WAIT_S = 60.0
EXPECTED_TEXT = "\n".join(f"{number}.{EVENTS}" for number in range(1, EVENTS + 1))


class Soak:
    """Load and faults for a small fleet, and counts of both."""

    def __init__(
        self, nodes: Nodes, store: StoreStandIn, targets: Sequence[TargetStandIn], seed: int
    ) -> None:
        self.nodes = nodes
        self.store = store
        self.engine, self.plain = targets
        self.rng = random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.finished = False

    def address(self) -> str:
        """Return the caller address of a random node, which may be down."""
        return f"http://{self.rng.choice(self.nodes.hosts)}:{self.nodes.front}"

    async def send_request(
        self, session: aiohttp.ClientSession, method: str, path: str, **options: object
    ) -> tuple[int, bytes]:
        """Return the status and body of a node's response; status 0 if there is none."""
        try:
            async with session.request(
                method,
                f"{self.address()}{path}",
                **options,  # type: ignore[arg-type]
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return 0, b""

    async def train(self, session: aiohttp.ClientSession) -> None:
        """Submit steps one after the other, and read each one completely."""
        number = 0
        while not self.finished:
            number += 1
            step_id = f"step{number}"
            headers = {"Host": "h.example", "X-Request-Id": step_id}
            body = job(ITEMS, f"{number}-")
            async with asyncio.timeout(WAIT_S):
                status = 0
                while status != 202:
                    status, _ = await self.send_request(
                        session, "POST", "/jobs/1", data=body, headers=headers
                    )
                rows = await self.read_step(session, step_id)
            assert Counter(row["id"] for row in rows) == Counter(
                f"{number}-i{item}" for item in range(ITEMS)
            )
            for row in rows:
                assert (row["state"], row["text"]) == ("completed", EXPECTED_TEXT), row
                assert row["score"] == f"p-1.{str(row['id']).replace('i', 'r')}"
                assert row["versions"] == [1]
            self.counts["steps"] += 1

    async def read_step(
        self, session: aiohttp.ClientSession, step_id: str
    ) -> Sequence[dict[str, object]]:
        """Read a step from random nodes; a result must never change its position."""
        rows: list[dict[str, object]] = []
        headers = {"Host": "h.example", "X-Wait-Ms": "200"}
        while len(rows) < ITEMS:
            after = self.rng.choice([0, len(rows)])
            status, body = await self.send_request(
                session, "GET", f"/v1/lots/{step_id}?after={after}", headers=headers
            )
            # A node that was cut off or just started may return an error, but not deny the step.
            assert status in (0, 200, 502, 503, 504), (status, body)
            if status != 200:
                await asyncio.sleep(0.05)
                continue
            page = json.loads(body)["results"]
            already_read = rows[after : after + len(page)]
            assert page[: len(already_read)] == already_read, "a result changed its position"
            rows.extend(page[len(already_read) :])
            self.counts["reads"] += 1
        return rows

    async def call(self, session: aiohttp.ClientSession) -> None:
        """Make idempotent calls; an answer must belong to its call."""
        number = 0
        while not self.finished:
            number += 1
            name = f"call{number}"
            headers = {"Host": "h.example", "X-Request-Id": name, "X-Deadline-Ms": "1500"}
            status, body = await self.send_request(session, "GET", "/plain/1", headers=headers)
            if status == 200:
                assert body == f"answer to {name}".encode()
                self.counts["answers"] += 1
            await asyncio.sleep(0.03)

    async def stream(self, session: aiohttp.ClientSession) -> None:
        """Read streams; one that ends regularly has each event exactly once."""
        number = 0
        while not self.finished:
            number += 1
            headers = {"Host": "h.example", "X-Request-Id": f"stream{number}"}
            status, body = await self.send_request(session, "POST", "/run/1", headers=headers)
            if status == 200:
                ids = [line[4:] for line in body.decode().split("\n") if line.startswith("id: ")]
                assert ids == [str(n) for n in range(1, EVENTS + 1)]
                self.counts["streams"] += 1
            await asyncio.sleep(0.05)

    async def inject_faults(self) -> None:
        """Inject faults in random order until the time is over."""
        faults: dict[str, Callable[[], Awaitable[None]]] = {
            "kill": self.kill,
            "kill all": self.kill_all,
            "term": self.term,
            "store unavailable": self.make_store_unavailable,
            "store loses responses": self.lose_responses,
            "store delays appends": self.delay_appends,
            "store trims history": self.trim_history,
            "targets fail": self.fail_targets,
        }
        loop = asyncio.get_running_loop()
        end_s = loop.time() + SOAK_S
        order = list(faults)
        while loop.time() < end_s:
            self.rng.shuffle(order)
            for name in order:
                if loop.time() >= end_s:
                    break
                await faults[name]()
                self.counts[name] += 1
                await asyncio.sleep(self.rng.uniform(0.1, 0.8))
        self.store.error_status = 0
        self.store.apply_late_appends()
        self.finished = True

    async def kill(self) -> None:
        host = self.rng.choice(self.nodes.hosts)
        await self.nodes.kill(host)
        await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        await self.nodes.start_one(host)

    async def kill_all(self) -> None:
        await self.nodes.kill_all()
        await self.nodes.start()
        await asyncio.sleep(1.5)

    async def term(self) -> None:
        host = self.rng.choice(self.nodes.hosts)
        ending = asyncio.ensure_future(self.nodes.terminate(host))
        await asyncio.wait([ending], timeout=12.0)
        await self.nodes.start_one(host)

    async def make_store_unavailable(self) -> None:
        self.store.error_status = self.rng.choice([429, 503])
        await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        self.store.error_status = 0

    async def lose_responses(self) -> None:
        self.store.answers = ["lost"] * self.rng.randint(1, 3)

    async def delay_appends(self) -> None:
        self.store.answers = ["late"] * self.rng.randint(1, 2)
        await asyncio.sleep(self.rng.uniform(0.2, 1.0))
        self.store.apply_late_appends()

    async def trim_history(self) -> None:
        for topic in [name for name in self.store.topics if name.startswith("keyed.")]:
            self.store.trim_history(topic)

    async def fail_targets(self) -> None:
        kinds: list[str | int] = ["refused", "reset", "cut", "other id", 502]
        self.engine.answers = [self.rng.choice(kinds) for _ in range(3)]
        self.plain.answers = [self.rng.choice([*kinds[:4], 502]) for _ in range(3)]


def test_results_are_correct_while_nodes_store_and_targets_fail(tmp_path: Path) -> None:
    """Guards against lost, duplicate, truncated or misplaced results.

    Nodes are killed one by one and together. The store is unavailable, loses responses, delays
    appends and trims its history. A trainer must get each sample exactly once and complete, a
    result must keep its position, and a caller must get its own answer or none.
    """

    async def body() -> None:
        async with running_nodes(3, tmp_path) as (nodes, caller, store, targets):
            await caller.call("GET", "/v1/readiness", port=nodes.ready)
            soak = Soak(nodes, store, targets, SEED)
            timeout = aiohttp.ClientTimeout(total=5.0)
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                asyncio.TaskGroup() as group,
            ):
                group.create_task(soak.inject_faults())
                group.create_task(soak.train(session))
                group.create_task(soak.call(session))
                group.create_task(soak.stream(session))
            print(dict(soak.counts))
            for kind in ("steps", "reads", "answers", "streams", "kill all", "store trims history"):
                assert soak.counts[kind] > 0, soak.counts

    asyncio.run(body())
