"""Claims, performs and hands over duties; each duty has one holder among the nodes at a time.

The subject of a duty is its name. A holder either runs the steps of one service and sends orders to
its engines, or calls the platform's API on behalf of the whole system. All duties share this
mechanism: the claim in the step log, its offset as fencing number, the choice of the next holder,
and the check that the claim is still current.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from typing import Final, NamedTuple, Protocol

from .._boot_clock import boot_time_s
from ..blackboard import Blackboard
from ..observe import Observer
from ._election import Candidate, ElectionView, should_claim, successor
from ._fold import Claim
from ._ports import AppendOutcome
from ._records import incarnation_prefix
from ._step_log import StepLog

CHECK_INTERVAL_S: Final = 0.1
CHECK_JITTER_SHARE: Final = 0.2
# Timeout for saving and for writing the next holder's claim when this node leaves.
HAND_OVER_TIMEOUT_S: Final = 1.0
# A holder acts only if the log confirmed its claim within this time.
MAX_CONFIRMATION_AGE_S: Final = 0.8
# If the called services do not check fencing numbers, a new holder waits for the lease plus this
# before it acts. It covers the confirmation age above and some slack.
TAKEOVER_SLACK_S: Final = 1.0
# If they do check them, they refuse late calls of the previous holder. The new holder only waits
# until the previous one has stopped: its last confirmation, its last call in flight, and slack for
# clocks and the log.
FENCED_TAKEOVER_WAIT_S: Final = 2.0


def takeover_wait_s(lease_s: float, *, fenced: bool) -> float:
    """Return how long a new holder waits before it first acts, in seconds."""
    longest_s = lease_s + TAKEOVER_SLACK_S
    return min(FENCED_TAKEOVER_WAIT_S, longest_s) if fenced else longest_s


class Holder(NamedTuple):
    """The holder of a claim.

    It does not act in the first ``wait_s``, in which an earlier holder's calls may still take
    effect.
    """

    node_id: str
    fencing_number: int
    wait_s: float
    may_act: Callable[[float], bool]
    """Return whether the claim was confirmed within the given number of seconds."""
    taken_at_s: float = 0.0
    """When the claim was taken, on the boot clock."""

    def may_act_now(self) -> bool:
        """Return whether earlier holders have stopped and the claim was recently confirmed."""
        waited_s = boot_time_s() - self.taken_at_s
        return waited_s >= self.wait_s and self.may_act(MAX_CONFIRMATION_AGE_S)


class Duty(Protocol):
    """The work of one subject under one claim."""

    def start(self, on_failure: Callable[[BaseException], None]) -> None:
        """Start all tasks; ``on_failure`` gets the exception of a task that fails."""
        ...

    def stop(self) -> None:
        """Stop all tasks at once."""
        ...

    async def save(self) -> None:
        """Save the state from which the next holder continues."""
        ...

    @property
    def out_of_reach(self) -> bool:
        """Whether this node can't perform the duty, but another node might."""
        ...


DutyFactory = Callable[[str, Holder], Awaitable[Duty]]
"""Creates the duty of a subject for its holder."""


class _HeldDuty(NamedTuple):
    """A duty held by this node under the claim at ``offset``."""

    duty: Duty
    offset: int


class DutyKeeper:
    """Claims duties and performs each while its claim is current."""

    def __init__(
        self,
        board: Blackboard,
        step_log: StepLog,
        subjects: Callable[[], Mapping[str, DutyFactory]],
        observer: Observer,
        rng: random.Random,
        *,
        lease_s: float,
        fenced: bool = False,
    ) -> None:
        """Act for the node of ``board``; ``subjects`` returns the current duties.

        ``lease_s`` separates the calls of two holders unless the called services check fencing
        numbers (``fenced``).
        """
        self._board = board
        self._step_log = step_log
        self._subjects = subjects
        self._rng = rng
        self._logger = observer.log("duty")
        self._takeover_wait_s = takeover_wait_s(lease_s, fenced=fenced)
        self._held: dict[str, _HeldDuty] = {}
        self._claimed_at_s: dict[str, float] = {}
        self._began_s = 0.0
        self._leaving = False

    async def run(self) -> None:
        """Claim and perform duties until cancelled; stops all held duties on exit."""
        self._began_s = asyncio.get_running_loop().time()
        try:
            while True:
                await self._check_claims()
                await asyncio.sleep(
                    CHECK_INTERVAL_S * (1.0 + CHECK_JITTER_SHARE * self._rng.random())
                )
        finally:
            for subject in list(self._held):
                self._stop_duty(subject)

    async def hand_over(self) -> None:
        """Hand each held duty over to another node, and claim nothing from now on.

        Saves the state of each duty and writes the claim of its next holder. All duties are handed
        over at the same time: one that fails or takes its whole timeout does not delay the others,
        and other nodes claim what is not handed over within moments.
        """
        self._leaving = True
        await asyncio.gather(*map(self._hand_over, list(self._held)))

    def held_duties(self) -> Mapping[str, int]:
        """Return the fencing numbers of the duties that this node holds, by subject."""
        return {subject: held.offset for subject, held in self._held.items()}

    async def _hand_over(self, subject: str) -> None:
        """Hand one duty over; a failure is only logged, as another node then claims the duty."""
        held = self._held.get(subject)
        next_holder = successor(self._candidates(), self._board.identity.incarnation)
        if held is None or next_holder is None:
            return
        try:
            async with asyncio.timeout(HAND_OVER_TIMEOUT_S):
                await held.duty.save()
                if not self._is_claimed_at(subject, held.offset):
                    self._logger.info("subject=%s claimed by another node meanwhile", subject)
                    return
                await self._step_log.claim(subject, next_holder.node_id, next_holder.incarnation)
        except TimeoutError:
            self._logger.warning("subject=%s hand-over timed out", subject)
        except Exception as error:
            self._logger.error("subject=%s hand-over failed: %r", subject, error, exc_info=error)

    def _is_claimed_at(self, subject: str, offset: int) -> bool:
        """Whether the claim at this offset is the one in force."""
        claim = self._step_log.fold.claims.get(subject)
        return claim is not None and claim.offset == offset

    def _candidates(self) -> list[Candidate]:
        return [
            Candidate(m.node_id, m.incarnation, m.started_at_ms, m.cores)
            for m in self._board.live_members()
            if m.ready and not m.leaving
        ]

    async def _check_claims(self) -> None:
        if not self._step_log.caught_up:
            return
        own = self._board.identity.incarnation
        subjects = self._subjects()
        for subject, held in list(self._held.items()):
            if subject not in subjects or not self._is_claimed_at(subject, held.offset):
                self._stop_duty(subject)
        for subject, factory in subjects.items():
            claim = self._step_log.fold.claims.get(subject)
            if claim is not None and claim.incarnation == own:
                if subject not in self._held and not self._leaving:
                    await self._start_duty(subject, claim, factory)
                elif not self._leaving and self._held[subject].duty.out_of_reach:
                    self._logger.warning(
                        "subject=%s handing over, not possible from this node", subject
                    )
                    await self._hand_over(subject)
            elif not self._leaving and not self._is_held(claim):
                await self._claim_if_due(subject, claim)

    def _is_held(self, claim: Claim | None) -> bool:
        """Return whether the claiming process is alive and not leaving."""
        view = self._board.members.get(claim.node_id) if claim is not None else None
        if claim is None or view is None:
            return False
        member = view.member
        return view.alive and member.incarnation == claim.incarnation and not member.leaving

    async def _claim_if_due(self, subject: str, claim: Claim | None) -> None:
        now_s = asyncio.get_running_loop().time()
        identity = self._board.identity
        members = list(self._board.members.values())
        alive = {m.incarnation for m in self._board.live_members() if not m.leaving}
        last_write_at_s = self._step_log.last_write_at_s
        claim_age_s = now_s - self._step_log.claimed_at_s.get(subject, -1e9)
        silent_s = (
            now_s - last_write_at_s.get(incarnation_prefix(claim.incarnation), -1e9)
            if claim
            else 1e9
        )
        view = ElectionView(
            identity.incarnation,
            self._candidates(),
            len(members),
            claim,
            alive,
            silent_s,
            claim_age_s,
            now_s - self._claimed_at_s.get(subject, -1e9),
            now_s - self._began_s,
        )
        if not should_claim(view) or not self._step_log.is_fresh():
            return
        self._claimed_at_s[subject] = now_s
        written = await self._step_log.claim(subject, identity.node_id, identity.incarnation)
        if written.outcome is AppendOutcome.NOT_APPENDED:
            # The claim was not written, so it can't alternate with another node's claims and
            # needs no pause. Attempts end when the local state of the log becomes stale.
            del self._claimed_at_s[subject]
        self._logger.info(
            "subject=%s claimed after=%s/%s candidates=%d known=%d outcome=%s",
            subject,
            claim.node_id if claim else "",
            claim.incarnation if claim else "",
            len(view.candidates),
            view.known_members,
            written.outcome.value,
        )

    async def _start_duty(self, subject: str, claim: Claim, factory: DutyFactory) -> None:
        # All processes of a host count as the same holder.
        previous_is_other = claim.previous_node_id not in ("", claim.node_id)
        holder = Holder(
            claim.node_id,
            claim.offset,
            self._takeover_wait_s if previous_is_other else 0.0,
            self._may_act(subject, claim),
            boot_time_s(),
        )
        duty = await factory(subject, holder)
        if self._leaving or not self._is_claimed_at(subject, claim.offset):
            # Another node holds the duty now, or claims it as this one leaves.
            return
        duty.start(partial(self._restart_after_failure, subject, claim.offset))
        self._held[subject] = _HeldDuty(duty, claim.offset)
        self._logger.info(
            "subject=%s taken fencing=%d follows=%s", subject, claim.offset, claim.previous_node_id
        )

    def _may_act(self, subject: str, claim: Claim) -> Callable[[float], bool]:
        def may_act(within_s: float) -> bool:
            if self._leaving or not self._is_claimed_at(subject, claim.offset):
                return False
            return self._step_log.is_fresh(within_s)

        return may_act

    def _restart_after_failure(self, subject: str, offset: int, error: BaseException) -> None:
        """Stop a duty whose task failed; the next check restarts it, so that no work is stuck."""
        self._logger.error("a task of a duty failed, restarting the duty", exc_info=error)
        held = self._held.get(subject)
        if held is not None and held.offset == offset:
            self._stop_duty(subject)

    def _stop_duty(self, subject: str) -> None:
        held = self._held.pop(subject)
        held.duty.stop()
        self._logger.info("subject=%s left fencing=%d", subject, held.offset)
