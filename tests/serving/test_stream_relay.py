"""Streams passed on across targets: no event lacks, none comes twice, none is made for nobody."""

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

LENGTH = 6
LOST = TargetFault("reset", Ran.UNKNOWN)
REFUSED = TargetFault("full", Ran.NO, refused=True)
FAILED = TargetAnswer(500, (), b"failed", "sig")
Script = list[object]


class ScriptedStreams:
    """Each run follows its script: a number of events, then what ends it.

    ``quiet`` ends a run by saying nothing more, ``skip`` leaves out an event, a fault is
    raised, an answer stands in place of the stream. A run without a script is whole.
    """

    def __init__(self, *scripts: Script) -> None:
        self.scripts = list(scripts)
        self.asked: list[tuple[str, int]] = []
        self.open = 0

    async def stream(
        self, call: Call, target: Target, budget_s: float, last_event_id: int
    ) -> AsyncGenerator[TargetAnswer | StreamStart | StreamEvent, None]:
        del call, budget_s
        assert self.open == 0, "two targets work on one stream"
        self.asked.append((target.instance, last_event_id))
        script = self.scripts.pop(0) if self.scripts else [LENGTH]
        self.open += 1
        try:
            if isinstance(script[0], TargetFault):
                raise script[0]
            if isinstance(script[0], TargetAnswer):
                yield script[0]
                return
            yield StreamStart(200, [("X-First", target.instance)], len(self.asked))
            events = script[0]
            assert isinstance(events, int)
            for number in range(last_event_id + 1, min(LENGTH, last_event_id + events) + 1):
                yield StreamEvent(number, len(self.asked), f"id: {number}".encode())
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
    """Return the ids that a caller gets, how its stream ends, and an answer in its place."""

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
        assert dict(opened.start.headers) == {"X-First": channel.asked[-1][0]}
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
    ("scripts", "asked_behind"),
    [
        ([], [0]),
        ([[2, LOST]], [0, 2]),
        ([[2, LOST], [3, LOST]], [0, 2, 5]),
        ([[2, "skip"]], [0, 2]),
        ([[2, LOST], [REFUSED], [REFUSED]], [0, 2, 2, 2]),
        ([[LOST], [1, LOST]], [0, 0, 1]),
        ([[REFUSED], [FAILED]], [0, 0, 0]),
        ([[LENGTH, LOST]], [0, LENGTH]),
    ],
    ids=[
        "no fault",
        "broken",
        "twice",
        "an event lacks",
        "refused",
        "no head",
        "failed",
        "end lost",
    ],
)
def test_a_resumable_stream_is_whole_for_its_caller(
    scripts: list[Script], asked_behind: list[int]
) -> None:
    """A target breaks a stream off, skips an event, or fails before it began.

    Another one goes on behind the last event that the caller has, after the first run was
    closed, so that the caller sees one whole text and no event twice.
    """
    channel = ScriptedStreams(*scripts)
    assert relay(channel, route(resumable=True)) == (list(range(1, LENGTH + 1)), "whole", None)
    assert [behind for _, behind in channel.asked] == asked_behind


def test_a_silent_target_is_left_for_another(monkeypatch: pytest.MonkeyPatch) -> None:
    """A connection went silent in the middle of a stream; a caller leaves after two seconds."""
    monkeypatch.setattr(relay_module, "EVENT_TIMEOUT_S", 0.05)
    channel = ScriptedStreams([3, "quiet"])
    assert relay(channel, route(resumable=True)) == (list(range(1, LENGTH + 1)), "whole", None)
    assert len({instance for instance, _ in channel.asked}) == 2


@pytest.mark.parametrize(
    ("resumable", "scripts", "ids", "runs"),
    [
        (False, [[2, LOST]], [1, 2], 1),
        (True, [[1, LOST], [1, LOST], [1, LOST]], [1, 2, 3], 3),
        (True, [[2, LOST], [REFUSED] * 1] + [[REFUSED]] * 9, [1, 2], 9),
    ],
    ids=["may not be repeated", "attempts used up", "refused by all"],
)
def test_a_stream_that_cannot_be_whole_is_cut(
    resumable: bool, scripts: list[Script], ids: list[int], runs: int
) -> None:
    """Ended properly, a caller would take half a text for the whole one."""
    channel = ScriptedStreams(*scripts)
    assert relay(channel, route(resumable=resumable)) == (ids, "cut", None)
    assert len(channel.asked) == runs


@pytest.mark.parametrize(
    ("resumable", "scripts", "kind", "ran", "runs"),
    [
        (False, [[LOST]], ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN, 1),
        (True, [[LOST]] * 3, ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN, 3),
        (False, [[REFUSED]] * 20, ErrorKind.NO_TARGET, Ran.NO, 8),
    ],
    ids=["may have run", "attempts used up", "refused by all"],
)
def test_a_stream_that_never_began_says_what_is_known(
    resumable: bool, scripts: list[Script], kind: ErrorKind, ran: Ran, runs: int
) -> None:
    channel = ScriptedStreams(*scripts)
    with pytest.raises(RequestError) as raised:
        relay(channel, route(resumable=resumable))
    assert (raised.value.kind, raised.value.ran) == (kind, ran)
    assert len(channel.asked) == runs


def test_a_failure_in_place_of_a_stream_is_passed_on() -> None:
    channel = ScriptedStreams([FAILED])
    assert relay(channel, route(resumable=False)) == ([], "answer", FAILED)


def test_a_caller_that_goes_on_itself_gets_what_follows() -> None:
    channel = ScriptedStreams()
    assert relay(channel, route(resumable=True), last_event_id=4) == ([5, 6], "whole", None)
    assert channel.asked == [("t0", 4)]
