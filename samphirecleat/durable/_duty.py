"""Keeps one node's share of the duties that one node at a time has: claims, runs, hands over.

A duty is known by its subject: a service whose steps are run and whose engines get orders, or
what the platform's API is told for the whole system. All of them share this mechanism: the claim
in the step log, its offset as fencing number, the heir, and what says that the claim still stands.
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

LOOK_EVERY_S: Final = 0.1
LOOK_JITTER: Final = 0.2
# A leaving holder waits this long for the log to take its hand-over.
HAND_OVER_S: Final = 1.0
# A holder acts only within this long of the log's last word that its claim stands.
CONFIRMED_WITHIN_S: Final = 0.8
# Where fences are not checked, added to the lease before an heir's first act: the confirmation
# above, and slack.
TAKEOVER_SLACK_S: Final = 1.0
# Where they are, a call of the forerunner that is carried out late is refused. It only has to have
# stopped: its last confirmation, its last call under way, and slack for clocks and the log.
FENCED_WAIT_S: Final = 2.0


def heir_wait_s(lease_s: float, *, fenced: bool) -> float:
    """Return how long an heir lets pass before its first act."""
    longest_s = lease_s + TAKEOVER_SLACK_S
    return min(FENCED_WAIT_S, longest_s) if fenced else longest_s


class Holder(NamedTuple):
    """Who acts under a claim.

    ``wait_s`` is how long it lets pass first, so that no other node's act can still follow.
    """

    node_id: str
    fencing_number: int
    wait_s: float
    may_act: Callable[[float], bool]
    """Whether the claim was confirmed within some seconds."""
    taken_at_s: float = 0.0
    """When the claim was taken, on the boot clock."""

    def acts_now(self) -> bool:
        """Whether no earlier holder can still act, and the claim is known to stand."""
        waited_s = boot_time_s() - self.taken_at_s
        return waited_s >= self.wait_s and self.may_act(CONFIRMED_WITHIN_S)


class Duty(Protocol):
    """The work of one subject under one claim."""

    def start(self, on_failure: Callable[[BaseException], None]) -> None:
        """Begin; ``on_failure`` gets what ended a part of the work."""
        ...

    def stop(self) -> None:
        """End at once."""
        ...

    async def save(self) -> None:
        """Keep what an heir goes on from."""
        ...

    @property
    def out_of_reach(self) -> bool:
        """Whether another node could do what this one can't from where it is."""
        ...


DutyMaker = Callable[[str, Holder], Awaitable[Duty]]
"""Makes the work of a subject for its holder."""


class _Post(NamedTuple):
    """A duty that this node has, under the claim at ``offset``."""

    duty: Duty
    offset: int


class DutyKeeper:
    """Claims duties and does them for as long as the claim stands."""

    def __init__(
        self,
        board: Blackboard,
        step_log: StepLog,
        subjects: Callable[[], Mapping[str, DutyMaker]],
        observer: Observer,
        rng: random.Random,
        *,
        lease_s: float,
        fenced: bool = False,
    ) -> None:
        """Act for the node of ``board``; ``subjects`` gives what there is to do now.

        ``lease_s`` separates the acts of two holders where they are not ``fenced`` by those who
        take their calls.
        """
        self._board = board
        self._step_log = step_log
        self._subjects = subjects
        self._rng = rng
        self._words = observer.log("duty")
        self._heir_wait_s = heir_wait_s(lease_s, fenced=fenced)
        self._posts: dict[str, _Post] = {}
        self._claimed_at_s: dict[str, float] = {}
        self._began_s = 0.0
        self._leaving = False

    async def run(self) -> None:
        """Look after the duties for as long as the node lives."""
        self._began_s = asyncio.get_running_loop().time()
        try:
            while True:
                await self._look()
                await asyncio.sleep(LOOK_EVERY_S * (1.0 + LOOK_JITTER * self._rng.random()))
        finally:
            for subject in list(self._posts):
                self._leave_post(subject)

    async def hand_over(self) -> None:
        """Name the next holder of each duty that this node has, with what it goes on from."""
        self._leaving = True
        for subject in list(self._posts):
            await self._hand_over(subject)

    def posts(self) -> Mapping[str, int]:
        """Return the subjects that this node holds, with their fencing numbers."""
        return {subject: post.offset for subject, post in self._posts.items()}

    async def _hand_over(self, subject: str) -> None:
        heir = successor(self._candidates(), self._board.identity.incarnation)
        if heir is None:
            return
        try:
            async with asyncio.timeout(HAND_OVER_S):
                await self._posts[subject].duty.save()
                await self._step_log.claim(subject, heir.node_id, heir.incarnation)
        except TimeoutError:
            self._words.warning("subject=%s not handed over in time", subject)

    def _candidates(self) -> list[Candidate]:
        return [
            Candidate(m.node_id, m.incarnation, m.started_at_ms, m.cores)
            for m in self._board.live_members()
            if m.ready and not m.leaving
        ]

    async def _look(self) -> None:
        if not self._step_log.caught_up:
            return
        own = self._board.identity.incarnation
        subjects = self._subjects()
        for subject in list(self._posts):
            claim = self._step_log.fold.claims.get(subject)
            lost = claim is None or claim.offset != self._posts[subject].offset
            if lost or subject not in subjects:
                self._leave_post(subject)
        for subject, maker in subjects.items():
            claim = self._step_log.fold.claims.get(subject)
            if claim is not None and claim.incarnation == own:
                if subject not in self._posts and not self._leaving:
                    await self._take_post(subject, claim, maker)
                elif not self._leaving and self._posts[subject].duty.out_of_reach:
                    self._words.warning("subject=%s out of reach from here", subject)
                    await self._hand_over(subject)
            elif not self._leaving and not self._is_held(claim):
                await self._claim_if_due(subject, claim)

    def _is_held(self, claim: Claim | None) -> bool:
        """Whether the node of a claim lives and stays, which is so nearly all the time."""
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
        heard_s = self._step_log.last_write_at_s
        claim_age_s = now_s - self._step_log.claimed_at_s.get(subject, -1e9)
        silent_s = (
            now_s - heard_s.get(incarnation_prefix(claim.incarnation), -1e9) if claim else 1e9
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
            # No claim was made that another node's could take turns with. Until the fold is
            # stale, which bounds the tries, the log may take the next one.
            del self._claimed_at_s[subject]
        self._words.info(
            "subject=%s claimed after=%s/%s candidates=%d known=%d outcome=%s",
            subject,
            claim.node_id if claim else "",
            claim.incarnation if claim else "",
            len(view.candidates),
            view.known_members,
            written.outcome.value,
        )

    async def _take_post(self, subject: str, claim: Claim, maker: DutyMaker) -> None:
        # One host is one holder, whichever of its processes acts.
        follows_other = claim.previous_node_id not in ("", claim.node_id)
        holder = Holder(
            claim.node_id,
            claim.offset,
            self._heir_wait_s if follows_other else 0.0,
            self._may_act(subject, claim),
            boot_time_s(),
        )
        duty = await maker(subject, holder)
        duty.start(partial(self._note_failure, subject, claim.offset))
        self._posts[subject] = _Post(duty, claim.offset)
        self._words.info(
            "subject=%s taken fencing=%d follows=%s", subject, claim.offset, claim.previous_node_id
        )

    def _may_act(self, subject: str, claim: Claim) -> Callable[[float], bool]:
        def may_act(within_s: float) -> bool:
            held = self._step_log.fold.claims.get(subject)
            if held is None or held.offset != claim.offset or self._leaving:
                return False
            return self._step_log.is_fresh(within_s)

        return may_act

    def _note_failure(self, subject: str, offset: int, error: BaseException) -> None:
        """Begin a duty anew when a part of it failed: what waits for it would wait for good."""
        self._words.error("a part of a duty failed", exc_info=error)
        post = self._posts.get(subject)
        if post is not None and post.offset == offset:
            self._leave_post(subject)

    def _leave_post(self, subject: str) -> None:
        post = self._posts.pop(subject)
        post.duty.stop()
        self._words.info("subject=%s left fencing=%d", subject, post.offset)
