"""Checks whether a target that cut a connection crashed, and blocks calls that crash targets."""

import asyncio
from collections.abc import Awaitable, Callable, Collection, Sequence
from enum import Enum
from typing import Final, NamedTuple, Protocol

from ..observe import Observer
from ._barred import is_barred
from ._crash_gossip import NO_CALL, CrashGossip
from ._ledger import CrashLedger
from ._suspect import CrashVerdict, RunEnd

# A target that still listens right after it cut a call may have restarted at once. Its registration
# shows this within three of its heartbeats plus the latency to this node.
UNCONFIRMED_CUT_TTL_S: Final = 6.0
MAX_UNCONFIRMED_CUTS: Final = 1024
# Number of other targets of the service that are probed before a call is blamed.
MAX_PROBED_TARGETS: Final = 3
# A probe of a target serves all calls that the target cut within this time.
PROBE_REUSE_S: Final = 0.25


class TargetStart(NamedTuple):
    """One start of a target; the time distinguishes two starts of one instance."""

    instance: str
    address: str
    started_at_ms: int

    @property
    def name(self) -> str:
        """Name of this start in logs and in reports to other nodes."""
        return f"{self.instance}@{self.started_at_ms}"


class RegistrationState(Enum):
    """State of one start of a target according to its registration."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class EvidenceRecorder(Protocol):
    """Persists the evidence on a call."""

    def record(self, digest: bytes, *, own: bool) -> None:
        """Schedule a write; a node whose ``own`` evidence it is writes before the others."""
        ...


class NullEvidenceRecorder:
    """Persists nothing; evidence lasts as long as any node that has it."""

    def record(self, digest: bytes, *, own: bool) -> None:
        """Do nothing."""


class _Cut(NamedTuple):
    digest: bytes
    start: TargetStart
    begun_s: float
    cut_s: float


class CrashGuard:
    """Keeps calls from crashing one target after another, together with the other nodes.

    A cut connection alone is no evidence: a network fault, a pause of this node or a faulty target
    also cuts connections. It counts once the target is known to have crashed without having
    announced that it is leaving.
    """

    def __init__(
        self,
        node_id: str,
        ledger: CrashLedger,
        gossip: CrashGossip,
        listens: Callable[[str], Awaitable[bool]],
        registered: Callable[[TargetStart], RegistrationState],
        others: Callable[[TargetStart], Sequence[TargetStart]],
        recorder: EvidenceRecorder,
        observer: Observer,
    ) -> None:
        """Take the node's view of its targets.

        ``listens`` tells whether anything accepts connections at an address. ``registered`` returns
        the registration state of a target, and ``others`` the other targets of its service.
        """
        self._node_id = node_id
        self._ledger = ledger
        self._gossip = gossip
        self._listens = listens
        self._registered = registered
        self._others = others
        self._observer = observer
        self._logger = observer.log("crashes")
        self._unconfirmed_cuts: list[_Cut] = []
        self._known_nodes: frozenset[str] = frozenset()
        self._probes: dict[TargetStart, tuple[float, asyncio.Task[bool]]] = {}
        self._recorder = recorder

    @property
    def has_suspects(self) -> bool:
        """Whether any call is suspect; if not, callers needn't compute digests."""
        return bool(self._ledger.suspects)

    def verdict(self, request_id: str, digest: bytes) -> CrashVerdict:
        """Return whether a call may be sent now; log and count it if it is blocked."""
        now_s = asyncio.get_running_loop().time()
        verdict = self._ledger.verdict(digest, now_s)
        if is_barred(verdict):
            self._observer.counters[f"crash_calls_{verdict.value}"] += 1
            self._logger.warning(
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
        """Record a target's answer to a call, which may be suspect."""
        now_s = asyncio.get_running_loop().time()
        self._ledger.remember_answer(digest, now_s)
        suspect = self._ledger.suspects.get(digest)
        if suspect is None or not suspect.ends:
            return
        ends = len(suspect.ends)
        if self._ledger.record_answer(digest, now_s):
            self._logger.info(
                "request=%s call=%s answered cleared_ends=%d", request_id, digest.hex(), ends
            )
            self._gossip.announce(digest)
            self._recorder.record(digest, own=True)

    async def record_cut(
        self, request_id: str, digest: bytes, start: TargetStart, begun_s: float, detail: str
    ) -> None:
        """Record a run whose connection the target closed before the answer was complete.

        Return once it is known whether the target crashed, or whether it may have.
        """
        cut_s = asyncio.get_running_loop().time()
        registered = self._registered(start)
        listens = registered is RegistrationState.READY and await self._probe(start, cut_s)
        counts = registered is RegistrationState.READY and not listens
        self._logger.warning(
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
        cut = _Cut(digest, start, begun_s, cut_s)
        if counts:
            self._count_end(cut)
            if self._ledger.awaits_verdict(digest):
                await self._probe_others(digest, start)
        elif listens:
            self._unconfirmed_cuts.append(cut)
            del self._unconfirmed_cuts[:-MAX_UNCONFIRMED_CUTS]

    def review(self, live_nodes: Collection[str]) -> None:
        """Resolve unconfirmed cuts, refuse calls with sufficient evidence, and drop old entries.

        ``live_nodes`` are incarnations. If one of them is new, all refused calls are announced
        again, since it has missed the earlier reports.
        """
        now_s = asyncio.get_running_loop().time()
        if not self._known_nodes.issuperset(live_nodes):
            self._announce_refused()
        self._known_nodes = frozenset(live_nodes)
        unconfirmed_cuts, self._unconfirmed_cuts = self._unconfirmed_cuts, []
        for cut in unconfirmed_cuts:
            match self._registered(cut.start):
                case RegistrationState.GONE:
                    self._logger.info(
                        "call=%s target=%s ended: registration removed after=%.3f s",
                        cut.digest.hex(),
                        cut.start.name,
                        now_s - cut.cut_s,
                    )
                    self._count_end(cut)
                case RegistrationState.READY if now_s - cut.cut_s <= UNCONFIRMED_CUT_TTL_S:
                    self._unconfirmed_cuts.append(cut)
        self._probes = {
            start: probe
            for start, probe in self._probes.items()
            if now_s - probe[0] <= PROBE_REUSE_S
        }
        for digest in self._ledger.decide(now_s):
            self._observer.counters["crash_calls_barred"] += 1
            self._logger.error(
                "call=%s barred evidence=%s", digest.hex(), self.evidence(digest, now_s)
            )
            ends = self._ledger.suspects[digest].ends.values()
            self._recorder.record(digest, own=any(end.node == self._node_id for end in ends))
        for digest in self._ledger.forget(now_s):
            self._recorder.record(digest, own=False)

    def _announce_refused(self) -> None:
        for digest, suspect in self._ledger.suspects.items():
            if suspect.refused:
                for target in suspect.ends:
                    self._gossip.announce(digest, target)

    def evidence(self, digest: bytes, now_s: float) -> str:
        """Return each counted crash: its target, the observing node and its age."""
        suspect = self._ledger.suspects.get(digest)
        if suspect is None:
            return "none"
        ends = sorted(suspect.ends.values(), key=lambda end: end.ended_s)
        return ",".join(f"{end.target}/{end.node}/{now_s - end.ended_s:.1f}s" for end in ends)

    def _count_end(self, cut: _Cut) -> None:
        now_s = asyncio.get_running_loop().time()
        name = cut.start.name
        end = RunEnd(name, cut.begun_s, cut.cut_s, self._node_id)
        if not self._ledger.record_end(cut.digest, end, now_s):
            return
        self._observer.counters["crash_ends_seen"] += 1
        self._gossip.announce_end(cut.digest, name, now_s)
        self._recorder.record(cut.digest, own=True)

    async def _probe_others(self, digest: bytes, start: TargetStart) -> None:
        """Check whether targets crashed that didn't run the call, as when a whole zone fails."""
        ended = self._ledger.ended_targets
        sample = [other for other in self._others(start) if other.name not in ended]
        sample = sample[:MAX_PROBED_TARGETS]
        now_s = asyncio.get_running_loop().time()
        listening = await asyncio.gather(*(self._probe(other, now_s) for other in sample))
        gone = [other.name for other, is_up in zip(sample, listening, strict=True) if not is_up]
        for name in gone:
            if self._ledger.record_ended_target(name, now_s, now_s):
                self._gossip.announce(NO_CALL, name)
        self._logger.info(
            "call=%s probed other targets looked_at=%d ended=%s",
            digest.hex(),
            len(sample),
            ",".join(gone),
        )

    async def _probe(self, start: TargetStart, now_s: float) -> bool:
        """Whether the target still listens; calls that were cut together share one probe."""
        known = self._probes.get(start)
        if known is None or now_s - known[0] > PROBE_REUSE_S:
            known = (now_s, asyncio.ensure_future(self._listens(start.address)))
            self._probes[start] = known
        return await asyncio.shield(known[1])
