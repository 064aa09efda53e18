"""Servers give 3 % of their answers a second time, late; some items fail at their first two runs.

Checked: an item is listed as dead only after ``maxAttempts`` answers of 500.
"""

import asyncio
import json
import random
import sys
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final

sys.path.insert(0, str(Path(__file__).parents[2]))

from review.common_2 import (
    EXIT_BROKEN,
    EXIT_HELD,
    EXIT_NOT_RUN,
    HOST_NAME,
    MODEL,
    WITH_TROUBLE,
    ZONES,
    Client,
    Nodes,
    Parts,
    Request,
    Server,
    configuration,
    main,
    route,
)

NODES: Final = 3
ENGINES: Final = 6
STEPS: Final = 23
STEP_INTERVAL_S: Final = 4.0
TRAINERS: Final = 3
# Groups of 4 items with 24 events, as the dialect-rollout of the sheet, but fewer of them: the
# items of all three trainers fit into the 72 slots.
GROUPS: Final = 5
SIZE: Final = 4
EVENTS: Final = 24
MAX_ATTEMPTS: Final = 3
RETENTION_S: Final = 60.0
STEP_S: Final = 12.0
# The largest dose of the site file: { kind = "garble", how = "extra late", share = 0.6, x = 0.03 }
REPEATED_SHARE: Final = 0.03
FAULTY_ENGINES: Final = 3
# Runs of an item that end with 500, before one succeeds, and how long each of them takes.
FAILED_RUNS: Final = 2
FAILED_RUN_S: Final = 0.2


def is_failing(item_id: str) -> bool:
    """Return whether the item fails at its first runs: one in each group does."""
    group, member = item_id.split("-")[-2:]
    return int(group) % SIZE == int(member)


def job(number: int, trainer: int) -> bytes:
    """Return the batch job of a step."""
    items = [
        {
            "id": f"i-{trainer}-{number}-{group}-{member}",
            "path": f"/balloon/{group}/{member}",
            "headers": {
                "X-Model": MODEL,
                "X-Token-Counts": "1016,960",
                "X-Prompt-Prefix": f"{trainer:x}{number:04x}{group:x}:1000,{member:x}{group:x}:16",
            },
            "body": "q83vEjRWeJA=",
            "tokens": 1976,
            "group": f"g-{trainer}-{number}-{group}",
            "scoringEndpoint": {
                "id": f"r-{trainer}-{number}-{group}-{member}",
                "host": HOST_NAME,
                "path": f"/packet/{group}",
                "body": "3q2+7w==",
            },
        }
        for group in range(GROUPS)
        for member in range(SIZE)
    ]
    document = {
        "step": number,
        "model": MODEL,
        "minVersion": 1,
        "targetGroups": GROUPS,
        "items": items,
    }
    return json.dumps(document).encode()


async def run_step(parts: Parts, client: Client, number: int, trainer: int) -> Sequence[Any]:
    """Run one step as its trainer does; return its results."""
    job_id = f"job-{trainer}-{number}"
    if not await client.submit("/balloon/job", job_id, job(number, trainer)):
        parts.record.say(f"{job_id} was not accepted")
        return []
    parts.record.add(f"{job_id} accepted")
    results: list[Any] = []
    until_s = parts.record.now_s() + STEP_S
    while len(results) < GROUPS * SIZE and parts.record.now_s() < until_s:
        answer = await client.send(
            "GET", f"/v1/lots/{job_id}?after={len(results)}", headers={"X-Wait-Ms": "400"}
        )
        if answer.status == 200:
            page = json.loads(answer.body)["results"]
            results.extend(page)
            for row in page:
                parts.record.add(f"{job_id} lists {row['id']} as {row['state']}")
        else:
            await asyncio.sleep(0.2)
    await client.send("DELETE", f"/v1/lots/{job_id}")
    return results


async def case(parts: Parts) -> int:
    """Run the steps of three trainers and check what is listed as dead."""
    rng = random.Random()
    servers = [
        Server(f"e-{n}", "panel-lm", ZONES[n % 3], parts.record, events=EVENTS)
        for n in range(ENGINES)
    ]
    runs: Counter[str] = Counter()

    def status_of(request: Request) -> int:
        runs[request.request_id] += 1
        fails = is_failing(request.request_id) and runs[request.request_id] <= FAILED_RUNS
        return 500 if fails else 200

    for server in servers:
        server.on_request = status_of
        server.work_s = FAILED_RUN_S
    if WITH_TROUBLE:

        def repeats(_request: Request, _status: int) -> bool:
            return rng.random() < REPEATED_SHARE

        for server in servers[:FAULTY_ENGINES]:
            server.repeats = repeats
    plain = [
        Server(f"p-{n}", "strip-wire", ZONES[n % 3], parts.record, slots=6, queue=24)
        for n in range(3)
    ]
    parts.servers.extend([*servers, *plain])
    for server in parts.servers:
        await server.start()
        parts.store.put("keyed.servers", server.instance, server.entry())
    routes = [
        route(
            "balloon",
            "rollout",
            "panel-lm",
            timeoutMs=10000,
            resultDeadlineMs=7500,
            retentionS=RETENTION_S,
            maxAttempts=MAX_ATTEMPTS,
            priority=0,
        ),
        route("packet", "idempotent", "strip-wire", timeoutMs=2000, targetLatencyMs=192),
    ]
    parts.store.put("keyed.op", "config", configuration(routes))
    nodes = Nodes(NODES, parts.folder, parts.store.address, parts.record)
    client = Client(nodes)
    try:
        await nodes.start()
        if not await client.wait_until_ready():
            parts.record.say("the nodes are not ready")
            return EXIT_NOT_RUN
        steps = []
        for number in range(STEPS):
            for trainer in range(TRAINERS):
                work = run_step(parts, client, number, trainer)
                steps.append(asyncio.ensure_future(work))
            await asyncio.sleep(STEP_INTERVAL_S)
        listed = [row for results in await asyncio.gather(*steps) for row in results]
    finally:
        await client.close()
        await nodes.kill()
        for line in nodes.log_lines("Traceback"):
            parts.record.say(line)
    failed = Counter(name for server in servers for name, status in server.answers if status == 500)
    second = sum(len(server.repeated) for server in servers)
    dead = [row["id"] for row in listed if row["state"] == "dead"]
    early = [item for item in dead if failed[item] < MAX_ATTEMPTS]
    parts.record.say(
        f"items={STEPS * TRAINERS * GROUPS * SIZE} listed={len(listed)} dead={len(dead)} "
        f"answers_500={failed.total()} second_answers={second}"
    )
    for item in early:
        parts.record.say(
            f"{item} is dead after {failed[item]} answers of 500, maxAttempts is {MAX_ATTEMPTS}"
        )
    if not failed or (WITH_TROUBLE and not second):
        return EXIT_NOT_RUN
    return EXIT_BROKEN if early else EXIT_HELD


main(Path(__file__).parent, case)
