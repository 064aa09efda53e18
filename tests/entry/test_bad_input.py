"""Invalid requests of callers over real HTTP: error kind, status, and whether anything ran."""

import asyncio
from collections.abc import Mapping
from typing import Any

import aiohttp
import pytest
from aiohttp import web

from samphirecleat.entry import _responses
from samphirecleat.errors import ANSWERS, ErrorKind
from samphirecleat.trial._fleet import Fleet
from tests.fleets import running_fleet, until

VALID_BODY = b'{"prompt": "a quote"}'
CALL_PATH = "/v1/services/cotizador/price"
GENERATE_PATH = "/v1/services/asesor/generate"
OWN_KEY_PREFIX = "OWN"
DEEPLY_NESTED = b'{"a":' + b"[" * 200_000

Case = tuple[str, Mapping[str, str], bytes, ErrorKind, str]
CASES: Mapping[str, Case] = {
    "no_json": (CALL_PATH, {}, b"}{", ErrorKind.MALFORMED, "no"),
    "no_object": (CALL_PATH, {}, b"[1]", ErrorKind.MALFORMED, "no"),
    "empty": (CALL_PATH, {}, b"", ErrorKind.MALFORMED, "no"),
    "no_utf8": (CALL_PATH, {}, b'{"a": "\xff"}', ErrorKind.MALFORMED, "no"),
    "deep": (CALL_PATH, {}, DEEPLY_NESTED, ErrorKind.MALFORMED, "no"),
    "oversized": (CALL_PATH, {}, b" " * 2_000_000, ErrorKind.BODY_TOO_LARGE, "no"),
    "oversized_own_key": (
        CALL_PATH,
        {"x-request-key": OWN_KEY_PREFIX},
        b" " * 2_000_000,
        ErrorKind.BODY_TOO_LARGE,
        "no",
    ),
    "stream_flag": (CALL_PATH, {}, b'{"stream": 3}', ErrorKind.MALFORMED, "no"),
    "no_prompt": (GENERATE_PATH, {}, b"{}", ErrorKind.MALFORMED, "no"),
    "max_tokens": (
        GENERATE_PATH,
        {},
        b'{"prompt": "", "max_tokens": "x"}',
        ErrorKind.MALFORMED,
        "no",
    ),
    "max_tokens_true": (
        GENERATE_PATH,
        {},
        b'{"prompt": "", "max_tokens": true}',
        ErrorKind.MALFORMED,
        "no",
    ),
    "service": ("/v1/services/nobody/price", {}, VALID_BODY, ErrorKind.UNKNOWN_SERVICE, "no"),
    "method": ("/v1/services/cotizador/nothing", {}, VALID_BODY, ErrorKind.UNKNOWN_METHOD, "no"),
    "path": ("/v1/nothing", {}, VALID_BODY, ErrorKind.UNKNOWN_METHOD, "no"),
    "verb": ("/v1/entries", {}, VALID_BODY, ErrorKind.MALFORMED, "no"),
    "deadline_past": (
        CALL_PATH,
        {"x-deadline-ms": "-5"},
        VALID_BODY,
        ErrorKind.DEADLINE_PASSED,
        "no",
    ),
    "deadline_zero": (
        CALL_PATH,
        {"x-deadline-ms": "0"},
        VALID_BODY,
        ErrorKind.DEADLINE_PASSED,
        "no",
    ),
    "deadline_text": (CALL_PATH, {"x-deadline-ms": "soon"}, VALID_BODY, ErrorKind.MALFORMED, "no"),
    "deadline_nan": (CALL_PATH, {"x-deadline-ms": "nan"}, VALID_BODY, ErrorKind.MALFORMED, "no"),
    "priority": (CALL_PATH, {"x-priority": "10"}, VALID_BODY, ErrorKind.MALFORMED, "no"),
    "priority_digit": (CALL_PATH, {"x-priority": "\u00b2"}, VALID_BODY, ErrorKind.MALFORMED, "no"),
    "idempotent": (CALL_PATH, {"x-idempotent": "maybe"}, VALID_BODY, ErrorKind.MALFORMED, "no"),
    "key": (CALL_PATH, {"x-request-key": "no key"}, VALID_BODY, ErrorKind.KEY_MALFORMED, "no"),
    "key_of_nobody": (
        CALL_PATH,
        {"x-request-key": "n9.abc.0.k"},
        VALID_BODY,
        ErrorKind.KEY_OWNER_GONE,
        "unknown",
    ),
    "key_of_an_earlier_incarnation": (
        CALL_PATH,
        {"x-request-key": "n1.abc.0.k"},
        VALID_BODY,
        ErrorKind.KEY_OWNER_GONE,
        "unknown",
    ),
    "foreign_key_bad_body": (
        CALL_PATH,
        {"x-request-key": "n9.abc.0.k"},
        b"}{",
        ErrorKind.MALFORMED,
        "unknown",
    ),
    "future_epoch": (
        CALL_PATH,
        {"x-request-key": OWN_KEY_PREFIX + "-9999"},
        VALID_BODY,
        ErrorKind.KEY_MALFORMED,
        "unknown",
    ),
}


def own_key(fleet: Fleet, text: str, unique: str) -> str:
    node = fleet.nodes[0]
    epoch = text.partition("-")[2] or "0"
    return f"{node.settings.node_id}.{node.board.identity.incarnation}.{epoch}.{unique}"


async def send(
    session: aiohttp.ClientSession, fleet: Fleet, name: str, case: Case
) -> tuple[int, Mapping[str, Any]]:
    path, headers, body, _kind, _ran = case
    sent = dict(headers)
    if sent.get("x-request-key", "").startswith(OWN_KEY_PREFIX):
        sent["x-request-key"] = own_key(fleet, sent["x-request-key"], name)
    url = f"http://{fleet.bootstrap[0]}{path}"
    async with session.post(url, data=body, headers=sent) as response:
        return response.status, await response.json()


def test_each_invalid_request_gets_its_error_kind_and_runs_nothing() -> None:
    """Without the right error kind, a caller would retry a request that can never succeed."""

    async def scenario() -> None:
        async with running_fleet(1) as fleet, aiohttp.ClientSession() as session:
            before = sum(len(server.runs) for server in fleet.plain)
            for name, case in CASES.items():
                status, answer = await send(session, fleet, name, case)
                _path, _headers, _body, kind, ran = case
                error = answer["error"]
                assert (name, error["kind"], error["ran"]) == (name, kind.value, ran)
                assert status == ANSWERS[kind].status
                assert fleet.nodes[0].board.refusals[kind.value] > 0
            assert sum(len(server.runs) for server in fleet.plain) == before
            assert not any(engine.runs for engine in fleet.engines)

    asyncio.run(scenario())


def test_body_without_room_is_refused_as_not_run_and_may_go_to_another_node() -> None:
    """Guards against a caller that gives up its request because one node is short of memory."""

    async def run() -> None:
        async with running_fleet(1) as fleet, aiohttp.ClientSession() as session:
            node = fleet.nodes[0]
            node.shared_limits.budget.hold(node.settings.bounds.request_bytes)
            url = f"http://{fleet.bootstrap[0]}{CALL_PATH}"
            async with session.post(url, data=b" " * 500_000) as response:
                error = (await response.json())["error"]
                assert (response.status, error["kind"], error["ran"]) == (503, "not_ready", "no")
                assert error["retry_at"] == "any_node"

    asyncio.run(run())


def test_key_rejected_for_its_body_never_runs_with_a_valid_body() -> None:
    """A request was refused as not run, and is sent again with the same key and a valid body."""

    async def scenario() -> None:
        async with running_fleet(1) as fleet, aiohttp.ClientSession() as session:
            headers = {"x-request-key": OWN_KEY_PREFIX}
            bad = (CALL_PATH, headers, b"}{", ErrorKind.MALFORMED, "no")
            good = (CALL_PATH, headers, VALID_BODY, ErrorKind.KEY_CONFLICT, "no")
            await send(session, fleet, "k", bad)
            status, answer = await send(session, fleet, "k", good)
            assert (status, answer["error"]["kind"]) == (409, "key_conflict")
            assert not any(server.runs for server in fleet.plain)

    asyncio.run(scenario())


def test_key_that_ran_is_never_reported_as_not_run() -> None:
    """A caller retries a request that ran, with an invalid header."""

    async def scenario() -> None:
        async with running_fleet(1) as fleet, aiohttp.ClientSession() as session:
            headers = {"x-request-key": OWN_KEY_PREFIX}
            good = (CALL_PATH, headers, VALID_BODY, ErrorKind.MALFORMED, "")
            late = (
                CALL_PATH,
                {**headers, "x-deadline-ms": "-1"},
                VALID_BODY,
                ErrorKind.MALFORMED,
                "",
            )
            status, first = await send(session, fleet, "k", good)
            assert status == 200
            status, refused = await send(session, fleet, "k", late)
            assert (status, refused["error"]["ran"]) == (400, "unknown")
            assert (await send(session, fleet, "k", good))[1] == first
            assert sum(len(server.runs) for server in fleet.plain) == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("with_key", [True, False])
def test_run_of_a_disconnected_caller_continues_only_with_a_key(with_key: bool) -> None:
    """With a key the run continues, since the caller may retry and ask for the answer.

    Without a key nobody can ask for it, so the engine is told to cancel the run.
    """

    async def scenario() -> None:
        async with running_fleet(1) as fleet, aiohttp.ClientSession() as session:
            for engine in fleet.engines:
                engine.token_s = 0.01
            headers = {"x-request-key": own_key(fleet, OWN_KEY_PREFIX, "k")} if with_key else {}
            body = {"prompt": "a quote", "max_tokens": 60}
            url = f"http://{fleet.bootstrap[0]}{GENERATE_PATH}"
            sending = asyncio.create_task(session.post(url, json=body, headers=headers))
            await until(lambda: any(run.spans for e in fleet.engines for run in e.runs))
            sending.cancel()
            (run,) = [run for engine in fleet.engines for run in engine.runs]
            await until(lambda: run.ended or run.cancelled)
            assert run.ended is with_key
            await until(lambda: fleet.nodes[0].callers.in_flight == 0)
            if with_key:
                async with session.post(url, json=body, headers=headers) as response:
                    answer = await response.json()
                assert answer["run_id"] == run.run_id
                assert answer["spans"] == [[0, 60]]

    asyncio.run(scenario())


class StuckResponse(web.StreamResponse):
    """A response whose reader reads only the first line."""

    async def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send the first line only."""
        if self.headers.get("x-stuck"):
            await asyncio.Event().wait()
        self.headers["x-stuck"] = "yes"
        await super().write(data)


async def open_stuck_stream(request: web.Request, _call: object) -> web.StreamResponse:
    response = StuckResponse()
    await response.prepare(request)
    return response


def test_stalled_reader_does_not_block_other_callers(monkeypatch: pytest.MonkeyPatch) -> None:
    """A caller requests a stream and reads only its first line.

    The generation still ends, other callers are served meanwhile, and the connection is
    closed shortly after the deadline, so that the node can shut down.
    """
    monkeypatch.setattr(_responses, "_open_stream", open_stuck_stream)
    monkeypatch.setattr(_responses, "SLOW_READER_GRACE_S", 0.2)

    async def scenario() -> None:
        async with running_fleet(1) as fleet, aiohttp.ClientSession() as session:
            callers = fleet.nodes[0].callers
            body = {"prompt": "a quote", "max_tokens": 30, "stream": True}
            url = f"http://{fleet.bootstrap[0]}"
            headers = {"x-deadline-ms": "1500"}
            async with session.post(url + GENERATE_PATH, json=body, headers=headers) as response:
                await response.content.readline()
                await until(lambda: any(run.ended for e in fleet.engines for run in e.runs))
                async with session.post(url + CALL_PATH, data=VALID_BODY) as other:
                    assert other.status == 200
                assert callers.in_flight > 0
                await until(lambda: callers.in_flight == 0)
                with pytest.raises(aiohttp.ClientError):
                    await response.read()

    asyncio.run(scenario())
