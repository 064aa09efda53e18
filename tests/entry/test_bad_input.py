"""Bad input of callers over real HTTP, each with its kind, its status and what ran."""

import asyncio
from collections.abc import Mapping
from typing import Any

import aiohttp
import pytest
from aiohttp import web

from samphirecleat.entry import _answers
from samphirecleat.errors import ANSWERS, ErrorKind
from samphirecleat.trial._fleet import Fleet
from tests.fleets import running_fleet, until

GOOD = b'{"prompt": "a quote"}'
CALL = "/v1/services/cotizador/price"
GENERATE = "/v1/services/asesor/generate"
OWN_KEY = "OWN"
DEEP = b'{"a":' + b"[" * 200_000

Case = tuple[str, Mapping[str, str], bytes, ErrorKind, str]
CASES: Mapping[str, Case] = {
    "no_json": (CALL, {}, b"}{", ErrorKind.MALFORMED, "no"),
    "no_object": (CALL, {}, b"[1]", ErrorKind.MALFORMED, "no"),
    "empty": (CALL, {}, b"", ErrorKind.MALFORMED, "no"),
    "no_utf8": (CALL, {}, b'{"a": "\xff"}', ErrorKind.MALFORMED, "no"),
    "deep": (CALL, {}, DEEP, ErrorKind.MALFORMED, "no"),
    "oversized": (CALL, {}, b" " * 2_000_000, ErrorKind.BODY_TOO_LARGE, "no"),
    "oversized_own_key": (
        CALL,
        {"x-request-key": OWN_KEY},
        b" " * 2_000_000,
        ErrorKind.BODY_TOO_LARGE,
        "no",
    ),
    "stream_flag": (CALL, {}, b'{"stream": 3}', ErrorKind.MALFORMED, "no"),
    "no_prompt": (GENERATE, {}, b"{}", ErrorKind.MALFORMED, "no"),
    "max_tokens": (GENERATE, {}, b'{"prompt": "", "max_tokens": "x"}', ErrorKind.MALFORMED, "no"),
    "max_tokens_true": (
        GENERATE,
        {},
        b'{"prompt": "", "max_tokens": true}',
        ErrorKind.MALFORMED,
        "no",
    ),
    "service": ("/v1/services/nobody/price", {}, GOOD, ErrorKind.UNKNOWN_SERVICE, "no"),
    "method": ("/v1/services/cotizador/nothing", {}, GOOD, ErrorKind.UNKNOWN_METHOD, "no"),
    "path": ("/v1/nothing", {}, GOOD, ErrorKind.UNKNOWN_METHOD, "no"),
    "verb": ("/v1/entries", {}, GOOD, ErrorKind.MALFORMED, "no"),
    "deadline_past": (CALL, {"x-deadline-ms": "-5"}, GOOD, ErrorKind.DEADLINE_PASSED, "no"),
    "deadline_zero": (CALL, {"x-deadline-ms": "0"}, GOOD, ErrorKind.DEADLINE_PASSED, "no"),
    "deadline_text": (CALL, {"x-deadline-ms": "soon"}, GOOD, ErrorKind.MALFORMED, "no"),
    "deadline_nan": (CALL, {"x-deadline-ms": "nan"}, GOOD, ErrorKind.MALFORMED, "no"),
    "priority": (CALL, {"x-priority": "10"}, GOOD, ErrorKind.MALFORMED, "no"),
    "priority_digit": (CALL, {"x-priority": "\u00b2"}, GOOD, ErrorKind.MALFORMED, "no"),
    "idempotent": (CALL, {"x-idempotent": "maybe"}, GOOD, ErrorKind.MALFORMED, "no"),
    "key": (CALL, {"x-request-key": "no key"}, GOOD, ErrorKind.KEY_MALFORMED, "no"),
    "key_of_nobody": (
        CALL,
        {"x-request-key": "n9.abc.0.k"},
        GOOD,
        ErrorKind.KEY_OWNER_GONE,
        "unknown",
    ),
    "key_of_an_earlier_incarnation": (
        CALL,
        {"x-request-key": "n1.abc.0.k"},
        GOOD,
        ErrorKind.KEY_OWNER_GONE,
        "unknown",
    ),
    "foreign_key_bad_body": (
        CALL,
        {"x-request-key": "n9.abc.0.k"},
        b"}{",
        ErrorKind.MALFORMED,
        "unknown",
    ),
    "future_epoch": (
        CALL,
        {"x-request-key": OWN_KEY + "-9999"},
        GOOD,
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
    if sent.get("x-request-key", "").startswith(OWN_KEY):
        sent["x-request-key"] = own_key(fleet, sent["x-request-key"], name)
    url = f"http://{fleet.bootstrap[0]}{path}"
    async with session.post(url, data=body, headers=sent) as response:
        return response.status, await response.json()


def test_each_fault_of_a_caller_has_its_kind_and_runs_nothing() -> None:
    """Callers send what no node can serve; one who cannot tell why would send it again."""

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


def test_a_key_refused_for_its_body_never_runs_with_a_better_one() -> None:
    """A refused request was called not run, and then its body is sent again, mended."""

    async def scenario() -> None:
        async with running_fleet(1) as fleet, aiohttp.ClientSession() as session:
            headers = {"x-request-key": OWN_KEY}
            bad = (CALL, headers, b"}{", ErrorKind.MALFORMED, "no")
            good = (CALL, headers, GOOD, ErrorKind.KEY_CONFLICT, "no")
            await send(session, fleet, "k", bad)
            status, answer = await send(session, fleet, "k", good)
            assert (status, answer["error"]["kind"]) == (409, "key_conflict")
            assert not any(server.runs for server in fleet.plain)

    asyncio.run(scenario())


def test_a_key_that_ran_is_never_called_not_run() -> None:
    """A caller asks again for a request that ran, with a header that is refused."""

    async def scenario() -> None:
        async with running_fleet(1) as fleet, aiohttp.ClientSession() as session:
            headers = {"x-request-key": OWN_KEY}
            good = (CALL, headers, GOOD, ErrorKind.MALFORMED, "")
            late = (CALL, {**headers, "x-deadline-ms": "-1"}, GOOD, ErrorKind.MALFORMED, "")
            status, first = await send(session, fleet, "k", good)
            assert status == 200
            status, refused = await send(session, fleet, "k", late)
            assert (status, refused["error"]["ran"]) == (400, "unknown")
            assert (await send(session, fleet, "k", good))[1] == first
            assert sum(len(server.runs) for server in fleet.plain) == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("with_key", [True, False])
def test_a_caller_that_goes_away_midway(with_key: bool) -> None:
    """A caller's connection closes while its generation runs.

    One with a key may come back for the answer, so its run goes on. Without a key
    nobody can ever ask for it, and the engine is told to stop.
    """

    async def scenario() -> None:
        async with running_fleet(1) as fleet, aiohttp.ClientSession() as session:
            for engine in fleet.engines:
                engine.token_s = 0.01
            headers = {"x-request-key": own_key(fleet, OWN_KEY, "k")} if with_key else {}
            body = {"prompt": "a quote", "max_tokens": 60}
            url = f"http://{fleet.bootstrap[0]}{GENERATE}"
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
    """A response whose reader takes the first line and then no more."""

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


def test_a_reader_that_stops_reading_holds_up_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    """A caller asks for a stream and takes nothing after its first line.

    Its generation ends all the same, others are served meanwhile, and a little
    after its deadline its connection is closed, so that the node can end too.
    """
    monkeypatch.setattr(_answers, "_open_stream", open_stuck_stream)
    monkeypatch.setattr(_answers, "SLOW_READER_GRACE_S", 0.2)

    async def scenario() -> None:
        async with running_fleet(1) as fleet, aiohttp.ClientSession() as session:
            callers = fleet.nodes[0].callers
            body = {"prompt": "a quote", "max_tokens": 30, "stream": True}
            url = f"http://{fleet.bootstrap[0]}"
            headers = {"x-deadline-ms": "1500"}
            async with session.post(url + GENERATE, json=body, headers=headers) as response:
                await response.content.readline()
                await until(lambda: any(run.ended for e in fleet.engines for run in e.runs))
                async with session.post(url + CALL, data=GOOD) as other:
                    assert other.status == 200
                assert callers.in_flight > 0
                await until(lambda: callers.in_flight == 0)
                with pytest.raises(aiohttp.ClientError):
                    await response.read()

    asyncio.run(scenario())
