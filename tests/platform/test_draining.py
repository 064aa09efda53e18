"""A node that is stopped in calm: each request that it takes has an answer before the node ends."""

import asyncio
import signal
from collections import Counter
from pathlib import Path

import aiohttp

from .nodes import Nodes, config_document, job, running_nodes
from .scripted_target import ANSWERED, ScriptedTarget

# Of the test's nodes, see the bounds in their settings.
GRACE_S = 8.0
DEADLINE_MS = 20_000


class SlowTarget(ScriptedTarget):
    """A target that answers ``/plain/N`` after N seconds, and counts what it was sent."""

    def __init__(self) -> None:
        super().__init__()
        self.begun: Counter[str] = Counter()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                rows = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
                rows = {name.lower(): value for name, value in rows.items()}
                await reader.readexactly(int(rows.get("content-length", "0")))
                request_id = rows["x-request-id"]
                self.begun[request_id] += 1
                await asyncio.sleep(float(head.split()[1].rpartition("/")[2]))
                writer.write(ANSWERED.replace(b"%s", request_id.encode()))
        except (EOFError, OSError):
            pass
        finally:
            writer.close()


def draining_config() -> dict[str, object]:
    document = config_document()
    for route in document["routes"]:  # type: ignore[attr-defined]
        if route["name"] == "plain":
            route.update(kind="non_idempotent", timeoutMs=DEADLINE_MS)
    return document


async def send(
    session: aiohttp.ClientSession, nodes: Nodes, work_s: float, name: str, deadline_ms: int
) -> int:
    """Return the status of the answer, 0 if the connection ended without one."""
    headers = {"Host": "h.example", "X-Request-Id": name, "X-Deadline-Ms": str(deadline_ms)}
    url = f"http://{nodes.hosts[0]}:{nodes.front}/plain/{work_s}"
    try:
        async with session.post(url, data=b"x", headers=headers) as response:
            await response.read()
            return response.status
    except aiohttp.ClientError:
        return 0


def test_no_request_is_cut_without_an_answer_when_its_node_is_stopped(tmp_path: Path) -> None:
    """Guards against requests that are taken late in the grace period, passed on, and then cut.

    Those that could outlast the node are refused as not run, so that callers use another one.
    """

    async def body() -> None:
        async with running_nodes(1, tmp_path, config=draining_config()) as running:
            nodes, caller, store, _targets = running
            target = SlowTarget()
            server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            entry = {"service": "plain", "zone": "z", "slots": 50, "state": "ready", "born": 5}
            store.put("keyed.servers", "p-1", {**entry, "address": f"127.0.0.1:{port}"})
            headers = {"X-Request-Id": "first", "X-Deadline-Ms": "5000"}
            await caller.call("POST", "/plain/0", body=b"x", headers=headers)
            async with server, aiohttp.ClientSession() as session:
                early = asyncio.ensure_future(send(session, nodes, 30.0, "early", DEADLINE_MS))
                while not target.begun["early"]:
                    await asyncio.sleep(0.01)
                loop = asyncio.get_running_loop()
                ends_at_s = loop.time() + GRACE_S
                nodes.signal(nodes.hosts[0], signal.SIGTERM)
                late: dict[str, asyncio.Task[int]] = {}
                short: asyncio.Future[int] | None = None
                while loop.time() < ends_at_s - 2.0:
                    await asyncio.sleep(0.25)
                    if short is None and loop.time() > ends_at_s - GRACE_S / 2:
                        short = asyncio.ensure_future(send(session, nodes, 0.0, "short", 2000))
                    name = f"late-{len(late)}"
                    late[name] = asyncio.ensure_future(send(session, nodes, 6.0, name, DEADLINE_MS))
                statuses = {name: await task for name, task in late.items()}
                # A node that is already gone refuses the connection, which says that nothing ran.
                cut = [n for n, status in statuses.items() if status == 0 and target.begun[n]]
                refused = [name for name, status in statuses.items() if status == 503]
                assert cut == []
                assert await early == 502
                assert short is not None
                assert await short == 200
                assert f"late-{len(late) - 1}" in refused
                assert not any(target.begun[name] for name in refused)

    asyncio.run(body())


def test_a_job_that_was_accepted_is_not_called_not_run_by_a_draining_node(tmp_path: Path) -> None:
    """Guards against a trainer that is told that nothing of a job runs, while all of it does."""

    async def body() -> None:
        async with running_nodes(1, tmp_path, config=draining_config()) as running:
            nodes, caller, store, _targets = running
            target = SlowTarget()
            server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            entry = {"service": "plain", "zone": "z", "slots": 50, "state": "ready", "born": 5}
            store.put("keyed.servers", "p-1", {**entry, "address": f"127.0.0.1:{port}"})
            await caller.call("POST", "/plain/0", body=b"x", headers={"X-Request-Id": "first"})
            submission = {"Host": "h.example", "X-Request-Id": "b1"}
            content = job(2)
            await caller.call("POST", "/jobs/b1", status=202, body=content, headers=submission)
            url = f"http://{nodes.hosts[0]}:{nodes.front}/jobs/"
            async with server, aiohttp.ClientSession() as session:
                running_call = asyncio.ensure_future(
                    send(session, nodes, 30.0, "early", DEADLINE_MS)
                )
                while not target.begun["early"]:
                    await asyncio.sleep(0.01)
                nodes.signal(nodes.hosts[0], signal.SIGTERM)
                new_status = 0
                number = 2
                # Jobs that are new are refused once less time is left than they may take.
                while new_status != 503:
                    await asyncio.sleep(0.1)
                    headers = {**submission, "X-Request-Id": f"b{number}"}
                    new_job = job(2, f"b{number}")
                    async with session.post(
                        f"{url}b{number}", data=new_job, headers=headers
                    ) as response:
                        new_status = response.status
                    number += 1
                async with session.post(f"{url}b1", data=content, headers=submission) as response:
                    assert response.status == 202
                assert await running_call == 502

    asyncio.run(body())
