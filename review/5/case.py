"""Items of a batch job bear a header that concerns only one connection.

Checked: a server runs only requests that a client sent, for the tenant that sent them.
"""

import asyncio
import json
import sys
from base64 import b64encode
from collections.abc import Mapping
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
GROUPS: Final = 5
SIZE: Final = 4
EVENTS: Final = 15
STEP_S: Final = 12.0
TENANTS: Final = {"georgia": "key-of-georgia", "alabama": "key-of-alabama"}
OWNER: Final = "georgia"
OTHER: Final = "alabama"
# The items whose headers say that their body is in chunks, which "Bodies are sent with a length or
# in chunks" allows of any request. The bodies of two of them are chunks, the third is plain text.
CHUNKED: Final = ("i-1-1", "i-3-2", "i-4-0")


def body_of(item_id: str) -> bytes:
    """Return the body of an item."""
    if item_id not in CHUNKED[:2]:
        return b"draw a panel"
    number = CHUNKED.index(item_id) + 1
    inner = (
        f"POST /balloon/other HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
        f"X-Request-Id: nobody-sent-this-{number}\r\nX-Tenant: {OTHER}\r\nX-Model: {MODEL}\r\n"
        "X-Token-Counts: 1016,960\r\nX-Prompt-Prefix: ab:1000,cd:16\r\nContent-Length: 0\r\n\r\n"
    )
    return b"0\r\n\r\n" + inner.encode()


def item(group: int, member: int) -> Mapping[str, Any]:
    """Return one item of the batch job."""
    item_id = f"i-{group}-{member}"
    headers = {
        "X-Model": MODEL,
        "X-Token-Counts": "1016,960",
        "X-Prompt-Prefix": f"{group:x}a:1000,{group:x}{member:x}:16",
    }
    if WITH_TROUBLE and item_id in CHUNKED:
        headers["Transfer-Encoding"] = "chunked"
    return {
        "id": item_id,
        "path": f"/balloon/{group}/{member}",
        "headers": headers,
        "body": b64encode(body_of(item_id)).decode(),
        "tokens": 1976,
        "group": f"g-{group}",
    }


async def read_results(parts: Parts, client: Client) -> int:
    """Read the results of the batch job as its trainer does; return how many there are."""
    count = 0
    until_s = parts.record.now_s() + STEP_S
    while count < GROUPS * SIZE and parts.record.now_s() < until_s:
        headers = {"X-Wait-Ms": "400", "Authorization": f"Bearer {TENANTS[OWNER]}"}
        answer = await client.send("GET", f"/v1/lots/job-1?after={count}", headers=headers)
        if answer.status != 200:
            await asyncio.sleep(0.2)
            continue
        page = json.loads(answer.body)["results"]
        count += len(page)
        for row in page:
            parts.record.add(f"job-1 lists {row['id']} as {row['state']}")
    return count


async def case(parts: Parts) -> int:
    """Submit one batch job, and look at what the servers ran."""
    seen: list[tuple[str, str]] = []

    def status_of(request: Request) -> int:
        seen.append((request.request_id, request.headers.get("x-tenant", "")))
        return 200

    servers = [
        Server(f"e-{n}", "panel-lm", ZONES[n % 3], parts.record, events=EVENTS)
        for n in range(ENGINES)
    ]
    parts.servers.extend(servers)
    for server in servers:
        server.on_request = status_of
        await server.start()
        parts.store.put("keyed.servers", server.instance, server.entry())
    routes = [
        route("balloon", "rollout", "panel-lm", resultDeadlineMs=7500, retentionS=60.0, priority=0)
    ]
    tenants = [{"name": name, "apiKeys": [key]} for name, key in TENANTS.items()]
    parts.store.put("keyed.op", "config", {**configuration(routes), "tenants": tenants})
    document = {
        "step": 0,
        "model": MODEL,
        "minVersion": 1,
        "targetGroups": GROUPS,
        "items": [item(group, member) for group in range(GROUPS) for member in range(SIZE)],
    }
    nodes = Nodes(NODES, parts.folder, parts.store.address, parts.record)
    client = Client(nodes)
    try:
        await nodes.start()
        if not await client.wait_until_ready():
            parts.record.say("the nodes are not ready")
            return EXIT_NOT_RUN
        job = json.dumps(document).encode()
        headers = {"X-Request-Id": "job-1", "Authorization": f"Bearer {TENANTS[OWNER]}"}
        answer = await client.send("POST", "/balloon/job", body=job, headers=headers)
        parts.record.say(f"the batch job was answered {answer.status}")
        if answer.status == 202:
            listed = await read_results(parts, client)
            await asyncio.sleep(1.0)
    finally:
        await client.close()
        await nodes.kill()
    if answer.status != 202:
        # A refused batch job has to leave no trace at a server.
        return EXIT_BROKEN if seen else EXIT_HELD
    sent = {f"i-{group}-{member}" for group in range(GROUPS) for member in range(SIZE)}
    foreign = [name for name, _tenant in seen if name not in sent]
    tenant = [name for name, tenant in seen if tenant != OWNER]
    parts.record.say(
        f"items={len(sent)} listed={listed} runs={len(seen)} of_ids_that_no_client_sent="
        f"{len(foreign)} for_another_tenant={len(tenant)}"
    )
    for name, tenant_name in seen:
        if name not in sent:
            parts.record.say(f"a server ran {name} for tenant {tenant_name!r}")
    if not WITH_TROUBLE and listed < len(sent):
        return EXIT_NOT_RUN
    return EXIT_BROKEN if foreign or tenant else EXIT_HELD


main(Path(__file__).parent, case)
