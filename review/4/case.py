"""Trainers of two tenants number the items of their batch jobs alike.

Checked: the text of a result is the output that servers made for that tenant's item.
"""

import asyncio
import json
import sys
from base64 import b64encode
from collections.abc import Mapping, Sequence
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
STEPS: Final = 3
GROUPS: Final = 5
SIZE: Final = 4
EVENTS: Final = 15
STEP_S: Final = 12.0
# The second trainer asks for its step this long after the first one.
STAGGER_S: Final = 2.0
KEYS: Final = {"georgia": "key-of-georgia", "alabama": "key-of-alabama"}


def item_id(tenant: str, step: int, group: int, member: int) -> str:
    """Return the id that a trainer gives to an item: its numbers, which are unique to the trainer.

    Without the trouble, the name of the tenant makes it unique to the whole deployment.
    """
    name = f"item-{step}-{group}-{member}"
    return name if WITH_TROUBLE else f"{tenant}-{name}"


def job(tenant: str, step: int) -> bytes:
    """Return the batch job of a step; the prompts name the tenant."""
    items = [
        {
            "id": item_id(tenant, step, group, member),
            "path": f"/balloon/{tenant}/{step}/{group}/{member}",
            "headers": {
                "X-Model": MODEL,
                "X-Token-Counts": "1016,960",
                "X-Prompt-Prefix": f"{tenant.encode().hex()[:6]}{step:x}{group:x}:1000,"
                f"{tenant.encode().hex()[:6]}{step:x}{group:x}{member:x}:16",
            },
            "body": b64encode(f"private prompt of {tenant}".encode()).decode(),
            "tokens": 1976,
            "group": f"g-{group}",
            "scoringEndpoint": {
                "id": f"r-{tenant}-{step}-{group}-{member}",
                "host": HOST_NAME,
                "path": f"/packet/{tenant}",
                "body": "3q2+7w==",
            },
        }
        for group in range(GROUPS)
        for member in range(SIZE)
    ]
    document = {
        "step": step,
        "model": MODEL,
        "minVersion": 1,
        "targetGroups": GROUPS,
        "items": items,
    }
    return json.dumps(document).encode()


async def run_step(parts: Parts, client: Client, tenant: str, step: int) -> Sequence[Any]:
    """Run one step as its trainer does; return its results."""
    job_id = f"job-{tenant}-{step}"
    key = {"Authorization": f"Bearer {KEYS[tenant]}"}
    headers = {**key, "X-Request-Id": job_id}
    answer = await client.send("POST", "/balloon/job", body=job(tenant, step), headers=headers)
    parts.record.add(f"{job_id} answered {answer.status}")
    results: list[Any] = []
    until_s = parts.record.now_s() + STEP_S
    while len(results) < GROUPS * SIZE and parts.record.now_s() < until_s:
        path = f"/v1/lots/{job_id}?after={len(results)}"
        answer = await client.send("GET", path, headers={**key, "X-Wait-Ms": "400"})
        if answer.status != 200:
            await asyncio.sleep(0.2)
            continue
        page = json.loads(answer.body)["results"]
        results.extend(page)
        for row in page:
            first = row["text"].partition("\n")[0]
            parts.record.add(f"{job_id} lists {row['id']} as {row['state']}: {first} ...")
    await client.send("DELETE", f"/v1/lots/{job_id}", headers=key)
    return results


async def case(parts: Parts) -> int:
    """Run the steps of both trainers, and compare the texts with what servers made."""
    servers = [
        Server(f"e-{n}", "panel-lm", ZONES[n % 3], parts.record, events=EVENTS)
        for n in range(ENGINES)
    ]
    runs: list[tuple[str, str]] = []

    def status_of(request: Request) -> int:
        runs.append((request.headers.get("x-tenant", ""), request.request_id))
        return 200

    for server in servers:
        server.on_request = status_of
        # What a server generates depends on the prompt.
        server.text_of = lambda request: f"{request.body.decode()} {request.request_id}"
    plain = [
        Server(f"p-{n}", "strip-wire", ZONES[n % 3], parts.record, slots=6, queue=24)
        for n in range(3)
    ]
    parts.servers.extend([*servers, *plain])
    for server in parts.servers:
        await server.start()
        parts.store.put("keyed.servers", server.instance, server.entry())
    routes = [
        route("balloon", "rollout", "panel-lm", resultDeadlineMs=7500, retentionS=60.0, priority=0),
        route(
            "packet",
            "idempotent",
            "strip-wire",
            timeoutMs=2000,
            targetLatencyMs=192,
            allowAnonymous=True,
        ),
    ]
    tenants = [{"name": name, "apiKeys": [key]} for name, key in KEYS.items()]
    parts.store.put("keyed.op", "config", {**configuration(routes), "tenants": tenants})
    nodes = Nodes(NODES, parts.folder, parts.store.address, parts.record)
    client = Client(nodes)
    results: dict[str, list[Any]] = {tenant: [] for tenant in KEYS}
    try:
        await nodes.start()
        if not await client.wait_until_ready():
            parts.record.say("the nodes are not ready")
            return EXIT_NOT_RUN
        for step in range(STEPS):
            for tenant in KEYS:
                results[tenant].extend(await run_step(parts, client, tenant, step))
                await asyncio.sleep(STAGGER_S / 2.0)
    finally:
        await client.close()
        await nodes.kill()
    return judge(parts, results, runs)


def judge(
    parts: Parts, results: Mapping[str, Sequence[Any]], runs: Sequence[tuple[str, str]]
) -> int:
    """Compare the texts of completed results with the output of their items."""
    wrong = []
    completed = 0
    for tenant, rows in results.items():
        for row in rows:
            if row["state"] != "completed":
                continue
            completed += 1
            piece = f"private prompt of {tenant} {row['id']}"
            whole = "\n".join(f"{piece}.{number}" for number in range(1, EVENTS + 1))
            if row["text"] != whole:
                wrong.append((tenant, row))
    ran = {tenant: len({name for owner, name in runs if owner == tenant}) for tenant in KEYS}
    parts.record.say(
        f"items={STEPS * GROUPS * SIZE * len(KEYS)} completed={completed} "
        f"items_that_ran_for_each_tenant={ran} texts_of_another_item={len(wrong)}"
    )
    for tenant, row in wrong[:5]:
        parts.record.say(f"{tenant} got for {row['id']}: {row['text'].partition(chr(10))[0]!r}")
    if completed < STEPS * GROUPS * SIZE:
        return EXIT_NOT_RUN
    return EXIT_BROKEN if wrong else EXIT_HELD


main(Path(__file__).parent, case)
