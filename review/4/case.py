"""Nodes are stopped and started in turn, each time the one that holds the duties of the services.

Checked: a process that gets SIGTERM ends no connection without a complete answer, if it has passed
the request on to a server.
"""

import asyncio
import json
import secrets
import sys
from base64 import b64encode
from collections import Counter, defaultdict
from collections.abc import Sequence
from pathlib import Path
from signal import SIGTERM
from typing import Final, NamedTuple

from aiohttp import web

sys.path.insert(0, str(Path(__file__).parents[2]))

from review import common_2
from review.common_2 import (
    EXIT_BROKEN,
    EXIT_HELD,
    EXIT_NOT_RUN,
    GRACE_S,
    MODEL,
    TOUCH_S,
    WITH_TROUBLE,
    ZONES,
    BoundedStore,
    Client,
    Nodes,
    Parts,
    Server,
    configuration,
    main,
    route,
)

NODES: Final = 6
SERVICES: Final = 12
PLAIN_SERVERS: Final = 8
GROUPS: Final = 12
SIZE: Final = 4
EVENTS: Final = 24
# With its name, an event has about 350 bytes, as in the site file.
EVENT_NOISE_BYTES: Final = 165
STEP_S: Final = 12.0
CALLS_PER_S: Final = 100.0
CALL_WORK_S: Final = 0.2
CALL_DEADLINE_MS: Final = 2000
# roll_term of the site file stops one machine each 1.0 to 2.0 s; this stops one each 3.5 s.
ROUND_S: Final = 3.5
LAST_ROUND_S: Final = 88.0
# "800 writing and 2,000 reading calls a second, 4 ms an answer", appendMs 1.0, partitionMbS 20.
STORE_ANSWER_S: Final = 0.004
APPEND_S: Final = 0.001
PARTITION_BYTES_PER_S: Final = 20_000_000


class PacedStore(BoundedStore):
    """The stand-in of the store, as fast as the sheet says."""

    def __init__(self) -> None:
        """Start without records."""
        super().__init__()
        self._partitions: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)

    async def _append(self, request: web.Request) -> web.StreamResponse:
        await asyncio.sleep(STORE_ANSWER_S / 2.0)
        size_bytes = len(await request.read())
        async with self._partitions[request.query["topic"]]:
            await asyncio.sleep(APPEND_S + size_bytes / PARTITION_BYTES_PER_S)
            response = await super()._append(request)
        await asyncio.sleep(STORE_ANSWER_S / 2.0)
        return response

    async def _read(self, request: web.Request) -> web.StreamResponse:
        await asyncio.sleep(STORE_ANSWER_S / 2.0)
        response = await super()._read(request)
        await asyncio.sleep(STORE_ANSWER_S / 2.0)
        return response


class Text(str):
    """The name of an item; each event that quotes it has other content, as texts do."""

    def __format__(self, spec: str) -> str:
        """Return the name and new content."""
        return f"{self!s}-{secrets.token_hex(EVENT_NOISE_BYTES)}"


class Outcome(NamedTuple):
    """What became of a call: its node, when it was sent and ended, and the status, 0 for none."""

    request_id: str
    host: str
    sent_s: float
    ended_s: float
    status: int
    detail: str


class Stop(NamedTuple):
    """A node that was stopped: when it got SIGTERM, when its process ended, and how."""

    host: str
    duties: int
    sent_s: float
    ended_s: float
    code: int


class Directory:
    """The addresses that the nodes give to their clients, asked for again when they expire."""

    def __init__(self, client: Client, nodes: Nodes) -> None:
        """Start with every node."""
        self._client = client
        self._nodes = nodes
        self.hosts: Sequence[str] = nodes.hosts

    async def follow(self) -> None:
        """Ask again each time that the last answer has expired."""
        while True:
            pause_s = 0.2
            for host in self._client.rng.sample(self._nodes.hosts, 3):
                path = "/v1/resolve?name=strips.example&region=ga-central&zone=macon-a"
                answer = await self._client.send(
                    "GET", path, host=host, port=self._nodes.directory, timeout_s=1.0
                )
                if answer.status == 200:
                    row = json.loads(answer.body)
                    self.hosts = [address.partition(":")[0] for address in row["addresses"]]
                    pause_s = float(row["ttlS"])
                    break
            await asyncio.sleep(pause_s)


async def send_calls(
    parts: Parts, client: Client, directory: Directory, outcomes: list[Outcome]
) -> None:
    """Send calls at a steady rate, each on a new connection to one of the addresses."""

    async def call(request_id: str) -> None:
        host = client.rng.choice(directory.hosts)
        sent_s = parts.record.now_s()
        headers = {"X-Request-Id": request_id, "X-Deadline-Ms": str(CALL_DEADLINE_MS)}
        answer = await client.send(
            "POST", f"/packet/{request_id}", host=host, body=b"order", headers=headers
        )
        ended_s = parts.record.now_s()
        detail = answer.body.decode(errors="replace")[:120] if not answer.status else ""
        outcomes.append(Outcome(request_id, host, sent_s, ended_s, answer.status, detail))
        parts.record.add(f"{request_id} sent at {sent_s:.3f} to {host}: {answer.status} {detail}")

    calls: set[asyncio.Task[None]] = set()
    number = 0
    while True:
        number += 1
        task = asyncio.ensure_future(call(f"q-{number}"))
        calls.add(task)
        task.add_done_callback(calls.discard)
        await asyncio.sleep(1.0 / CALLS_PER_S)


def batch_job(service: int, step: int) -> bytes:
    """Return the batch job of a step."""
    items = [
        {
            "id": f"i-{service}-{step}-{group}-{member}",
            "path": f"/draft-{service}/{step}/{group}",
            "headers": {"X-Model": MODEL, "X-Token-Counts": f"1016,{EVENTS * 64}"},
            "body": b64encode(b"a prompt").decode(),
            "tokens": 1016 + EVENTS * 64,
            "group": f"g-{step}-{group}",
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


async def train(parts: Parts, client: Client, service: int) -> None:
    """Run one step after the other, as the trainer of a service."""
    step = 0
    while True:
        job_id = f"job-{service}-{step}"
        await client.submit(f"/draft-{service}/job", job_id, batch_job(service, step))
        read = 0
        until_s = parts.record.now_s() + STEP_S
        while read < GROUPS * SIZE and parts.record.now_s() < until_s:
            path = f"/v1/lots/{job_id}?after={read}"
            answer = await client.send("GET", path, headers={"X-Wait-Ms": "1000"})
            if answer.status == 200:
                read = json.loads(answer.body)["nextToken"]
            await asyncio.sleep(0.3)
        parts.record.add(f"{job_id} read {read} of {GROUPS * SIZE}")
        await client.send("DELETE", f"/v1/lots/{job_id}")
        step += 1


def holders(nodes: Nodes) -> Counter[str]:
    """Return how many duties each node holds, by what the nodes log; only to choose a node."""
    taken = []
    for line in nodes.log_lines(" taken fencing="):
        host, _, entry = line.partition(": ")
        row = json.loads(entry)
        subject = row["message"].partition("subject=")[2].partition(" ")[0]
        taken.append((row["time_s"], subject, host))
    return Counter({subject: host for _time_s, subject, host in sorted(taken)}.values())


def cut_calls(
    parts: Parts, outcomes: Sequence[Outcome], stops: Sequence[Stop]
) -> Sequence[Outcome]:
    """Return the calls that ran and whose node, which got SIGTERM, gave no answer in time."""
    ran = {run.request_id for server in parts.servers for run in server.runs}
    return [
        outcome
        for outcome in outcomes
        if outcome.status == 0
        and outcome.request_id in ran
        and outcome.ended_s - outcome.sent_s < CALL_DEADLINE_MS / 1000.0 - 0.1
        and any(
            stop.host == outcome.host and stop.sent_s <= outcome.ended_s <= stop.ended_s + 0.5
            for stop in stops
        )
    ]


async def stop_in_turn(
    parts: Parts, nodes: Nodes, outcomes: Sequence[Outcome], stops: list[Stop]
) -> None:
    """Stop the node that holds the most duties, and start it again once it has ended.

    Ends when a call was cut, or with the time.
    """

    async def restart(host: str, duties: int) -> None:
        sent_s = parts.record.now_s()
        nodes.send_signal(host, SIGTERM)
        async with asyncio.timeout(GRACE_S + 1.0):
            code = await nodes.wait(host)
        stop = Stop(host, duties, sent_s, parts.record.now_s(), code)
        stops.append(stop)
        parts.record.say(
            f"node {host} with {duties} duties ended {stop.ended_s - sent_s:.2f} s after SIGTERM, "
            f"exit code {code}"
        )
        await nodes.start_one(host)

    restarts: dict[str, asyncio.Task[None]] = {}
    while parts.record.now_s() < LAST_ROUND_S and not cut_calls(parts, outcomes, stops):
        ranked = holders(nodes).most_common()
        host, duties = next(
            ((h, n) for h, n in ranked if h not in restarts or restarts[h].done()), ("", 0)
        )
        if host:
            restarts[host] = asyncio.ensure_future(restart(host, duties))
        await asyncio.sleep(ROUND_S)
    await asyncio.gather(*restarts.values())


async def play(
    parts: Parts, nodes: Nodes, client: Client, outcomes: list[Outcome], stops: list[Stop]
) -> bool:
    """Let clients and trainers work while nodes are stopped; False if the nodes are not ready."""
    if not await client.wait_until_ready():
        return False
    directory = Directory(client, nodes)
    work = [directory.follow(), send_calls(parts, client, directory, outcomes)]
    work += [train(parts, client, service) for service in range(SERVICES)]
    tasks = [asyncio.ensure_future(coroutine) for coroutine in work]
    try:
        # Nothing else happens, from the time that the rule looks at before the requests.
        await asyncio.sleep(TOUCH_S + 3.0)
        if WITH_TROUBLE:
            await stop_in_turn(parts, nodes, outcomes, stops)
        else:
            await asyncio.sleep(40.0)
        await asyncio.sleep(CALL_DEADLINE_MS / 1000.0)
    finally:
        for task in tasks:
            task.cancel()
    return True


def judge(parts: Parts, nodes: Nodes, outcomes: Sequence[Outcome], stops: Sequence[Stop]) -> int:
    """Count the calls that ran and whose node ended the connection without an answer."""
    cut = cut_calls(parts, outcomes, stops)
    early = [stop for stop in stops if stop.code != 0]
    statuses = Counter(outcome.status for outcome in outcomes)
    parts.record.say(
        f"calls={len(outcomes)} by status={dict(statuses)} stopped={len(stops)} "
        f"ended_with_an_error={len(early)} ran_and_cut={len(cut)}"
    )
    for outcome in cut[:5]:
        parts.record.say(
            f"{outcome.request_id} to {outcome.host}, {outcome.ended_s - outcome.sent_s:.2f} s "
            f"after it was sent: {outcome.detail}"
        )
    for line in nodes.log_lines("KeyError")[:3]:
        parts.record.say(line[:200])
    if statuses[200] < 100:
        return EXIT_NOT_RUN
    return EXIT_BROKEN if cut else EXIT_HELD


async def case(parts: Parts) -> int:
    """Start the deployment, play, and judge."""
    plain = [
        Server(
            f"p-{n}",
            "strip-wire",
            ZONES[n % 3],
            parts.record,
            slots=6,
            queue=24,
            work_s=CALL_WORK_S,
        )
        for n in range(PLAIN_SERVERS)
    ]
    engines = [
        Server(f"e-{s}", f"draft-lm-{s}", ZONES[s % 3], parts.record, slots=12, events=EVENTS)
        for s in range(SERVICES)
    ]
    parts.servers.extend([*plain, *engines])
    for server in parts.servers:
        server.text_of = lambda request: Text(request.request_id)
        await server.start()
        parts.store.put("keyed.servers", server.instance, server.entry())
    routes = [route("packet", "idempotent", "strip-wire", timeoutMs=CALL_DEADLINE_MS)]
    routes += [
        route(f"draft-{s}", "rollout", f"draft-lm-{s}", resultDeadlineMs=7500, retentionS=60.0)
        for s in range(SERVICES)
    ]
    config = dict(configuration(routes))
    engine, strip_wire = config["services"]
    config["services"] = [
        strip_wire,
        *({**engine, "name": f"draft-lm-{s}"} for s in range(SERVICES)),
    ]
    parts.store.put("keyed.op", "config", config)
    nodes = Nodes(NODES, parts.folder, parts.store.address, parts.record)
    client = Client(nodes)
    outcomes: list[Outcome] = []
    stops: list[Stop] = []
    try:
        await nodes.start()
        if not await play(parts, nodes, client, outcomes, stops):
            parts.record.say("the nodes are not ready")
            return EXIT_NOT_RUN
        return judge(parts, nodes, outcomes, stops)
    finally:
        await client.close()
        await nodes.kill()


# The shared ``main`` starts the store by this name.
common_2.BoundedStore = PacedStore  # type: ignore[misc]
main(Path(__file__).parent, case)
