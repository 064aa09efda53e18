"""A soak: trainers and callers of real node processes while everything around them fails.

The faults are drawn from a seed; ``SOAK_S`` in the environment makes it longer and ``SOAK_SEED``
another one. What is checked holds at every moment, so that a fault is seen when it happens.
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
WHOLE_TEXT = "\n".join(f"{number}.{EVENTS}" for number in range(1, EVENTS + 1))


class Soak:
    """Work and faults over one small fleet, with what was seen of both."""

    def __init__(
        self, nodes: Nodes, store: StoreStandIn, targets: Sequence[TargetStandIn], seed: int
    ) -> None:
        self.nodes = nodes
        self.store = store
        self.engine, self.plain = targets
        self.rng = random.Random(seed)
        self.seen: Counter[str] = Counter()
        self.over = False

    def address(self) -> str:
        """Return the callers' address of any node, be it up or not."""
        return f"http://{self.rng.choice(self.nodes.hosts)}:{self.nodes.front}"

    async def ask(
        self, session: aiohttp.ClientSession, method: str, path: str, **options: object
    ) -> tuple[int, bytes]:
        """Return a node's answer; status 0 stands for none."""
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
        """Submit one step after the other, and read each to its end."""
        number = 0
        while not self.over:
            number += 1
            step_id = f"step{number}"
            headers = {"Host": "h.example", "X-Request-Id": step_id}
            body = job(ITEMS, f"{number}-")
            async with asyncio.timeout(WAIT_S):
                status = 0
                while status != 202:
                    status, _ = await self.ask(
                        session, "POST", "/jobs/1", data=body, headers=headers
                    )
                rows = await self.read_step(session, step_id)
            assert Counter(row["id"] for row in rows) == Counter(
                f"{number}-i{item}" for item in range(ITEMS)
            )
            for row in rows:
                assert (row["state"], row["text"]) == ("completed", WHOLE_TEXT), row
                assert row["score"] == f"p-1.{str(row['id']).replace('i', 'r')}"
                assert row["versions"] == [1]
            self.seen["steps"] += 1

    async def read_step(
        self, session: aiohttp.ClientSession, step_id: str
    ) -> Sequence[dict[str, object]]:
        """Read a step at any nodes; what was read once must come again at its position."""
        rows: list[dict[str, object]] = []
        headers = {"Host": "h.example", "X-Wait-Ms": "200"}
        while len(rows) < ITEMS:
            after = self.rng.choice([0, len(rows)])
            status, body = await self.ask(
                session, "GET", f"/v1/lots/{step_id}?after={after}", headers=headers
            )
            # A node that was cut off or has just started may be unsure, but never sure of less.
            assert status in (0, 200, 502, 503, 504), (status, body)
            if status != 200:
                await asyncio.sleep(0.05)
                continue
            page = json.loads(body)["results"]
            known = rows[after : after + len(page)]
            assert page[: len(known)] == known, "a position holds another result"
            rows.extend(page[len(known) :])
            self.seen["reads"] += 1
        return rows

    async def call(self, session: aiohttp.ClientSession) -> None:
        """Make calls that may be repeated; an answer is the caller's own or none."""
        number = 0
        while not self.over:
            number += 1
            name = f"call{number}"
            headers = {"Host": "h.example", "X-Request-Id": name, "X-Deadline-Ms": "1500"}
            status, body = await self.ask(session, "GET", "/plain/1", headers=headers)
            if status == 200:
                assert body == f"answer to {name}".encode()
                self.seen["answers"] += 1
            await asyncio.sleep(0.03)

    async def stream(self, session: aiohttp.ClientSession) -> None:
        """Read streams; one that ends as whole is whole, and no event comes twice."""
        number = 0
        while not self.over:
            number += 1
            headers = {"Host": "h.example", "X-Request-Id": f"stream{number}"}
            status, body = await self.ask(session, "POST", "/run/1", headers=headers)
            if status == 200:
                ids = [line[4:] for line in body.decode().split("\n") if line.startswith("id: ")]
                assert ids == [str(n) for n in range(1, EVENTS + 1)]
                self.seen["streams"] += 1
            await asyncio.sleep(0.05)

    async def break_things(self) -> None:
        """Draw one fault after the other until the time is over."""
        faults: dict[str, Callable[[], Awaitable[None]]] = {
            "kill": self.kill,
            "kill all": self.kill_all,
            "term": self.term,
            "store away": self.store_away,
            "store loses answers": self.lose_answers,
            "store acts late": self.act_late,
            "store forgets": self.forget,
            "targets fail": self.fail_targets,
        }
        loop = asyncio.get_running_loop()
        until_s = loop.time() + SOAK_S
        order = list(faults)
        while loop.time() < until_s:
            self.rng.shuffle(order)
            for name in order:
                if loop.time() >= until_s:
                    break
                await faults[name]()
                self.seen[name] += 1
                await asyncio.sleep(self.rng.uniform(0.1, 0.8))
        self.store.error_status = 0
        self.store.apply_late_appends()
        self.over = True

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
        ending = asyncio.ensure_future(self.nodes.end(host))
        await asyncio.wait([ending], timeout=12.0)
        await self.nodes.start_one(host)

    async def store_away(self) -> None:
        self.store.error_status = self.rng.choice([429, 503])
        await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        self.store.error_status = 0

    async def lose_answers(self) -> None:
        self.store.answers = ["lost"] * self.rng.randint(1, 3)

    async def act_late(self) -> None:
        self.store.answers = ["late"] * self.rng.randint(1, 2)
        await asyncio.sleep(self.rng.uniform(0.2, 1.0))
        self.store.apply_late_appends()

    async def forget(self) -> None:
        for topic in [name for name in self.store.topics if name.startswith("keyed.")]:
            self.store.forget_history(topic)

    async def fail_targets(self) -> None:
        kinds: list[str | int] = ["refused", "reset", "cut", "other id", 502]
        self.engine.answers = [self.rng.choice(kinds) for _ in range(3)]
        self.plain.answers = [self.rng.choice([*kinds[:4], 502]) for _ in range(3)]


def test_every_promise_holds_while_everything_fails(tmp_path: Path) -> None:
    """Nodes are killed alone and together, the store is away, loses, delays and forgets.

    A trainer must get each of its samples once and whole, a result must stay where it was
    read, and a caller must get its own answer or none.
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
                group.create_task(soak.break_things())
                group.create_task(soak.train(session))
                group.create_task(soak.call(session))
                group.create_task(soak.stream(session))
            print(dict(soak.seen))
            for kind in ("steps", "reads", "answers", "streams", "kill all", "store forgets"):
                assert soak.seen[kind] > 0, soak.seen

    asyncio.run(body())
