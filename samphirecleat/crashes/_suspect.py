"""A call under which targets crashed: the crashed runs and what follows from them."""

import math
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Final, NamedTuple

# Crashes that are needed before a call can be refused; each send after them counts as a retry.
MIN_CRASHES_TO_REFUSE: Final = 3
# Crashes that are enough in a service that can't lose three targets, if the call was alone at each.
MIN_CRASHES_ALONE: Final = 2
# A call with MAX_CRASHES crashes, of which MAX_LATER_CRASHES came after the first burst, is refused
# even if the crashes may have another cause. At that point two of the three allowed retries are
# used, and the third may be in progress at another node.
MAX_CRASHES: Final = 5
MAX_LATER_CRASHES: Final = 2
# Maximum difference between two nodes' times of one event: the latency of a datagram.
CLOCK_SLACK_S: Final = 0.03
# Time within which other nodes' reports of an event arrive. A run that began at least this long
# after the last crash belongs to a new burst, assuming that any outside cause has passed by then.
SETTLE_S: Final = 1.0
# Minimum time between runs of refused work that is owed all the same. Kept short, because a step
# still needs the result.
OWED_BACKOFF_S: Final = 3.5


class CrashedRun(NamedTuple):
    """A run that ended because its target crashed; times are on this node's clock.

    ``target`` identifies one start of a target. ``node`` observed the crash.
    """

    target: str
    begun_s: float
    ended_s: float
    node: str


class CrashVerdict(Enum):
    """Whether a call may be sent.

    A SUSPECT is sent to one target at a time. A HELD call isn't sent while reports of other nodes
    may still arrive. A REFUSED call isn't sent any more, unless it is owed: the calls of an item
    that was accepted are made until they are answered.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    HELD = "held"
    REFUSED = "refused"


class Suspicion(NamedTuple):
    """What speaks against a call.

    ``crash_delay_s`` is the shortest time from the start of one of its runs to the crash of its
    target, 0 without a crash: a call that crashes its targets takes about the same time for it
    each time. ``delay_spread_s`` is the difference between the longest and the shortest such time.
    ``last_crash_s`` is -inf without a crash.
    """

    verdict: CrashVerdict
    crash_count: int
    crash_delay_s: float
    delay_spread_s: float
    last_crash_s: float


@dataclass
class Suspect:
    """A call under which targets crashed since its last answer.

    ``crashed_runs`` are keyed by the start of their target. ``answered_s`` is the time of the
    call's latest known answer. ``fresh`` is set once a crash is reported that happened after this
    process started. ``seen_at_s`` is the time of the latest report, or of the latest attempt to
    send the call once it is refused.
    """

    crashed_runs: dict[str, CrashedRun] = field(default_factory=dict)
    answered_s: float = -math.inf
    fresh: bool = False
    refused: bool = False
    seen_at_s: float = -math.inf

    def last_crash_s(self) -> float:
        """Return the time of the latest known crash, -inf if there is none."""
        return max((run.ended_s for run in self.crashed_runs.values()), default=-math.inf)


def suspicion_of(suspect: Suspect | None, verdict: CrashVerdict) -> Suspicion:
    """Return what speaks against a call with this verdict."""
    runs = suspect.crashed_runs.values() if suspect is not None else ()
    delays_s = [run.ended_s - run.begun_s for run in runs] or [0.0]
    return Suspicion(
        verdict,
        len(runs),
        min(delays_s),
        max(delays_s) - min(delays_s),
        suspect.last_crash_s() if suspect is not None else -math.inf,
    )


def may_crash_targets(suspect: Suspect) -> bool:
    """Whether the crashes under a call follow the pattern of a call that crashes its targets.

    If targets crash together for another reason, several of them may be running the same popular
    call. A call that crashes its targets also crashes the next one on which it is retried, so its
    crashes follow one another.
    """
    return (
        suspect.fresh
        and len(suspect.crashed_runs) >= MIN_CRASHES_TO_REFUSE
        and _count_sequential_crashes(suspect.crashed_runs) > 1
    )


def crashes_alone(suspect: Suspect, alone: Sequence[CrashedRun], answer_ttl_s: float) -> bool:
    """Whether two targets crashed one after the other while each ran this call alone.

    ``alone`` are the crashed runs of the call that had their target to themselves. This is enough
    where a third crash would leave the service without targets. A call that was answered less than
    ``answer_ttl_s`` before is a popular one, which may be running alone at any crash.
    """
    runs = {run.target: run for run in alone}
    if not suspect.fresh or _count_sequential_crashes(runs) < MIN_CRASHES_ALONE:
        return False
    return min(run.begun_s for run in alone) - suspect.answered_s > answer_ttl_s


def crashes_targets(
    suspect: Suspect,
    others: Iterable[Suspect],
    is_isolated: Callable[[Suspect, Sequence[CrashedRun]], bool],
) -> bool:
    """Whether a call is the only plausible cause of the crashes under it.

    A call that was answered shortly before is refused only after crashes in a second burst: a
    popular call is always running somewhere, also on targets that crash one after another for
    another reason. ``is_isolated`` tells whether no target that didn't run the call crashed at
    about the times of the given runs. A call among ``others`` that ran at each crash of the latest
    burst may equally be the cause.
    """
    if not may_crash_targets(suspect):
        return False
    bursts = _bursts(suspect.crashed_runs)
    later_crashes = len(suspect.crashed_runs) - len(bursts[0])
    if later_crashes >= MAX_LATER_CRASHES and len(suspect.crashed_runs) >= MAX_CRASHES:
        return True
    if len(bursts) == 1 and suspect.answered_s > -math.inf:
        return False
    latest_burst = bursts[-1]
    target_starts = {run.target for run in latest_burst}
    has_other_cause = any(
        other is not suspect and target_starts <= other.crashed_runs.keys() for other in others
    )
    return not has_other_cause and is_isolated(suspect, latest_burst)


def _by_time(runs: dict[str, CrashedRun]) -> Sequence[CrashedRun]:
    return sorted(runs.values(), key=lambda run: run.ended_s)


def _count_sequential_crashes(runs: dict[str, CrashedRun]) -> int:
    """Return the number of sequential crashes; crashes of concurrent runs count once."""
    count = 0
    last: CrashedRun | None = None
    for run in _by_time(runs):
        if last is None or run.begun_s >= last.ended_s + _slack_s({run.node, last.node}):
            count += 1
            last = run
    return count


def _slack_s(nodes: Collection[str]) -> float:
    return CLOCK_SLACK_S if len(nodes) > 1 else 0.0


def _bursts(runs: dict[str, CrashedRun]) -> Sequence[Sequence[CrashedRun]]:
    """Group the crashes into bursts, each beginning at least SETTLE_S after the last crash."""
    groups: list[list[CrashedRun]] = []
    for run in _by_time(runs):
        if groups and run.begun_s < groups[-1][-1].ended_s + SETTLE_S:
            groups[-1].append(run)
        else:
            groups.append([run])
    return groups
