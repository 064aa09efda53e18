"""What counts as the end of a target, and what is logged of it."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import pytest

from samphirecleat.crashes import (
    CrashLedger,
    CrashNews,
    Registered,
    Standing,
    TargetStart,
)
from samphirecleat.crashes import _guard as guard_module

from .guards import make_guard
from .test_news import EMPTY

CALL = b"\x01" * 12


class Recorder:
    """Keeps what is to be written."""

    def __init__(self) -> None:
        self.recorded: list[tuple[bytes, bool]] = []

    def record(self, mark: bytes, *, own: bool) -> None:
        self.recorded.append((mark, own))


class World:
    """Targets as they are: whether they listen, and what their registrations say."""

    def __init__(self) -> None:
        self.listening: set[str] = set()
        self.registered: dict[str, Registered] = {}
        self.looks: list[str] = []
        self.others: list[TargetStart] = []
        self.ledger = CrashLedger()
        self.recorder = Recorder()
        self.news = CrashNews(self.ledger, lambda: 3)
        self.guard = make_guard(
            self.ledger,
            self._listens,
            lambda start: self.registered.get(start.instance, Registered.READY),
            lambda start: [o for o in self.others if o != start],
            news=self.news,
            recorder=self.recorder,
        )

    async def _listens(self, address: str) -> bool:
        self.looks.append(address)
        await asyncio.sleep(0)
        return address in self.listening

    async def cut(self, name: str, mark: bytes = CALL) -> None:
        start = TargetStart(name, f"{name}:1", 5)
        now_s = asyncio.get_running_loop().time()
        await self.guard.cut("r", mark, start, now_s - 0.001, "reset")

    @property
    def ends(self) -> set[str]:
        suspect = self.ledger.suspects.get(CALL)
        return set() if suspect is None else set(suspect.ends)


def play(body: Callable[[World], Awaitable[None]]) -> None:
    async def main() -> None:
        await body(World())

    asyncio.run(main())


@pytest.mark.parametrize(
    ("listens", "registered", "ends"),
    [
        (False, Registered.READY, {"t@5"}),
        (True, Registered.READY, set()),
        (False, Registered.DRAINING, set()),
        (False, Registered.GONE, set()),
    ],
    ids=["crashed", "only the connection", "left as it said", "left without a word"],
)
def test_a_cut_counts_only_if_the_target_ended_unplanned(
    listens: bool, registered: Registered, ends: set[str]
) -> None:
    """Links, faulty targets and releases cut connections too; a call is not to blame for them."""

    async def body(world: World) -> None:
        world.listening = {"t:1"} if listens else set()
        world.registered["t"] = registered
        await world.cut("t")
        assert world.ends == ends
        assert bool(world.recorder.recorded) == bool(ends)

    play(body)


@pytest.mark.parametrize(
    ("after", "ends"),
    [(Registered.GONE, {"t@5"}), (Registered.DRAINING, set()), (Registered.READY, set())],
)
def test_a_target_that_listens_again_at_once_is_judged_by_its_registration(
    monkeypatch: pytest.MonkeyPatch, after: Registered, ends: set[str]
) -> None:
    """A supervisor starts a crashed target again before anybody can look."""
    monkeypatch.setattr(guard_module, "DOUBT_KEPT_S", 0.0)

    async def body(world: World) -> None:
        world.listening = {"t:1"}
        await world.cut("t")
        world.registered["t"] = after
        world.guard.review([])
        assert world.ends == ends
        world.registered["t"] = Registered.GONE
        world.guard.review([])
        assert world.ends == ends

    play(body)


def test_calls_that_a_target_cut_together_share_one_look() -> None:
    async def body(world: World) -> None:
        await asyncio.gather(*(world.cut("t", b"%12d" % number) for number in range(50)))
        assert world.looks == ["t:1"]
        assert len(world.ledger.suspects) == 50

    play(body)


def test_what_bars_a_call_is_logged_with_its_evidence(caplog: pytest.LogCaptureFixture) -> None:
    async def body(world: World) -> None:
        assert world.guard.standing("r", CALL) is Standing.CLEAR
        for name in ("a", "b", "c"):
            await world.cut(name)
            await asyncio.sleep(0.002)
        with caplog.at_level(logging.WARNING):
            assert world.guard.standing("again", CALL) is Standing.HELD
        assert "request=again" in caplog.text
        assert all(f"{name}@5/n1/0.0s" in caplog.text for name in ("a", "b", "c"))
        world.guard.answered("again", CALL)
        assert world.guard.standing("again", CALL) is Standing.CLEAR

    play(body)


@pytest.mark.parametrize(("others_listen", "standing"), [(True, "refused"), (False, "suspect")])
def test_other_targets_are_looked_at_before_a_call_is_blamed(
    others_listen: bool, standing: str
) -> None:
    """A zone goes, and nothing ran at some of its targets whose end anybody would have seen."""

    async def body(world: World) -> None:
        world.others = [TargetStart(f"o{number}", f"o{number}:1", 5) for number in range(9)]
        world.listening = {other.address for other in world.others} if others_listen else set()
        for name in ("a", "b", "c"):
            await world.cut(name)
            await asyncio.sleep(0.002)
        assert len([look for look in world.looks if look.startswith("o")]) == 3
        now_s = asyncio.get_running_loop().time()
        assert world.ledger.standing(CALL, now_s + 1.1).value == standing

    play(body)


def test_a_node_that_comes_later_is_told_of_what_is_refused() -> None:
    """All nodes are replaced one after the other, and none of the new ones saw a target end.

    News is told a few times when it is new. Nobody told it to those who came later, and they let
    the request end three more targets each.
    """

    async def body(world: World) -> None:
        world.guard.review(["a", "b"])
        for name in ("a", "b", "c"):
            await world.cut(name)
            await asyncio.sleep(0.002)
        world.others = []
        assert (
            world.ledger.standing(CALL, asyncio.get_running_loop().time() + 1.1).value == "refused"
        )
        while world.news.add_updates(EMPTY, 0.0).crashes:
            pass
        world.guard.review(["a", "b"])
        assert world.news.add_updates(EMPTY, 0.0) is EMPTY
        world.guard.review(["b", "newcomer"])
        told = world.news.add_updates(EMPTY, 0.0).crashes
        assert {row.target for row in told} == {"a@5", "b@5", "c@5"}

    play(body)
