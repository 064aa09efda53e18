"""Streams relayed across targets: no missing or duplicate events, one run at a time."""

import asyncio
import random
from collections.abc import AsyncGenerator

import pytest

from samphirecleat.errors import ErrorKind, Ran, RequestError
from samphirecleat.serving import (
    Call,
    CallKind,
    Forwarder,
    Route,
    RouteTable,
    StreamBrokenError,
    StreamEvent,
    StreamRelay,
    StreamStart,
    Target,
    TargetAnswer,
    TargetFault,
    TargetTable,
    WeightedService,
)
from samphirecleat.serving import _stream_relay as relay_module

EVENT_COUNT = 6
LOST = TargetFault("reset", Ran.UNKNOWN)
REFUSED = TargetFault("full", Ran.NO, refused=True)
FAILED = TargetAnswer(500, (), b"failed", "sig")
Script = list[object]


class ScriptedStreams:
    """Each run follows its script: a number of events, then how the run ends.

    ``quiet`` sends nothing more, ``skip`` leaves out an event, a fault is raised, and an answer
    replaces the stream. A run without a script is complete.
    """

    def __init__(self, *scripts: Script) -> None:
        self.scripts = list(scripts)
        self.requests: list[tuple[str, int]] = []
        self.open = 0

    async def stream(
        self, call: Call, target: Target, budget_s: float, last_event_id: int
    ) -> AsyncGenerator[TargetAnswer | StreamStart | StreamEvent, None]:
        del call, budget_s
        assert self.open == 0, "two runs of one stream are open at the same time"
        self.requests.append((target.instance, last_event_id))
        script = self.scripts.pop(0) if self.scripts else [EVENT_COUNT]
        self.open += 1
        try:
            if isinstance(script[0], TargetFault):
                raise script[0]
            if isinstance(script[0], TargetAnswer):
                yield script[0]
                return
            yield StreamStart(200, [("X-First", target.instance)], len(self.requests))
            events = script[0]
            assert isinstance(events, int)
            for number in range(last_event_id + 1, min(EVENT_COUNT, last_event_id + events) + 1):
                yield StreamEvent(number, len(self.requests), f"id: {number}".encode())
            match script[1:]:
                case [TargetFault() as fault]:
                    raise fault
                case ["quiet"]:
                    await asyncio.sleep(60.0)
                case ["skip"]:
                    yield StreamEvent(last_event_id + events + 2, 1, b"id: later")
        finally:
            self.open -= 1


def route(*, resumable: bool) -> Route:
    services = [WeightedService("svc", 1.0)]
    return Route("r", "h", "/", CallKind.STREAMING, services, 5.0, 0.2, 3, resumable=resumable)


def relay(
    channel: ScriptedStreams, to: Route, last_event_id: int = 0
) -> tuple[list[int], str, TargetAnswer | None]:
    """Return the event IDs that a caller receives, how its stream ends, and any answer instead."""

    async def body() -> tuple[list[int], str, TargetAnswer | None]:
        table = TargetTable("z")
        names = [f"t{n}" for n in range(4)]
        table.replace({n: Target(n, "svc", f"127.0.0.1:{n}", "z", 4, False) for n in names})
        forwarder = Forwarder(RouteTable(), table, channel, random.Random(1))  # type: ignore[arg-type]
        now_s = asyncio.get_running_loop().time()
        call = Call("id", "POST", "/x", "h", (), b"", now_s, now_s + 2.0)
        opened = await StreamRelay(forwarder, table, channel).open(call, to, last_event_id)
        if isinstance(opened, TargetAnswer):
            return [], "answer", opened
        ids: list[int] = []
        end = "whole"
        assert dict(opened.start.headers) == {"X-First": channel.requests[-1][0]}
        try:
            async for event in opened.events():
                ids.append(event.event_id)
        except StreamBrokenError:
            end = "cut"
        assert channel.open == 0
        assert not +table.in_flight
        return ids, end, None

    return asyncio.run(body())


@pytest.mark.parametrize(
    ("scripts", "resumed_after"),
    [
        ([], [0]),
        ([[2, LOST]], [0, 2]),
        ([[2, LOST], [3, LOST]], [0, 2, 5]),
        ([[2, "skip"]], [0, 2]),
        ([[2, LOST], [REFUSED], [REFUSED]], [0, 2, 2, 2]),
        ([[LOST], [1, LOST]], [0, 0, 1]),
        ([[REFUSED], [FAILED]], [0, 0, 0]),
        ([[EVENT_COUNT, LOST]], [0, EVENT_COUNT]),
    ],
    ids=[
        "no fault",
        "broken",
        "twice",
        "event missing",
        "refused",
        "no head",
        "failed",
        "end lost",
    ],
)
def test_resumable_stream_is_complete(scripts: list[Script], resumed_after: list[int]) -> None:
    """A target breaks a stream off, skips an event, or fails before the stream begins.

    Another target resumes after the last event that the caller received, once the first run is
    closed, so that the caller gets the complete text without duplicates.
    """
    channel = ScriptedStreams(*scripts)
    assert relay(channel, route(resumable=True)) == (list(range(1, EVENT_COUNT + 1)), "whole", None)
    assert [last_event_id for _, last_event_id in channel.requests] == resumed_after


def test_stream_moves_from_silent_target_to_another(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against waiting for a silent target until the caller disconnects after two seconds."""
    monkeypatch.setattr(relay_module, "EVENT_TIMEOUT_S", 0.05)
    channel = ScriptedStreams([3, "quiet"])
    assert relay(channel, route(resumable=True)) == (list(range(1, EVENT_COUNT + 1)), "whole", None)
    assert len({instance for instance, _ in channel.requests}) == 2


@pytest.mark.parametrize(
    ("resumable", "scripts", "ids", "runs"),
    [
        (False, [[2, LOST]], [1, 2], 1),
        (True, [[1, LOST], [1, LOST], [1, LOST]], [1, 2, 3], 3),
        (True, [[2, LOST], [REFUSED] * 1] + [[REFUSED]] * 9, [1, 2], 9),
    ],
    ids=["may not be repeated", "attempts used up", "refused by all"],
)
def test_stream_that_cannot_be_completed_is_cut(
    resumable: bool, scripts: list[Script], ids: list[int], runs: int
) -> None:
    """If such a stream ended normally, the caller would take a partial text for the whole one."""
    channel = ScriptedStreams(*scripts)
    assert relay(channel, route(resumable=resumable)) == (ids, "cut", None)
    assert len(channel.requests) == runs


@pytest.mark.parametrize(
    ("resumable", "scripts", "kind", "ran", "runs"),
    [
        (False, [[LOST]], ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN, 1),
        (True, [[LOST]] * 3, ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN, 3),
        (False, [[REFUSED]] * 20, ErrorKind.NO_TARGET, Ran.NO, 8),
    ],
    ids=["may have run", "attempts used up", "refused by all"],
)
def test_stream_that_never_began_reports_whether_it_may_have_run(
    resumable: bool, scripts: list[Script], kind: ErrorKind, ran: Ran, runs: int
) -> None:
    channel = ScriptedStreams(*scripts)
    with pytest.raises(RequestError) as raised:
        relay(channel, route(resumable=resumable))
    assert (raised.value.kind, raised.value.ran) == (kind, ran)
    assert len(channel.requests) == runs


def test_failure_instead_of_stream_is_returned() -> None:
    channel = ScriptedStreams([FAILED])
    assert relay(channel, route(resumable=False)) == ([], "answer", FAILED)


def test_caller_resumes_after_its_last_event() -> None:
    channel = ScriptedStreams()
    assert relay(channel, route(resumable=True), last_event_id=4) == ([5, 6], "whole", None)
    assert channel.requests == [("t0", 4)]
