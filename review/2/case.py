"""A server gives some of its answers a second time, late; among them refusals of a full server."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from review.harness import (
    EXIT_BROKEN,
    EXIT_HELD,
    EXIT_NOT_RUN,
    PLAIN_ROUTE,
    WITH_TROUBLE,
    Parts,
    Server,
    configuration,
    main,
)

NODES = 3
CLIENTS = 12
DURATION_S = 40.0
# Share of the answers that one of the two servers gives twice, and how much later it does.
SECOND_ANSWER_SHARE = 0.03
SECOND_ANSWER_AFTER_S = (0.02, 0.1)
ONCE_ROUTE = {
    **PLAIN_ROUTE,
    "name": "quote-order",
    "pathPrefix": "/order/",
    "kind": "non_idempotent",
}
PROMISES = (408, 421, 429, 503)


def faulty(rng: random.Random) -> Callable[[int], float | None]:
    """Return the decision of a faulty server which of its answers come twice."""

    def second_answer_s(_status: int) -> float | None:
        return rng.uniform(*SECOND_ANSWER_AFTER_S) if rng.random() < SECOND_ANSWER_SHARE else None

    return second_answer_s


async def client_loop(parts: Parts, number: int, until_s: float, statuses: dict[str, int]) -> None:
    """Send one request after the other, each client attempt with an id of its own."""
    rng = random.Random(number)
    count = 0
    while time.monotonic() < until_s:
        count += 1
        for attempt in range(2):
            request_id = f"q{number}-{count}-{attempt}"
            headers = {"X-Request-Id": request_id, "X-Deadline-Ms": "2000"}
            answer = await parts.client.send(
                "POST", f"/order/{number}/{count}", body=b"order", headers=headers
            )
            statuses[request_id] = answer.status
            parts.record.add(f"client {request_id}: {answer.status} {answer.body[:140]!r}")
            if answer.status not in PROMISES:
                break
            await asyncio.sleep(float(answer.headers.get("Retry-After", "0.05")))
        await asyncio.sleep(rng.uniform(0.0, 0.05))


async def case(parts: Parts) -> int:
    """Return the exit code."""
    store, nodes, client, record, _tasks = parts
    store.put("keyed.op", "config", configuration(1, [PLAIN_ROUTE, ONCE_ROUTE]))
    servers = [Server(f"i-c{n}", "cotizador", record, slots=3) for n in range(2)]
    for server in servers:
        await server.start()
        store.put("keyed.servers", server.instance, server.entry())
    if WITH_TROUBLE:
        servers[0].second_answer_s = faulty(random.Random(3))
    await nodes.start()
    if not await client.wait_until_ready(25.0):
        record.say("the nodes were not ready in time")
        return EXIT_NOT_RUN
    statuses: dict[str, int] = {}
    until_s = time.monotonic() + DURATION_S
    await asyncio.gather(*(client_loop(parts, n, until_s, statuses) for n in range(CLIENTS)))
    await asyncio.sleep(1.0)
    for server in servers:
        server.crash()
    runs = Counter(run.request_id for server in servers for run in server.runs)
    twice = sorted(request_id for request_id, count in runs.items() if count > 1)
    denied = sorted(r for r, status in statuses.items() if status in PROMISES and runs[r])
    record.say(f"{len(statuses)} client attempts: {dict(Counter(statuses.values()))}")
    for request_id in twice:
        where = [
            f"{run.server} at {run.began_s:.3f}"
            for server in servers
            for run in server.runs
            if run.request_id == request_id
        ]
        record.add(f"{request_id} ran {runs[request_id]} times: {', '.join(where)}")
    own_second = set().union(*(server.answered_again for server in servers))
    foreign = [request_id for request_id in twice if request_id not in own_second]
    record.say(f"ran more than once: {len(twice)} {twice[:5]}")
    record.say(
        f"of these, no answer to the request itself came twice: {len(foreign)} {foreign[:5]}"
    )
    record.say(f"answered with a promise not to have run, and ran: {len(denied)} {denied[:5]}")
    if sum(status == 200 for status in statuses.values()) * 2 < len(statuses):
        record.say("fewer than half of the attempts were served")
        return EXIT_NOT_RUN
    if twice:
        record.say("TWICE is broken: requests that are not idempotent ran more than once")
    if denied:
        record.say("REFUSED is broken as well")
    return EXIT_BROKEN if twice or denied else EXIT_HELD


if __name__ == "__main__":
    main(Path(__file__).parent, NODES, case)
