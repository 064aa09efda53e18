"""A trainer allows its items many more output tokens than they use, and sends no length hints.

Checked: the step does not run out of time while items of it are at no server for 5 s, with most
places of the servers free.
"""

import asyncio
import json
import sys
from base64 import b64encode
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, Final, NamedTuple

sys.path.insert(0, str(Path(__file__).parents[2]))

from review.common_2 import (
    EXIT_BROKEN,
    EXIT_HELD,
    EXIT_NOT_RUN,
    HOST_NAME,
    MODEL,
    TOUCH_S,
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

# The sheet of Los Aromos: 5 engines with 12 places and 44,918 tokens each; a batch job has 24
# groups of 4 items with 271 tokens in and 24 events out, of which the trainer waits for 90 %, due
# in 7.5 s, and its deadline is 12 s.
NODES: Final = 3
ENGINES: Final = 5
SLOTS: Final = 12
MEMORY_TOKENS: Final = 44_918
TOKENS_PER_EVENT: Final = 64
GROUPS: Final = 24
SIZE: Final = 4
WANTED_GROUPS: Final = 22
EVENTS: Final = 24
EVENT_S: Final = 0.04
PROMPT_TOKENS: Final = 271
DUE_S: Final = 7.5
DEADLINE_S: Final = 12.0
# What an item may use at most. With the trouble it is far more than it does use, and still less
# than the memory of a server; without, it is what it uses.
MAX_TOKENS: Final = 32_768 if WITH_TROUBLE else EVENTS * TOKENS_PER_EVENT
WAITED_S: Final = 5.0


class Stay(NamedTuple):
    """A request at a server: from its arrival to its end."""

    request_id: str
    from_s: float
    to_s: float


class Engine(Server):
    """A server that notes how long each request is there; ``stays`` are those that have ended."""

    def __init__(self, *args: Any, **options: Any) -> None:
        """Create an engine of the sheet."""
        super().__init__(*args, **options)
        self.stays: list[Stay] = []

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> bytes:
        from_s = self.record.now_s()
        try:
            return await super()._answer(request, writer)
        finally:
            if request.request_id:
                self.stays.append(Stay(request.request_id, from_s, self.record.now_s()))


def item_ids() -> Sequence[str]:
    """Return the ids of all items."""
    return [f"i-{group}-{member}" for group in range(GROUPS) for member in range(SIZE)]


def batch_job() -> bytes:
    """Return the batch job of the step, with items like that of the example in PROTOCOL.md."""
    items = [
        {
            "id": item_id,
            "path": f"/draft/{item_id}",
            "headers": {
                "X-Model": MODEL,
                "X-Token-Counts": f"{PROMPT_TOKENS},{MAX_TOKENS}",
                "X-Prompt-Prefix": f"{number // SIZE + 1:04x}:255,{number + 4096:04x}:16",
            },
            "body": b64encode(f"prompt of {item_id}".encode()).decode(),
            "tokens": PROMPT_TOKENS + MAX_TOKENS,
            "group": f"g-{number // SIZE}",
        }
        for number, item_id in enumerate(item_ids())
    ]
    document = {
        "step": 0,
        "model": MODEL,
        "minVersion": 1,
        "targetGroups": WANTED_GROUPS,
        "items": items,
    }
    return json.dumps(document).encode()


def whole_groups(results: Sequence[Mapping[str, Any]]) -> int:
    """Return the number of groups of which all items are listed."""
    listed = {row["id"] for row in results}
    return sum(
        all(f"i-{group}-{member}" in listed for member in range(SIZE)) for group in range(GROUPS)
    )


async def run_step(parts: Parts, client: Client) -> tuple[float, float, int]:
    """Run the step as its trainer does; return when it was accepted and ended, and its groups."""
    if not await client.submit("/draft/job", "job-0", batch_job()):
        return 0.0, 0.0, 0
    accepted_s = parts.record.now_s()
    parts.record.say(f"batch job accepted at {accepted_s:.2f} s, X-Token-Counts max {MAX_TOKENS}")
    results: list[Any] = []
    while whole_groups(results) < WANTED_GROUPS:
        left_s = accepted_s + DEADLINE_S - parts.record.now_s()
        if left_s <= 0.0:
            break
        answer = await client.send(
            "GET", f"/v1/lots/job-0?after={len(results)}", headers={"X-Wait-Ms": "500"}
        )
        if answer.status == 200:
            results.extend(json.loads(answer.body)["results"])
        await asyncio.sleep(0.1)
    ended_s = parts.record.now_s()
    await client.send("DELETE", "/v1/lots/job-0")
    return accepted_s, ended_s, whole_groups(results)


def judge(
    parts: Parts, engines: Sequence[Engine], accepted_s: float, ended_s: float, groups: int
) -> int:
    """Apply the rule: the step ran out of time, an item was at no server, and these had room."""
    stays = [stay for engine in engines for stay in engine.stays]
    finished = {name for engine in engines for name, _status in engine.answers}
    # The last 5 s before the trainer gave up; nothing was disrupted and no version was named.
    from_s = ended_s - WAITED_S
    waiting = [
        item_id
        for item_id in item_ids()
        if item_id not in finished
        and not any(s.request_id == item_id and s.to_s > from_s for s in stays)
    ]
    moments = [from_s + WAITED_S * step / 500.0 for step in range(501)]
    most = max(sum(s.from_s <= at_s < s.to_s for s in stays) for at_s in moments)
    begun = len({stay.request_id for stay in stays})
    parts.record.say(
        f"the trainer has {groups} of {WANTED_GROUPS} groups {ended_s - accepted_s:.2f} s after "
        f"the 202; items={GROUPS * SIZE} begun={begun} finished={len(finished)} "
        f"at_no_server_for_5_s={len(waiting)} most_places_taken_then={most} of {ENGINES * SLOTS}"
    )
    late = groups < WANTED_GROUPS
    has_room = most < ENGINES * SLOTS / 2
    return EXIT_BROKEN if late and waiting and begun and has_room else EXIT_HELD


async def case(parts: Parts) -> int:
    """Start the deployment, run one step, and judge."""
    engines = [
        Engine(
            f"e-{n}",
            "panel-lm",
            ZONES[n % 3],
            parts.record,
            slots=SLOTS,
            events=EVENTS,
            event_s=EVENT_S,
        )
        for n in range(ENGINES)
    ]
    parts.servers.extend(engines)
    for server in engines:
        await server.start()
        parts.store.put("keyed.servers", server.instance, server.entry())
    routes = [route("draft", "rollout", "panel-lm", resultDeadlineMs=int(DUE_S * 1000))]
    routes[0] = {**routes[0], "retentionS": 40.0, "priority": 0}
    config = dict(configuration(routes))
    engine, strip_wire = config["services"]
    spec = {**engine["engine"], "slots": SLOTS, "kvCacheTokens": MEMORY_TOKENS}
    config["services"] = [{**engine, "engine": {**spec, "stride": TOKENS_PER_EVENT}}, strip_wire]
    parts.store.put("keyed.op", "config", config)
    nodes = Nodes(NODES, parts.folder, parts.store.address, parts.record)
    client = Client(nodes)
    try:
        await nodes.start()
        if not await client.wait_until_ready():
            parts.record.say("the nodes are not ready")
            return EXIT_NOT_RUN
        await asyncio.sleep(TOUCH_S + 2.0)
        accepted_s, ended_s, groups = await run_step(parts, client)
        if not accepted_s:
            parts.record.say(f"the batch job was not accepted at {HOST_NAME}")
            return EXIT_NOT_RUN
        return judge(parts, engines, accepted_s, ended_s, groups)
    finally:
        await client.close()
        await nodes.kill()


main(Path(__file__).parent, case)
