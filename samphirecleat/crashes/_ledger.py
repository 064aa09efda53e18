"""Determines which calls crash the targets that run them, from the reports of all nodes.

The caller of a request that crashes every target resends it with a new ID, to any node. A limit on
the attempts per call doesn't stop it: each resend crashes up to three more targets. A crashing
target ends all calls that it runs, so most calls under which a target crashed are innocent. They
are recognized by their later runs, which are answered or crash no further target.

Pure: performs no I/O and uses neither clock nor randomness.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Sequence
from typing import Final

from ._suspect import (
    OWED_BACKOFF_S,
    SETTLE_S,
    CrashedRun,
    CrashVerdict,
    Suspect,
    crashes_alone,
    crashes_targets,
    may_crash_targets,
)

# Crashes of targets within this time of each other may have a common cause.
COMMON_CAUSE_WINDOW_S: Final = 0.5
# A call that isn't refused is forgotten this long after its latest crash.
SUSPECT_TTL_S: Final = 600.0
# A refused call is forgotten once nobody has sent it for this long.
REFUSED_TTL_S: Final = 3600.0
# Time for which an answer to a call is remembered.
ANSWER_TTL_S: Final = 60.0
MAX_ANSWERS: Final = 4096
CRASHED_TARGET_TTL_S: Final = 60.0
# Limits the decisions per review, so that many suspects don't block the event loop.
MAX_DECISIONS_PER_REVIEW: Final = 32
MAX_SUSPECTS: Final = 2048
# Suspects are evicted in batches, since ranking them requires a scan of all.
EVICTION_BATCH: Final = 128
MAX_CRASHES_PER_CALL: Final = 16
CALLS_KEPT_PER_TARGET: Final = 2
UNKNOWN_CALL: Final = b""


class CrashLedger:
    """Suspects by the digest of their call."""

    def __init__(self) -> None:
        """Start without suspects.

        ``on_crashed_target`` is called with the name and the time of each new crashed target.
        ``has_no_spare`` tells whether the service of a crashed target can't lose three targets.
        """
        self.suspects: OrderedDict[bytes, Suspect] = OrderedDict()
        self.crashed_targets: OrderedDict[str, float] = OrderedDict()
        self._answered: OrderedDict[bytes, float] = OrderedDict()
        # A node that hasn't read that a call was dropped from the log still reports its crashes.
        self._dropped: OrderedDict[bytes, float] = OrderedDict()
        self._undecided: set[bytes] = set()
        # Calls that ran at each crashed target; two suffice to know that none was alone.
        self._calls_at: OrderedDict[str, set[bytes]] = OrderedDict()
        self.on_crashed_target: Callable[[str, float], None] = _ignore_crashed_target
        self.has_no_spare: Callable[[str], bool] = _assume_spare

    def record_crash(
        self, digest: bytes, run: CrashedRun, now_s: float, *, fresh: bool = True
    ) -> bool:
        """Record a run whose target crashed; return False if it is known or irrelevant.

        A crash that isn't ``fresh`` happened before this process started. A call isn't refused on
        such crashes alone.
        """
        self.record_crashed_target(run.target, run.ended_s, now_s)
        self._record_call_at(run.target, digest)
        if not fresh:
            # Calls with one crash aren't kept over a restart, so another call may have run there.
            self._record_call_at(run.target, UNKNOWN_CALL)
        if run.begun_s <= self._dropped.get(digest, -math.inf):
            return False
        suspect = self._get_or_add(digest)
        if run.target in suspect.crashed_runs or run.begun_s <= suspect.answered_s:
            return False
        if len(suspect.crashed_runs) >= MAX_CRASHES_PER_CALL:
            return False
        suspect.crashed_runs[run.target] = run
        suspect.seen_at_s = max(suspect.seen_at_s, now_s)
        suspect.fresh = suspect.fresh or fresh
        if self._fits_pattern(suspect):
            self._undecided.add(digest)
        return True

    def record_crashed_target(self, target: str, at_s: float, now_s: float) -> bool:
        """Record a crashed target, whatever it ran; return False if it is known or too old."""
        if now_s - at_s > CRASHED_TARGET_TTL_S or target in self.crashed_targets:
            return False
        self.crashed_targets[target] = at_s
        self.on_crashed_target(target, at_s)
        if len(self.crashed_targets) > MAX_SUSPECTS:
            self.crashed_targets.popitem(last=False)
        return True

    def remember_answer(self, digest: bytes, answered_s: float) -> None:
        """Remember for a while that a call was answered, whether or not it is suspect."""
        self._answered[digest] = answered_s
        self._answered.move_to_end(digest)
        if len(self._answered) > MAX_ANSWERS:
            self._answered.popitem(last=False)

    def apply_remembered_answer(self, digest: bytes, now_s: float) -> bool:
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
        """Record that a target answered a call, so that earlier crashes had another cause.

        Return False if there was nothing to clear. The answer is kept for a while, since reports of
        earlier crashes may still arrive.
        """
        suspect = self._get_or_add(digest)
        if answered_s <= suspect.answered_s:
            return False
        suspect.answered_s = answered_s
        before = len(suspect.crashed_runs)
        suspect.crashed_runs = {
            t: run for t, run in suspect.crashed_runs.items() if run.begun_s > answered_s
        }
        cleared = len(suspect.crashed_runs) < before or suspect.refused
        if not suspect.crashed_runs:
            suspect.refused = False
        return cleared

    def record_refused(self, digest: bytes, now_s: float) -> bool:
        """Record that another node refuses a call; return False if that is known."""
        suspect = self._get_or_add(digest)
        suspect.seen_at_s = now_s
        was_refused, suspect.refused = suspect.refused, True
        return not was_refused

    def drop(self, digest: bytes, now_s: float) -> None:
        """Forget a call; reports on its runs that began before ``now_s`` are ignored later."""
        self.suspects.pop(digest, None)
        self._dropped[digest] = now_s
        self._dropped.move_to_end(digest)
        if len(self._dropped) > MAX_ANSWERS:
            self._dropped.popitem(last=False)

    def verdict(self, digest: bytes, now_s: float) -> CrashVerdict:
        """Return whether a call may be sent now."""
        suspect = self.suspects.get(digest)
        if suspect is None:
            return CrashVerdict.CLEAR
        if suspect.refused:
            suspect.seen_at_s = now_s
            return CrashVerdict.REFUSED
        if not suspect.crashed_runs:
            return CrashVerdict.CLEAR
        if not self._fits_pattern(suspect):
            return CrashVerdict.SUSPECT
        if self._is_settling(suspect, now_s):
            return CrashVerdict.HELD
        return CrashVerdict.REFUSED if self._refuse_if_proven(suspect) else CrashVerdict.SUSPECT

    def verdict_if_owed(self, digest: bytes, now_s: float) -> CrashVerdict:
        """Return whether a call may be sent now that has to be made in the end, so never REFUSED.

        After the backoff since its last crash it is suspect. Its answer clears it.
        """
        verdict = self.verdict(digest, now_s)
        if verdict is not CrashVerdict.REFUSED:
            return verdict
        since_s = now_s - self.suspects[digest].last_crash_s()
        return CrashVerdict.HELD if since_s < OWED_BACKOFF_S else CrashVerdict.SUSPECT

    def awaits_verdict(self, digest: bytes) -> bool:
        """Whether a call fits the crash pattern and isn't refused yet."""
        suspect = self.suspects.get(digest)
        return suspect is not None and not suspect.refused and self._fits_pattern(suspect)

    def refuse_proven_calls(self, now_s: float) -> Sequence[bytes]:
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

    def remove_expired(self, now_s: float) -> Sequence[bytes]:
        """Remove expired entries; return the calls that were removed."""
        expired = [
            digest for digest, suspect in self.suspects.items() if _is_expired(suspect, now_s)
        ]
        for digest in expired:
            del self.suspects[digest]
        while self.crashed_targets:
            target, at_s = next(iter(self.crashed_targets.items()))
            if now_s - at_s <= CRASHED_TARGET_TTL_S:
                break
            del self.crashed_targets[target]
        return expired

    def _is_settling(self, suspect: Suspect, now_s: float) -> bool:
        return now_s - suspect.last_crash_s() < SETTLE_S

    def was_answered_recently(self, digest: bytes, now_s: float) -> bool:
        """Whether a target answered the call within the last minute."""
        suspect = self.suspects.get(digest)
        reported_s = suspect.answered_s if suspect is not None else -math.inf
        answered_s = max(reported_s, self._answered.get(digest, -math.inf))
        return now_s - answered_s <= ANSWER_TTL_S

    def _refuse_if_proven(self, suspect: Suspect) -> bool:
        alone = self._runs_alone(suspect)
        suspect.refused = crashes_targets(suspect, self.suspects.values(), self._is_isolated) or (
            self._crashes_small_service(suspect, alone) and self._is_isolated(suspect, alone)
        )
        return suspect.refused

    def _fits_pattern(self, suspect: Suspect) -> bool:
        return may_crash_targets(suspect) or self._crashes_small_service(
            suspect, self._runs_alone(suspect)
        )

    def _crashes_small_service(self, suspect: Suspect, alone: Sequence[CrashedRun]) -> bool:
        """Whether crashes prove a call at fault in a service that can't lose three targets.

        ``alone`` are the crashed runs of the call that had their target to themselves.
        """
        return crashes_alone(suspect, alone, ANSWER_TTL_S) and any(
            self.has_no_spare(run.target) for run in alone
        )

    def _runs_alone(self, suspect: Suspect) -> Sequence[CrashedRun]:
        return [
            run
            for target, run in suspect.crashed_runs.items()
            if len(self._calls_at.get(target, ())) == 1
        ]

    def _record_call_at(self, target: str, digest: bytes) -> None:
        calls = self._calls_at.setdefault(target, set())
        if len(calls) < CALLS_KEPT_PER_TARGET:
            calls.add(digest)
        if len(self._calls_at) > MAX_SUSPECTS:
            self._calls_at.popitem(last=False)

    def _is_isolated(self, suspect: Suspect, runs: Sequence[CrashedRun]) -> bool:
        """Whether no target that didn't run the call crashed at about the time of any of ``runs``.

        ``runs`` are crashed runs of the call.
        """
        times_s = [run.ended_s for run in runs]
        return not any(
            target not in suspect.crashed_runs
            and any(abs(at_s - s) <= COMMON_CAUSE_WINDOW_S for s in times_s)
            for target, at_s in self.crashed_targets.items()
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
            self.suspects,
            key=lambda m: (self.suspects[m].refused, len(self.suspects[m].crashed_runs)),
        )
        for digest in ranked[:EVICTION_BATCH]:
            del self.suspects[digest]


def _ignore_crashed_target(_target: str, _at_s: float) -> None:
    """Ignore a crashed target; the default of ``on_crashed_target``."""


def _assume_spare(_target: str) -> bool:
    """Return False, the default of ``has_no_spare``: any service can lose three targets."""
    return False


def _is_expired(suspect: Suspect, now_s: float) -> bool:
    if suspect.refused:
        return now_s - suspect.seen_at_s > REFUSED_TTL_S
    if suspect.crashed_runs:
        return now_s - suspect.seen_at_s > SUSPECT_TTL_S
    return now_s - suspect.answered_s > ANSWER_TTL_S
