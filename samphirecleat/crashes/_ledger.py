"""Determines which calls crash the targets that run them, from the reports of all nodes.

A request that crashes each target that begins to run it is resent with a new ID, at any node. With
an attempt limit per call only, it crashes three targets each time. A crashing target takes all its
calls down, so most calls under which a target crashed are innocent; what happens to a call
afterwards tells them apart.

Pure: performs no I/O and uses neither clock nor randomness.
"""

from collections import OrderedDict
from collections.abc import Sequence
from typing import Final

from ._suspect import (
    SETTLE_S,
    CrashVerdict,
    RunEnd,
    Suspect,
    crashes_targets,
    may_crash_targets,
)

# Targets that crash within this time of each other may have a common cause.
COMMON_CAUSE_WINDOW_S: Final = 0.5
# A call that isn't refused is forgotten this long after its latest crash.
SUSPECT_TTL_S: Final = 600.0
# A refused call is forgotten once nobody has sent it for this long.
REFUSED_TTL_S: Final = 3600.0
# Time for which an answer to a call is remembered.
ANSWER_TTL_S: Final = 60.0
MAX_ANSWERS: Final = 4096
ENDED_TARGET_TTL_S: Final = 60.0
# Limits the decisions per review, so that many suspects don't block the event loop.
MAX_DECISIONS_PER_REVIEW: Final = 32
MAX_SUSPECTS: Final = 2048
# Suspects are evicted in batches, since ranking them requires a scan of all.
EVICTION_BATCH: Final = 128
MAX_ENDS_PER_CALL: Final = 16


class CrashLedger:
    """Suspects by the digest of their call."""

    def __init__(self) -> None:
        """Start without suspects."""
        self.suspects: OrderedDict[bytes, Suspect] = OrderedDict()
        self.ended_targets: OrderedDict[str, float] = OrderedDict()
        self._answered: OrderedDict[bytes, float] = OrderedDict()
        self._undecided: set[bytes] = set()

    def record_end(self, digest: bytes, end: RunEnd, now_s: float, *, fresh: bool = True) -> bool:
        """Record a run that ended with its target; return False if it is known or irrelevant.

        An end that isn't ``fresh`` happened before this process started and proves nothing alone.
        """
        self.record_ended_target(end.target, end.ended_s, now_s)
        suspect = self._get_or_add(digest)
        if end.target in suspect.ends or end.begun_s <= suspect.answered_s:
            return False
        if len(suspect.ends) >= MAX_ENDS_PER_CALL:
            return False
        suspect.ends[end.target] = end
        suspect.seen_at_s = max(suspect.seen_at_s, now_s)
        suspect.fresh = suspect.fresh or fresh
        if may_crash_targets(suspect):
            self._undecided.add(digest)
        return True

    def record_ended_target(self, target: str, at_s: float, now_s: float) -> bool:
        """Record a crashed target, whatever it ran; return False if it is known or too old."""
        if now_s - at_s > ENDED_TARGET_TTL_S or target in self.ended_targets:
            return False
        self.ended_targets[target] = at_s
        if len(self.ended_targets) > MAX_SUSPECTS:
            self.ended_targets.popitem(last=False)
        return True

    def remember_answer(self, digest: bytes, answered_s: float) -> None:
        """Remember for a while that a call was answered, whether or not it is suspect."""
        self._answered[digest] = answered_s
        self._answered.move_to_end(digest)
        if len(self._answered) > MAX_ANSWERS:
            self._answered.popitem(last=False)

    def recall_answer(self, digest: bytes, now_s: float) -> bool:
        """Apply a remembered answer to a suspect; return False if it changes nothing."""
        answered_s = self._answered.get(digest)
        if answered_s is None or now_s - answered_s > ANSWER_TTL_S:
            return False
        suspect = self._get_or_add(digest)
        if answered_s <= suspect.answered_s:
            return False
        self.record_answer(digest, answered_s)
        return True

    def record_answer(self, digest: bytes, answered_s: float) -> bool:
        """Record that a target answered a call: earlier crashes under it have another cause.

        Return False if that clears nothing. The answer is kept for a while, since reports of
        earlier crashes may still arrive.
        """
        suspect = self._get_or_add(digest)
        if answered_s <= suspect.answered_s:
            return False
        suspect.answered_s = answered_s
        before = len(suspect.ends)
        suspect.ends = {t: end for t, end in suspect.ends.items() if end.begun_s > answered_s}
        cleared = len(suspect.ends) < before or suspect.refused
        if not suspect.ends:
            suspect.refused = False
        return cleared

    def record_refusal(self, digest: bytes, now_s: float) -> bool:
        """Record that another node refuses a call; return False if that is known."""
        suspect = self._get_or_add(digest)
        suspect.seen_at_s = now_s
        was_refused, suspect.refused = suspect.refused, True
        return not was_refused

    def drop(self, digest: bytes) -> None:
        """Forget a call."""
        self.suspects.pop(digest, None)

    def verdict(self, digest: bytes, now_s: float) -> CrashVerdict:
        """Return whether a call may be sent now."""
        suspect = self.suspects.get(digest)
        if suspect is None:
            return CrashVerdict.CLEAR
        if suspect.refused:
            suspect.seen_at_s = now_s
            return CrashVerdict.REFUSED
        if not suspect.ends:
            return CrashVerdict.CLEAR
        if not may_crash_targets(suspect):
            return CrashVerdict.SUSPECT
        if self._is_settling(suspect, now_s):
            return CrashVerdict.HELD
        return CrashVerdict.REFUSED if self._refuse_if_proven(suspect) else CrashVerdict.SUSPECT

    def awaits_verdict(self, digest: bytes) -> bool:
        """Whether a call fits the crash pattern and isn't refused yet."""
        suspect = self.suspects.get(digest)
        return suspect is not None and not suspect.refused and may_crash_targets(suspect)

    def decide(self, now_s: float) -> Sequence[bytes]:
        """Refuse each call whose evidence is complete and sufficient; return the refused calls.

        A call that stays undecided is evaluated again when it is sent or a new report arrives.
        """
        due = [digest for digest in self._undecided if self._is_due(digest, now_s)][
            :MAX_DECISIONS_PER_REVIEW
        ]
        self._undecided.difference_update(due)
        return [
            digest
            for digest in due
            if self.awaits_verdict(digest) and self._refuse_if_proven(self.suspects[digest])
        ]

    def _is_due(self, digest: bytes, now_s: float) -> bool:
        suspect = self.suspects.get(digest)
        return suspect is None or not self._is_settling(suspect, now_s)

    def forget(self, now_s: float) -> Sequence[bytes]:
        """Remove expired entries; return the calls that were removed."""
        expired = [
            digest for digest, suspect in self.suspects.items() if _is_expired(suspect, now_s)
        ]
        for digest in expired:
            del self.suspects[digest]
        while self.ended_targets:
            target, at_s = next(iter(self.ended_targets.items()))
            if now_s - at_s <= ENDED_TARGET_TTL_S:
                break
            del self.ended_targets[target]
        return expired

    def _is_settling(self, suspect: Suspect, now_s: float) -> bool:
        return now_s - suspect.last_end_s() < SETTLE_S

    def _refuse_if_proven(self, suspect: Suspect) -> bool:
        suspect.refused = crashes_targets(suspect, self.suspects.values(), self._is_isolated)
        return suspect.refused

    def _is_isolated(self, suspect: Suspect, ends: Sequence[RunEnd]) -> bool:
        """Whether no target crashed without the call at about the times of some of its crashes."""
        times_s = [end.ended_s for end in ends]
        return not any(
            target not in suspect.ends
            and any(abs(at_s - s) <= COMMON_CAUSE_WINDOW_S for s in times_s)
            for target, at_s in self.ended_targets.items()
        )

    def _get_or_add(self, digest: bytes) -> Suspect:
        suspect = self.suspects.get(digest)
        if suspect is None:
            if len(self.suspects) >= MAX_SUSPECTS:
                self._evict()
            suspect = self.suspects[digest] = Suspect()
        return suspect

    def _evict(self) -> None:
        """Evict the calls with the least evidence, the oldest first among equals."""
        ranked = sorted(
            self.suspects, key=lambda m: (self.suspects[m].refused, len(self.suspects[m].ends))
        )
        for digest in ranked[:EVICTION_BATCH]:
            del self.suspects[digest]


def _is_expired(suspect: Suspect, now_s: float) -> bool:
    if suspect.refused:
        return now_s - suspect.seen_at_s > REFUSED_TTL_S
    if suspect.ends:
        return now_s - suspect.seen_at_s > SUSPECT_TTL_S
    return now_s - suspect.answered_s > ANSWER_TTL_S
