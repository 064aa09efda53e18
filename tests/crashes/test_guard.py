"""Detection of target crashes, and what is logged about them."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import pytest

from samphirecleat.crashes import (
    CrashGossip,
    CrashLedger,
    CrashVerdict,
    RegistrationState,
    TargetStart,
)
from samphirecleat.crashes import _guard as guard_module

from .guards import make_guard
from .test_crash_gossip import EMPTY

CALL = b"\x01" * 12


class FakeRecorder:
    """Keeps the calls of ``record`` in memory."""

    def __init__(self) -> None:
        self.recorded: list[tuple[bytes, bool]] = []

    def record(self, digest: bytes, *, own: bool) -> None:
        self.recorded.append((digest, own))


class GuardFixture:
    """A guard over simulated targets: whether they listen, and their registration states."""

    def __init__(self) -> None:
        self.listening: set[str] = set()
        self.registered: dict[str, RegistrationState] = {}
        self.probed: list[str] = []
        self.siblings: list[TargetStart] = []
        self.ledger = CrashLedger()
        self.recorder = FakeRecorder()
        self.gossip = CrashGossip(self.ledger, lambda: 3)
        self.guard = make_guard(
            self.ledger,
            self._listens,
            lambda start: self.registered.get(start.instance, RegistrationState.READY),
            lambda start: [o for o in self.siblings if o != start],
            gossip=self.gossip,
            recorder=self.recorder,
        )

    async def _listens(self, address: str) -> bool:
        self.probed.append(address)
        await asyncio.sleep(0)
        return address in self.listening

    async def cut(self, name: str, digest: bytes = CALL) -> None:
        start = TargetStart(name, f"{name}:1", 5)
        now_s = asyncio.get_running_loop().time()
        await self.guard.record_cut("r", digest, start, now_s - 0.001, "reset")

    @property
    def crashed(self) -> set[str]:
        suspect = self.ledger.suspects.get(CALL)
        return set() if suspect is None else set(suspect.crashed_runs)


def run_with_fixture(body: Callable[[GuardFixture], Awaitable[None]]) -> None:
    async def main() -> None:
        await body(GuardFixture())

    asyncio.run(main())


@pytest.mark.parametrize(
    ("listens", "registered", "crashed"),
    [
        (False, RegistrationState.READY, {"t@5"}),
        (True, RegistrationState.READY, set()),
        (False, RegistrationState.DRAINING, set()),
        (False, RegistrationState.GONE, set()),
    ],
    ids=["crashed", "still listening", "draining", "not registered"],
)
def test_cut_counts_only_if_target_crashed(
    listens: bool, registered: RegistrationState, crashed: set[str]
) -> None:
    """Guards against blaming a call for network faults, faulty targets and rolling updates.

    All of them cut connections too.
    """

    async def body(fixture: GuardFixture) -> None:
        fixture.listening = {"t:1"} if listens else set()
        fixture.registered["t"] = registered
        await fixture.cut("t")
        assert fixture.crashed == crashed
        assert bool(fixture.recorder.recorded) == bool(crashed)

    run_with_fixture(body)


@pytest.mark.parametrize(
    ("after", "crashed"),
    [
        (RegistrationState.GONE, {"t@5"}),
        (RegistrationState.DRAINING, set()),
        (RegistrationState.READY, set()),
    ],
)
def test_restarted_target_is_judged_by_its_registration(
    monkeypatch: pytest.MonkeyPatch, after: RegistrationState, crashed: set[str]
) -> None:
    """A supervisor restarts a crashed target before it can be probed."""
    monkeypatch.setattr(guard_module, "UNCONFIRMED_CUT_TTL_S", 0.0)

    async def body(fixture: GuardFixture) -> None:
        fixture.listening = {"t:1"}
        await fixture.cut("t")
        fixture.registered["t"] = after
        fixture.guard.review([])
        assert fixture.crashed == crashed
        fixture.registered["t"] = RegistrationState.GONE
        fixture.guard.review([])
        assert fixture.crashed == crashed

    run_with_fixture(body)


def test_calls_cut_together_share_one_probe() -> None:
    async def body(fixture: GuardFixture) -> None:
        await asyncio.gather(*(fixture.cut("t", b"%12d" % number) for number in range(50)))
        assert fixture.probed == ["t:1"]
        assert len(fixture.ledger.suspects) == 50

    run_with_fixture(body)


def test_blocked_call_is_logged_with_its_evidence(caplog: pytest.LogCaptureFixture) -> None:
    async def body(fixture: GuardFixture) -> None:
        assert fixture.guard.verdict("r", CALL) is CrashVerdict.CLEAR
        for name in ("a", "b", "c"):
            await fixture.cut(name)
            await asyncio.sleep(0.002)
        with caplog.at_level(logging.WARNING):
            assert fixture.guard.verdict("again", CALL) is CrashVerdict.HELD
        assert "request=again" in caplog.text
        assert all(f"{name}@5/n1/0.0s" in caplog.text for name in ("a", "b", "c"))
        fixture.guard.record_answer("again", CALL)
        assert fixture.guard.verdict("again", CALL) is CrashVerdict.CLEAR

    run_with_fixture(body)


@pytest.mark.parametrize(("others_listen", "verdict"), [(True, "refused"), (False, "suspect")])
def test_other_targets_are_probed_before_a_call_is_blamed(
    others_listen: bool, verdict: str
) -> None:
    """A zone fails, and some of its targets ran no call that would have shown their crash."""

    async def body(fixture: GuardFixture) -> None:
        fixture.siblings = [TargetStart(f"o{number}", f"o{number}:1", 5) for number in range(9)]
        fixture.listening = (
            {other.address for other in fixture.siblings} if others_listen else set()
        )
        for name in ("a", "b", "c"):
            await fixture.cut(name)
            await asyncio.sleep(0.002)
        assert len([address for address in fixture.probed if address.startswith("o")]) == 3
        now_s = asyncio.get_running_loop().time()
        assert fixture.ledger.verdict(CALL, now_s + 1.1).value == verdict

    run_with_fixture(body)


def test_refused_calls_are_announced_to_new_nodes() -> None:
    """All nodes are replaced one after the other, and none of the new ones saw a crash.

    Reports are sent only a few times while they are new. Unless they are sent again, the new nodes
    miss them, and the request crashes three more targets at each.
    """

    async def body(fixture: GuardFixture) -> None:
        fixture.guard.review(["a", "b"])
        for name in ("a", "b", "c"):
            await fixture.cut(name)
            await asyncio.sleep(0.002)
        fixture.siblings = []
        assert (
            fixture.ledger.verdict(CALL, asyncio.get_running_loop().time() + 1.1).value == "refused"
        )
        while fixture.gossip.add_updates(EMPTY, 0.0).crashes:
            pass
        fixture.guard.review(["a", "b"])
        assert fixture.gossip.add_updates(EMPTY, 0.0) is EMPTY
        fixture.guard.review(["b", "new"])
        rows = fixture.gossip.add_updates(EMPTY, 0.0).crashes
        assert {row.target for row in rows} == {"a@5", "b@5", "c@5"}

    run_with_fixture(body)
