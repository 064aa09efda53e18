"""Determines whether a target that cut a connection crashed; blocks calls that crash targets."""

import asyncio
from collections.abc import Awaitable, Callable, Collection, Sequence
from enum import Enum
from functools import partial
from typing import Final, NamedTuple, Protocol

from ..observe import Observer
from ._blocked import HELD_RETRY_S, is_blocked
from ._crash_gossip import NO_CALL, CrashGossip
from ._crashed_services import CrashedServices, EmptyServiceView, ServiceSize, ServiceView
from ._ledger import CrashLedger
from ._suspect import CrashedRun, CrashVerdict, Suspicion, suspicion_of
from ._suspect_gate import SuspectGate
from ._target_start import TargetStart
from ._urgent_reports import UrgentReports

# A target that still listens right after it cut a connection may have crashed and restarted at
# once. Its registration shows this within three of its heartbeats plus the latency to this node.
UNCONFIRMED_CUT_TTL_S: Final = 6.0
MAX_UNCONFIRMED_CUTS: Final = 1024
# Number of other targets of the service that are probed before a call is blamed.
MAX_PROBED_TARGETS: Final = 3
# Calls whose connections a target cut within this time share one probe of the target.
PROBE_REUSE_S: Final = 0.25
# Time within which nearly all nodes have an urgent report: about two hops of a datagram each.
ANNOUNCED_WITHIN_S: Final = 0.1


class RegistrationState(Enum):
    """State of one start of a target according to its registration."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class EvidenceRecorder(Protocol):
    """Persists the evidence on a call."""

    def record(self, digest: bytes, *, own: bool) -> None:
        """Schedule a write of the evidence on a call.

        ``own`` says that this node observed it; such a node writes before the others.
        """
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
        registration_state: Callable[[TargetStart], RegistrationState],
        siblings: Callable[[TargetStart], Sequence[TargetStart]],
        recorder: EvidenceRecorder,
        observer: Observer,
        services: ServiceView | None = None,
        urgent: UrgentReports | None = None,
    ) -> None:
        """Take the node's view of its targets.

        ``listens`` tells whether anything accepts connections at an address. ``registration_state``
        returns the state of a target's start, and ``siblings`` the other targets of its service.
        ``services`` tells the size of services; without it, every service counts as large.
        ``urgent`` sends reports of crashes in small services at once; without it, they are sent on
        heartbeats only.
        """
        self._node_id = node_id
        self._ledger = ledger
        self._gossip = gossip
        self._listens = listens
        self._registration_state = registration_state
        self._siblings = siblings
        self._observer = observer
        self._logger = observer.log("crashes")
        self._unconfirmed_cuts: list[_Cut] = []
        self._known_incarnations: frozenset[str] = frozenset()
        self._probes: dict[TargetStart, tuple[float, asyncio.Task[bool]]] = {}
        self._recorder = recorder
        self._services = CrashedServices(services or EmptyServiceView())
        self._gate = SuspectGate(self._services)
        self._urgent = urgent or UrgentReports(gossip)
        ledger.on_crashed_target = self._services.record_crash
        ledger.has_no_spare = self._has_no_spare
        gossip.on_new_crash = partial(self._send_urgently, observed=False)

    @property
    def has_suspects(self) -> bool:
        """Whether any call is suspect; if not, callers needn't compute digests."""
        return bool(self._ledger.suspects)

    def verdict(self, request_id: str, digest: bytes, *, owed: bool = False) -> CrashVerdict:
        """Return whether a call may be sent now; log and count it if it is blocked.

        A call that is ``owed`` is never refused.
        """
        now_s = asyncio.get_running_loop().time()
        verdict = self._verdict(digest, now_s, owed=owed)
        if is_blocked(verdict):
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

    def is_blocked(self, digest: bytes) -> bool:
        """Whether a call is held or refused now; nothing is logged or counted."""
        now_s = asyncio.get_running_loop().time()
        return is_blocked(self._ledger.verdict(digest, now_s))

    def may_send_suspect(self, digest: bytes, service: str, *, owed: bool = False) -> bool:
        """Whether the service can afford that this call, if it is suspect, is sent to it now."""
        now_s = asyncio.get_running_loop().time()
        return not self._has_to_wait(digest, owed=owed) or self._gate.is_free(service, now_s)

    def is_suspect(self, digest: bytes) -> bool:
        """Whether a target crashed under a call since its last answer."""
        now_s = asyncio.get_running_loop().time()
        return self._ledger.verdict(digest, now_s) is not CrashVerdict.CLEAR

    def may_start_suspect(self, digest: bytes, service: str, *, owed: bool = False) -> bool:
        """Whether a call that has waited for its turn may be sent now."""
        now_s = asyncio.get_running_loop().time()
        return not self._has_to_wait(digest, owed=owed) or self._gate.may_start(service, now_s)

    def must_stop_suspect(self, digest: bytes, service: str, *, owed: bool = False) -> bool:
        """Whether a call became suspect whose service can't afford another lost target."""
        now_s = asyncio.get_running_loop().time()
        size = self._services.size(service, now_s)
        return not size.is_large and not size.can_lose_one and self._has_to_wait(digest, owed=owed)

    def suspicion(self, digest: bytes) -> Suspicion:
        """Return what speaks against a call; nothing is logged or counted."""
        now_s = asyncio.get_running_loop().time()
        return suspicion_of(self._ledger.suspects.get(digest), self._ledger.verdict(digest, now_s))

    def service_size(self, service: str) -> ServiceSize:
        """Return how many targets a service has left."""
        return self._services.size(service, asyncio.get_running_loop().time())

    async def wait_for_turn(
        self,
        request_id: str,
        digest: bytes,
        service: str,
        last_start_s: float,
        *,
        owed: bool = False,
    ) -> bool:
        """Wait until a call may be sent to a service, which is at once unless it is suspect.

        Return False if a suspect can't be sent before ``last_start_s``, on the loop's clock. The
        caller asks for the verdict and sends the call without yielding in between.
        """
        if self.may_send_suspect(digest, service, owed=owed):
            return True
        began_s = asyncio.get_running_loop().time()
        self._observer.counters["crash_suspects_waited"] += 1
        may_send = await self._gate.wait(
            service, last_start_s, lambda: not self._has_to_wait(digest, owed=owed)
        )
        now_s = asyncio.get_running_loop().time()
        size = self._services.size(service, now_s)
        if not may_send:
            self._observer.counters["crash_suspects_not_sent"] += 1
        self._logger.info(
            "request=%s call=%s service=%s suspect waited=%.3f s may_send=%s time_left=%.3f s "
            "accepting=%d required=%d targets=%d",
            request_id,
            digest.hex(),
            service,
            now_s - began_s,
            may_send,
            last_start_s - now_s,
            size.accepting,
            size.required,
            size.total,
        )
        return may_send

    def start_suspect(self, service: str) -> Callable[[], None]:
        """Count a suspect that is sent to a service; return a function that ends this."""
        return self._gate.start(service)

    def suspects_running(self, service: str) -> int:
        """Return how many suspects this node runs in a service."""
        return self._gate.running(service)

    def retry_after_s(self, service: str) -> float:
        """Return the time after which a suspect that wasn't sent may be sent again."""
        now_s = asyncio.get_running_loop().time()
        return max(HELD_RETRY_S, self._services.earliest_restart_s(service, now_s) - now_s)

    def announcing_left_s(self, digest: bytes) -> float:
        """Return the time until other nodes know of a crash under the call that was seen here.

        It is 0 for crashes in large services.
        """
        now_s = asyncio.get_running_loop().time()
        suspect = self._ledger.suspects.get(digest)
        runs = suspect.crashed_runs.values() if suspect is not None else ()
        own_s = [
            run.ended_s
            for run in runs
            if run.node == self._node_id and self._is_in_small_service(run.target)
        ]
        return max(0.0, max(own_s) + ANNOUNCED_WITHIN_S - now_s) if own_s else 0.0

    def _has_to_wait(self, digest: bytes, *, owed: bool) -> bool:
        """Whether a call is suspect, and no recent answer speaks for it."""
        now_s = asyncio.get_running_loop().time()
        if self._verdict(digest, now_s, owed=owed) is not CrashVerdict.SUSPECT:
            return False
        return not self._ledger.was_answered_recently(digest, now_s)

    def _verdict(self, digest: bytes, now_s: float, *, owed: bool) -> CrashVerdict:
        if owed:
            return self._ledger.verdict_if_owed(digest, now_s)
        return self._ledger.verdict(digest, now_s)

    def _has_no_spare(self, target: str) -> bool:
        service = self._services.service_of_crashed(target)
        now_s = asyncio.get_running_loop().time()
        return service is not None and self._services.size(service, now_s).has_no_spare

    def _is_in_small_service(self, target: str) -> bool:
        service = self._services.service_of_crashed(target)
        now_s = asyncio.get_running_loop().time()
        return service is not None and not self._services.size(service, now_s).is_large

    def _send_urgently(self, digest: bytes, target: str, *, observed: bool) -> None:
        """Report a crash to several members at once if its service has few targets left."""
        if self._is_in_small_service(target):
            self._urgent.add(digest, target, observed=observed)

    def record_answer(self, request_id: str, digest: bytes) -> None:
        """Record a target's answer to a call, which may be suspect."""
        now_s = asyncio.get_running_loop().time()
        self._ledger.remember_answer(digest, now_s)
        suspect = self._ledger.suspects.get(digest)
        if suspect is None or not suspect.crashed_runs:
            return
        crash_count = len(suspect.crashed_runs)
        if self._ledger.record_answer(digest, now_s):
            self._logger.info(
                "request=%s call=%s answered cleared_ends=%d", request_id, digest.hex(), crash_count
            )
            self._gossip.announce(digest)
            self._recorder.record(digest, own=True)

    async def record_cut(
        self, request_id: str, digest: bytes, start: TargetStart, begun_s: float, detail: str
    ) -> None:
        """Record a run whose connection the target closed before the answer was complete.

        Return once it is known that the target crashed or didn't crash, or that only a later
        ``review`` can tell.
        """
        cut_s = asyncio.get_running_loop().time()
        state = self._registration_state(start)
        listens = state is RegistrationState.READY and await self._probe(start, cut_s)
        counts = state is RegistrationState.READY and not listens
        self._logger.warning(
            "request=%s call=%s target=%s cut after=%.3f s registered=%s listens=%s counts=%s "
            "detail=%s",
            request_id,
            digest.hex(),
            start.name,
            cut_s - begun_s,
            state.value,
            listens,
            counts,
            detail,
        )
        cut = _Cut(digest, start, begun_s, cut_s)
        if counts:
            self._record_crash(cut)
            if self._ledger.awaits_verdict(digest):
                await self._probe_siblings(digest, start)
        elif listens:
            self._unconfirmed_cuts.append(cut)
            del self._unconfirmed_cuts[:-MAX_UNCONFIRMED_CUTS]

    def review(self, live_incarnations: Collection[str]) -> None:
        """Resolve unconfirmed cuts, refuse calls with sufficient evidence, and drop old entries.

        If one of ``live_incarnations`` is new, all refused calls are announced again, since that
        node has missed the earlier reports.
        """
        now_s = asyncio.get_running_loop().time()
        if not self._known_incarnations.issuperset(live_incarnations):
            self._announce_refused()
        self._known_incarnations = frozenset(live_incarnations)
        self._services.refresh(now_s)
        unconfirmed_cuts, self._unconfirmed_cuts = self._unconfirmed_cuts, []
        for cut in unconfirmed_cuts:
            match self._registration_state(cut.start):
                case RegistrationState.GONE:
                    self._logger.info(
                        "call=%s target=%s ended: registration removed after=%.3f s",
                        cut.digest.hex(),
                        cut.start.name,
                        now_s - cut.cut_s,
                    )
                    self._record_crash(cut)
                case RegistrationState.READY if now_s - cut.cut_s <= UNCONFIRMED_CUT_TTL_S:
                    self._unconfirmed_cuts.append(cut)
        self._probes = {
            start: probe
            for start, probe in self._probes.items()
            if now_s - probe[0] <= PROBE_REUSE_S
        }
        for digest in self._ledger.refuse_proven_calls(now_s):
            # "barred", in the counter and the log, means that a call is now refused.
            self._observer.counters["crash_calls_barred"] += 1
            self._logger.error(
                "call=%s barred evidence=%s", digest.hex(), self.evidence(digest, now_s)
            )
            runs = self._ledger.suspects[digest].crashed_runs.values()
            self._recorder.record(digest, own=any(run.node == self._node_id for run in runs))
        for digest in self._ledger.remove_expired(now_s):
            self._recorder.record(digest, own=False)

    def _announce_refused(self) -> None:
        for digest, suspect in self._ledger.suspects.items():
            if suspect.refused:
                for target in suspect.crashed_runs:
                    self._gossip.announce(digest, target)

    def evidence(self, digest: bytes, now_s: float) -> str:
        """Return each counted crash: its target, the observing node and its age."""
        suspect = self._ledger.suspects.get(digest)
        if suspect is None:
            return "none"
        runs = sorted(suspect.crashed_runs.values(), key=lambda run: run.ended_s)
        return ",".join(f"{run.target}/{run.node}/{now_s - run.ended_s:.1f}s" for run in runs)

    def _record_crash(self, cut: _Cut) -> None:
        now_s = asyncio.get_running_loop().time()
        name = cut.start.name
        run = CrashedRun(name, cut.begun_s, cut.cut_s, self._node_id)
        if not self._ledger.record_crash(cut.digest, run, now_s):
            return
        self._observer.counters["crash_ends_seen"] += 1
        self._gossip.announce_crash(cut.digest, name, now_s)
        self._send_urgently(cut.digest, name, observed=True)
        self._recorder.record(cut.digest, own=True)

    async def _probe_siblings(self, digest: bytes, start: TargetStart) -> None:
        """Look for crashed targets that didn't run the call, as when a whole zone fails."""
        ended = self._ledger.crashed_targets
        sample = [other for other in self._siblings(start) if other.name not in ended]
        sample = sample[:MAX_PROBED_TARGETS]
        now_s = asyncio.get_running_loop().time()
        listening = await asyncio.gather(*(self._probe(other, now_s) for other in sample))
        gone = [other.name for other, is_up in zip(sample, listening, strict=True) if not is_up]
        for name in gone:
            if self._ledger.record_crashed_target(name, now_s, now_s):
                self._gossip.announce(NO_CALL, name)
        self._logger.info(
            "call=%s probed other targets looked_at=%d ended=%s",
            digest.hex(),
            len(sample),
            ",".join(gone),
        )

    async def _probe(self, start: TargetStart, now_s: float) -> bool:
        """Return whether the target still listens, reusing a recent probe."""
        probe = self._probes.get(start)
        if probe is None or now_s - probe[0] > PROBE_REUSE_S:
            probe = (now_s, asyncio.ensure_future(self._listens(start.address)))
            self._probes[start] = probe
        return await asyncio.shield(probe[1])
