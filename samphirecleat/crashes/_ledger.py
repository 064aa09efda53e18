"""Which calls end the targets that run them: evidence of all nodes, and what follows from it.

Load pattern answered: a request that crashes each target that begins to run it comes again with a
new id, at any node. A bound on attempts that each call keeps for itself lets it end three targets
each time. A target that ends takes all its calls down, so most calls under which one ended are
innocent; they are told apart by what happens to them next.

Pure: no I/O, no clock and no randomness of its own.
"""

from collections import OrderedDict
from collections.abc import Sequence
from typing import Final

from ._suspect import (
    SETTLE_S,
    CrashVerdict,
    RunEnd,
    Suspect,
    ends_its_targets,
    may_end_its_targets,
)

# Targets that end within this time of each other may have one cause.
TOGETHER_S: Final = 0.5
# A call that is not refused is forgotten this long after its newest end.
SUSPECT_KEPT_S: Final = 600.0
# One that is refused is, once nobody has sent it for this long.
REFUSED_KEPT_S: Final = 3600.0
# How long it is known that a call was answered.
ANSWERED_KEPT_S: Final = 60.0
MOST_ANSWERED: Final = 4096
ENDED_TARGETS_KEPT_S: Final = 60.0
# Verdicts of one look, so that a flood of suspects does not hold the node up.
DECIDED_AT_ONCE: Final = 32
MOST_SUSPECTS: Final = 2048
# Room is made for so many at once, since finding the least costs a look at each.
DROPPED_AT_ONCE: Final = 128
MOST_ENDS_KEPT: Final = 16


class CrashLedger:
    """Suspects by the digest of their call."""

    def __init__(self) -> None:
        """Start with nothing known."""
        self.suspects: OrderedDict[bytes, Suspect] = OrderedDict()
        self.ended_targets: OrderedDict[str, float] = OrderedDict()
        self._answered: OrderedDict[bytes, float] = OrderedDict()
        self._undecided: set[bytes] = set()

    def note_end(self, digest: bytes, end: RunEnd, now_s: float, *, fresh: bool = True) -> bool:
        """Take a run that ended with its target; False if it is known or changes nothing.

        An end that is not ``fresh`` is from before this process and proves nothing by itself.
        """
        self.note_ended_target(end.target, end.ended_s, now_s)
        suspect = self._suspect(digest)
        if end.target in suspect.ends or end.begun_s <= suspect.answered_s:
            return False
        if len(suspect.ends) >= MOST_ENDS_KEPT:
            return False
        suspect.ends[end.target] = end
        suspect.seen_at_s = max(suspect.seen_at_s, now_s)
        suspect.fresh = suspect.fresh or fresh
        if may_end_its_targets(suspect):
            self._undecided.add(digest)
        return True

    def note_ended_target(self, target: str, at_s: float, now_s: float) -> bool:
        """Take a target that ended, whatever it ran; False if that is known or long past."""
        if now_s - at_s > ENDED_TARGETS_KEPT_S or target in self.ended_targets:
            return False
        self.ended_targets[target] = at_s
        if len(self.ended_targets) > MOST_SUSPECTS:
            self.ended_targets.popitem(last=False)
        return True

    def remember_answer(self, digest: bytes, answered_s: float) -> None:
        """Keep for a while that a call was answered, whether or not it is suspected."""
        self._answered[digest] = answered_s
        self._answered.move_to_end(digest)
        if len(self._answered) > MOST_ANSWERED:
            self._answered.popitem(last=False)

    def recall_answer(self, digest: bytes, now_s: float) -> bool:
        """Bring what is remembered of a call's answers to bear on it; False if that is no news."""
        answered_s = self._answered.get(digest)
        if answered_s is None or now_s - answered_s > ANSWERED_KEPT_S:
            return False
        suspect = self._suspect(digest)
        if answered_s <= suspect.answered_s:
            return False
        self.note_answer(digest, answered_s)
        return True

    def note_answer(self, digest: bytes, answered_s: float) -> bool:
        """Note that a target answered a call: what ended before it did not end by this call.

        False if that clears nothing. It is kept for a while, since ends that it clears may be
        heard of later.
        """
        suspect = self._suspect(digest)
        if answered_s <= suspect.answered_s:
            return False
        suspect.answered_s = answered_s
        before = len(suspect.ends)
        suspect.ends = {t: end for t, end in suspect.ends.items() if end.begun_s > answered_s}
        cleared = len(suspect.ends) < before or suspect.refused
        if not suspect.ends:
            suspect.refused = False
        return cleared

    def note_refused(self, digest: bytes, now_s: float) -> bool:
        """Take another node's word that a call is refused; False if that is known."""
        suspect = self._suspect(digest)
        suspect.seen_at_s = now_s
        known, suspect.refused = suspect.refused, True
        return not known

    def drop(self, digest: bytes) -> None:
        """Forget a call."""
        self.suspects.pop(digest, None)

    def verdict(self, digest: bytes, now_s: float) -> CrashVerdict:
        """Return what may be done with a call now."""
        suspect = self.suspects.get(digest)
        if suspect is None:
            return CrashVerdict.CLEAR
        if suspect.refused:
            suspect.seen_at_s = now_s
            return CrashVerdict.REFUSED
        if not suspect.ends:
            return CrashVerdict.CLEAR
        if not may_end_its_targets(suspect):
            return CrashVerdict.SUSPECT
        if self._settles(suspect, now_s):
            return CrashVerdict.HELD
        return CrashVerdict.REFUSED if self._refuse_if_guilty(suspect) else CrashVerdict.SUSPECT

    def awaits_verdict(self, digest: bytes) -> bool:
        """Whether a call has the shape of one that ends its targets, and is not refused yet."""
        suspect = self.suspects.get(digest)
        return suspect is not None and not suspect.refused and may_end_its_targets(suspect)

    def decide(self, now_s: float) -> Sequence[bytes]:
        """Refuse each call whose newest evidence is complete and enough; return those.

        One that stays in doubt is looked at again when it is sent, or when more is heard of it.
        """
        due = [digest for digest in self._undecided if self._is_due(digest, now_s)][
            :DECIDED_AT_ONCE
        ]
        self._undecided.difference_update(due)
        return [
            digest
            for digest in due
            if self.awaits_verdict(digest) and self._refuse_if_guilty(self.suspects[digest])
        ]

    def _is_due(self, digest: bytes, now_s: float) -> bool:
        suspect = self.suspects.get(digest)
        return suspect is None or not self._settles(suspect, now_s)

    def forget(self, now_s: float) -> Sequence[bytes]:
        """Forget what is old; return the calls that were dropped."""
        gone = [digest for digest, suspect in self.suspects.items() if _is_over(suspect, now_s)]
        for digest in gone:
            del self.suspects[digest]
        while self.ended_targets:
            target, at_s = next(iter(self.ended_targets.items()))
            if now_s - at_s <= ENDED_TARGETS_KEPT_S:
                break
            del self.ended_targets[target]
        return gone

    def _settles(self, suspect: Suspect, now_s: float) -> bool:
        return now_s - suspect.last_end_s() < SETTLE_S

    def _refuse_if_guilty(self, suspect: Suspect) -> bool:
        suspect.refused = ends_its_targets(suspect, self.suspects.values(), self._is_calm)
        return suspect.refused

    def _is_calm(self, suspect: Suspect, ends: Sequence[RunEnd]) -> bool:
        """Whether no target ended without a call near the times of some of its ends."""
        times_s = [end.ended_s for end in ends]
        return not any(
            target not in suspect.ends and any(abs(at_s - s) <= TOGETHER_S for s in times_s)
            for target, at_s in self.ended_targets.items()
        )

    def _suspect(self, digest: bytes) -> Suspect:
        suspect = self.suspects.get(digest)
        if suspect is None:
            if len(self.suspects) >= MOST_SUSPECTS:
                self._make_room()
            suspect = self.suspects[digest] = Suspect()
        return suspect

    def _make_room(self) -> None:
        """Drop the calls with the least evidence, of several the oldest."""
        ranked = sorted(
            self.suspects, key=lambda m: (self.suspects[m].refused, len(self.suspects[m].ends))
        )
        for digest in ranked[:DROPPED_AT_ONCE]:
            del self.suspects[digest]


def _is_over(suspect: Suspect, now_s: float) -> bool:
    if suspect.refused:
        return now_s - suspect.seen_at_s > REFUSED_KEPT_S
    if suspect.ends:
        return now_s - suspect.seen_at_s > SUSPECT_KEPT_S
    return now_s - suspect.answered_s > ANSWERED_KEPT_S
