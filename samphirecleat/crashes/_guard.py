"""Watches runs that are cut off, finds out whether their target ended, and bars what ends them."""

import asyncio
from collections.abc import Awaitable, Callable, Collection, Sequence
from enum import Enum
from typing import Final, NamedTuple, Protocol

from ..observe import Observer
from ._barred import is_barred
from ._gossip import NO_CALL, CrashGossip
from ._ledger import CrashLedger
from ._suspect import CrashVerdict, RunEnd

# A target that still listens right after it cut a call may have started again at once. Its
# registration says so within this time: three of its heartbeats, and the way to this node.
DOUBT_KEPT_S: Final = 6.0
MOST_DOUBTS: Final = 1024
# Of the other targets of a service, so many are looked at before a call is blamed for the ends.
OTHERS_LOOKED_AT: Final = 3
# One look at a target serves every call that it cut.
SAME_LOOK_S: Final = 0.25


class TargetStart(NamedTuple):
    """One start of a target; the time tells two starts of one instance apart."""

    instance: str
    address: str
    started_at_ms: int

    @property
    def name(self) -> str:
        """What logs and other nodes call it."""
        return f"{self.instance}@{self.started_at_ms}"


class RegistrationState(Enum):
    """What a registration says of one start of a target."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class EvidenceRecorder(Protocol):
    """Writes what is known of a call where it lasts."""

    def record(self, digest: bytes, *, own: bool) -> None:
        """Write soon; a node whose ``own`` evidence it is goes before the others."""
        ...


class NullEvidenceRecorder:
    """Writes nothing: what is known lives as long as any node that knows it."""

    def record(self, digest: bytes, *, own: bool) -> None:
        """Leave the call to the nodes' memory."""


class _Doubt(NamedTuple):
    digest: bytes
    start: TargetStart
    begun_s: float
    cut_s: float


class CrashGuard:
    """One node's part in keeping a call from ending one target after another.

    A cut connection is no evidence by itself: the link, a pause of this node or a faulty target
    cuts too. It counts once the target is known to have ended, and had not said that it leaves.
    """

    def __init__(
        self,
        node_id: str,
        ledger: CrashLedger,
        news: CrashGossip,
        listens: Callable[[str], Awaitable[bool]],
        registered: Callable[[TargetStart], RegistrationState],
        others: Callable[[TargetStart], Sequence[TargetStart]],
        recorder: EvidenceRecorder,
        observer: Observer,
    ) -> None:
        """Ask ``listens`` whether anything accepts connections at an address.

        ``others`` are the targets that serve the same as one.
        """
        self._node_id = node_id
        self._ledger = ledger
        self._news = news
        self._listens = listens
        self._registered = registered
        self._others = others
        self._observer = observer
        self._words = observer.log("crashes")
        self._doubts: list[_Doubt] = []
        self._met: frozenset[str] = frozenset()
        self._looks: dict[TargetStart, tuple[float, asyncio.Task[bool]]] = {}
        self._recorder = recorder

    @property
    def has_suspects(self) -> bool:
        """Whether any call is suspected; if none is, digests need not be made."""
        return bool(self._ledger.suspects)

    def verdict(self, request_id: str, digest: bytes) -> CrashVerdict:
        """Return what may be done with a call now; what bars it is logged."""
        now_s = asyncio.get_running_loop().time()
        verdict = self._ledger.verdict(digest, now_s)
        if is_barred(verdict):
            self._observer.counters[f"crash_calls_{verdict.value}"] += 1
            self._words.warning(
                "request=%s call=%s %s evidence=%s",
                request_id,
                digest.hex(),
                verdict.value,
                self.evidence(digest, now_s),
            )
            if verdict is CrashVerdict.REFUSED:
                self._recorder.record(digest, own=False)
        return verdict

    def bars(self, digest: bytes) -> bool:
        """Whether a call is held or refused now; nothing is logged or counted."""
        now_s = asyncio.get_running_loop().time()
        return is_barred(self._ledger.verdict(digest, now_s))

    def record_answer(self, request_id: str, digest: bytes) -> None:
        """Note a target's answer to a call, which may be suspected."""
        now_s = asyncio.get_running_loop().time()
        self._ledger.remember_answer(digest, now_s)
        suspect = self._ledger.suspects.get(digest)
        if suspect is None or not suspect.ends:
            return
        ends = len(suspect.ends)
        if self._ledger.note_answer(digest, now_s):
            self._words.info(
                "request=%s call=%s answered cleared_ends=%d", request_id, digest.hex(), ends
            )
            self._news.announce(digest)
            self._recorder.record(digest, own=True)

    async def record_cut(
        self, request_id: str, digest: bytes, start: TargetStart, begun_s: float, detail: str
    ) -> None:
        """Take a run that its target's end of the connection cut off before its answer.

        Returns once it is known whether the target ended, or may have.
        """
        cut_s = asyncio.get_running_loop().time()
        registered = self._registered(start)
        listens = registered is RegistrationState.READY and await self._look(start, cut_s)
        counts = registered is RegistrationState.READY and not listens
        self._words.warning(
            "request=%s call=%s target=%s cut after=%.3f s registered=%s listens=%s counts=%s "
            "detail=%s",
            request_id,
            digest.hex(),
            start.name,
            cut_s - begun_s,
            registered.value,
            listens,
            counts,
            detail,
        )
        doubt = _Doubt(digest, start, begun_s, cut_s)
        if counts:
            self._count(doubt)
            if self._ledger.awaits_verdict(digest):
                await self._look_at_others(digest, start)
        elif listens:
            self._doubts.append(doubt)
            del self._doubts[:-MOST_DOUBTS]

    def review(self, live_nodes: Collection[str]) -> None:
        """Settle doubts by the registrations, refuse where the evidence is complete, forget.

        ``live_nodes`` are incarnations. What is refused is told again when one of them is new: it
        has heard nothing of what was told before it came.
        """
        now_s = asyncio.get_running_loop().time()
        if not self._met.issuperset(live_nodes):
            self._tell_newcomers()
        self._met = frozenset(live_nodes)
        doubts, self._doubts = self._doubts, []
        for doubt in doubts:
            match self._registered(doubt.start):
                case RegistrationState.GONE:
                    self._words.info(
                        "call=%s target=%s ended: its registration is gone after=%.3f s",
                        doubt.digest.hex(),
                        doubt.start.name,
                        now_s - doubt.cut_s,
                    )
                    self._count(doubt)
                case RegistrationState.READY if now_s - doubt.cut_s <= DOUBT_KEPT_S:
                    self._doubts.append(doubt)
        self._looks = {
            start: look for start, look in self._looks.items() if now_s - look[0] <= SAME_LOOK_S
        }
        for digest in self._ledger.decide(now_s):
            self._observer.counters["crash_calls_barred"] += 1
            self._words.error(
                "call=%s barred evidence=%s", digest.hex(), self.evidence(digest, now_s)
            )
            ends = self._ledger.suspects[digest].ends.values()
            self._recorder.record(digest, own=any(end.node == self._node_id for end in ends))
        for digest in self._ledger.forget(now_s):
            self._recorder.record(digest, own=False)

    def _tell_newcomers(self) -> None:
        for digest, suspect in self._ledger.suspects.items():
            if suspect.refused:
                for target in suspect.ends:
                    self._news.announce(digest, target)

    def evidence(self, digest: bytes, now_s: float) -> str:
        """Return each counted end: its target, the node that saw it, and how old it is."""
        suspect = self._ledger.suspects.get(digest)
        if suspect is None:
            return "none"
        ends = sorted(suspect.ends.values(), key=lambda end: end.ended_s)
        return ",".join(f"{end.target}/{end.node}/{now_s - end.ended_s:.1f}s" for end in ends)

    def _count(self, doubt: _Doubt) -> None:
        now_s = asyncio.get_running_loop().time()
        name = doubt.start.name
        end = RunEnd(name, doubt.begun_s, doubt.cut_s, self._node_id)
        if not self._ledger.note_end(doubt.digest, end, now_s):
            return
        self._observer.counters["crash_ends_seen"] += 1
        self._news.announce_end(doubt.digest, name, now_s)
        self._recorder.record(doubt.digest, own=True)

    async def _look_at_others(self, digest: bytes, start: TargetStart) -> None:
        """Find out whether targets ended that did not run a call, as when all of them go."""
        ended = self._ledger.ended_targets
        sample = [other for other in self._others(start) if other.name not in ended]
        sample = sample[:OTHERS_LOOKED_AT]
        now_s = asyncio.get_running_loop().time()
        listening = await asyncio.gather(*(self._look(other, now_s) for other in sample))
        gone = [other.name for other, is_up in zip(sample, listening, strict=True) if not is_up]
        for name in gone:
            if self._ledger.note_ended_target(name, now_s, now_s):
                self._news.announce(NO_CALL, name)
        self._words.info(
            "call=%s others looked_at=%d ended=%s", digest.hex(), len(sample), ",".join(gone)
        )

    async def _look(self, start: TargetStart, now_s: float) -> bool:
        """Whether the target still listens; calls that were cut together share one look."""
        known = self._looks.get(start)
        if known is None or now_s - known[0] > SAME_LOOK_S:
            known = (now_s, asyncio.ensure_future(self._listens(start.address)))
            self._looks[start] = known
        return await asyncio.shield(known[1])
