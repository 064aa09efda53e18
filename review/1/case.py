"""An unreadable entry of another writer in the servers' topic, and then the end of all nodes."""

import asyncio
import time
from pathlib import Path

from review.harness import (
    EXIT_BROKEN,
    EXIT_HELD,
    EXIT_NOT_RUN,
    PLAIN_ROUTE,
    RECOVERY_S,
    ROLLOUT_ROUTE,
    WITH_TROUBLE,
    Parts,
    Server,
    configuration,
    job,
    main,
)

NODES = 3
RATE_PER_S = 10.0
BEFORE_S = 6.0
AFTER_S = 10.0
DOWN_S = 1.0
# 2,000 opening brackets: no JSON document, but bytes that nobody can read.
UNREADABLE = b"[" * 2000


async def traffic(parts: Parts, duration_s: float, name: str) -> tuple[int, int]:
    """Send requests as clients do; return how many were sent and how many were served."""
    until_s = time.monotonic() + duration_s
    tasks = []
    number = 0
    while time.monotonic() < until_s:
        tasks.append(asyncio.ensure_future(request(parts, f"{name}-{number}", number)))
        number += 1
        await asyncio.sleep(1.0 / RATE_PER_S)
    served = sum(await asyncio.gather(*tasks))
    parts.record.say(f"{name}: {number} requests, {served} served")
    return number, served


async def request(parts: Parts, request_id: str, number: int) -> bool:
    """Send one idempotent request, with one retry, and return whether it was served."""
    for attempt in range(2):
        hosts = await parts.client.entries()
        if not hosts:
            parts.record.add(f"client {request_id}: no directory names a node")
            # The client has no new answer and uses the addresses that it knows.
            hosts = parts.nodes.hosts
        host = hosts[(number + attempt) % len(hosts)]
        attempt_id = f"{request_id}-{attempt}"
        headers = {"X-Request-Id": attempt_id, "X-Deadline-Ms": "2000"}
        answer = await parts.client.send(
            "POST", f"/quote/{number}", host=host, body=b"quote", headers=headers
        )
        parts.record.add(f"client {attempt_id} to {host}: {answer.status} {answer.body[:120]!r}")
        if answer.status == 200 and answer.body == b"answer to " + attempt_id.encode():
            return True
    return False


async def case(parts: Parts) -> int:
    """Return the exit code."""
    store, nodes, client, record, _tasks = parts
    store.put("keyed.op", "config", configuration(1, [PLAIN_ROUTE, ROLLOUT_ROUTE]))
    servers = [Server(f"i-c{n}", "cotizador", record, slots=6) for n in range(3)]
    engines = [Server(f"i-a{n}", "asesor", record, slots=12) for n in range(3)]
    for engine in engines:
        engine.events_of = lambda _request_id: 24
    for server in [*servers, *engines]:
        await server.start()
        store.put("keyed.servers", server.instance, server.entry())
    await nodes.start()
    if not await client.wait_until_ready(25.0):
        record.say("the nodes were not ready in time")
        return EXIT_NOT_RUN
    sent, served = await traffic(parts, BEFORE_S / 2, "before")
    if WITH_TROUBLE:
        key = b"i-other"
        entry = bytes([len(key)]) + key + UNREADABLE
        store._append_records("keyed.servers", [entry])
        record.say(f"another writer: servers/i-other holds {len(UNREADABLE)} unreadable bytes")
    more_sent, more_served = await traffic(parts, BEFORE_S / 2, "still before")
    sent, served = sent + more_sent, served + more_served
    headers = {"X-Request-Id": "lot-1"}
    answer = await client.send("POST", "/draft/1", body=job(6, 4, 5, "i"), headers=headers)
    record.say(f"the batch job lot-1 with 24 items is answered {answer.status}")
    store.put("keyed.op", "config", configuration(2, [PLAIN_ROUTE, ROLLOUT_ROUTE]))
    record.say("configuration 2 is acknowledged; final fault: all nodes are killed")
    await nodes.kill()
    await asyncio.sleep(DOWN_S)
    await nodes.start()
    record.say("all nodes are started again")
    await asyncio.sleep(RECOVERY_S)
    after_sent, after_served = await traffic(parts, AFTER_S, "after recoveryS")
    page = await client.send("GET", "/v1/lots/lot-1?after=0")
    record.say(f"lot-1 then: {page.status} {page.body[:90]!r}")
    ready = await client.wait_until_ready(0.5)
    record.say(f"all nodes ready {RECOVERY_S + AFTER_S:.0f} s after their start: {ready}")
    for server in [*servers, *engines]:
        server.crash()
    if 4 * served < sent:
        record.say("less than a quarter was served before the final fault")
        return EXIT_NOT_RUN
    if 4 * after_served < after_sent:
        record.say("RECOVER is broken: less than a quarter is served after recoveryS")
        return EXIT_BROKEN
    return EXIT_HELD


if __name__ == "__main__":
    main(Path(__file__).parent, NODES, case)
