"""The load of the bench on engines of different speed: texts, hints, speeds and slowdowns.

Each engine is slower than usual for moments, most hints are off by a factor of two, and a part of
the texts is several times as long as the others.
"""

import random
from collections.abc import Sequence
from typing import Final, NamedTuple

ENGINE_COUNT: Final = 24
SLOTS_PER_ENGINE: Final = 8
MEMORY_TOKENS_PER_ENGINE: Final = 60_000
UNEVEN_SPEEDS: Final = (0.6, 1.0, 1.6)
EVENT_INTERVAL_S: Final = 0.049
# Standard deviation of the logarithm of single event intervals.
EVENT_SIGMA: Final = 0.15
TOKENS_PER_EVENT: Final = 64
PROMPT_TOKENS: Final = 271
PROMPT_S: Final = 0.005
NEW_CONNECTION_S: Final = 0.08
# Mean length in events of each trainer's texts. Lengths are log-normal; a share of them is
# ``TAIL_FACTOR`` times as long.
MEAN_EVENTS: Final = (10.0, 13.0, 16.0, 20.0)
LENGTH_SIGMA: Final = 0.84
TAIL_SHARE: Final = 0.08
TAIL_FACTOR: Final = 5.0
MAX_EVENTS: Final = 141
HINT_SIGMA: Final = 0.8
GROUP_SIZE: Final = 8
GROUPS_PER_STEP: Final = (8, 10)
REQUIRED_GROUP_SHARE: Final = 0.9
STEP_INTERVAL_S: Final = 4.0
STEP_DEADLINE_S: Final = 7.5
STEP_TIMEOUT_S: Final = 12.0
# Time from a text's last event until its trainer reads it.
LISTING_S: Final = 0.35
SLOWDOWN_S: Final = 0.6
SLOWDOWN_INTERVAL_S: Final = 3.0
SLOWDOWN: Final = 2.5
SLOWDOWN_SHARE: Final = 1 / 6
# Each engine loads new weights this often and for this long; it makes no events meanwhile.
LOAD_INTERVAL_S: Final = 8.0
LOAD_S: Final = 1.0
# An engine that leaves serves its runs for this long.
LEAVING_S: Final = 2.0
PLAN_INTERVAL_S: Final = 0.02
MOVE_CHECK_INTERVAL_S: Final = 0.1
# An engine that a run left gets no items for this long.
MOVE_BACKOFF_S: Final = 0.1
DURATION_S: Final = 60.0


class LongFault(NamedTuple):
    """Engines from ``first`` on, ``engines`` of them, change at ``at_s`` for ``duration_s``.

    They take ``slowdown`` times as long for an event; 0 means that they leave and come back.
    """

    at_s: float
    duration_s: float
    first: int
    engines: int
    slowdown: float


class UnevenWorkload(NamedTuple):
    """A workload: engine speeds in turn, whether trainers start together, and faults.

    Steps have ``scale`` times the usual size and are due after ``deadline_s``.
    """

    name: str
    speeds: Sequence[float] = UNEVEN_SPEEDS
    together: bool = False
    scale: float = 1.0
    faults: Sequence[LongFault] = ()
    deadline_s: float = STEP_DEADLINE_S


UNEVEN_WORKLOADS: Final[Sequence[UnevenWorkload]] = (
    UnevenWorkload("in turn"),
    UnevenWorkload("waves", together=True),
    UnevenWorkload("waves x2", together=True, scale=2.0),
    UnevenWorkload("waves due in 5.5 s", together=True, deadline_s=5.5),
    UnevenWorkload("4x slow for 8 s", faults=[LongFault(10.0, 8.0, 0, 5, 4.0)], together=True),
    UnevenWorkload("a sixth leaves", faults=[LongFault(9.0, 10.0, 2, 4, 0.0)], together=True),
    UnevenWorkload("even engines", speeds=(1.0,), together=True),
)


def short_slowdowns(rng: random.Random) -> list[LongFault]:
    """Draw the short slowdowns of a sixth of the engines."""
    count = round(ENGINE_COUNT * SLOWDOWN_SHARE)
    faults = []
    at_s = 0.0
    while at_s < DURATION_S:
        at_s += rng.uniform(0.5, 1.5) * SLOWDOWN_INTERVAL_S
        faults.append(LongFault(at_s, SLOWDOWN_S, rng.randrange(ENGINE_COUNT), count, SLOWDOWN))
    return faults


def draw_events(rng: random.Random, mean_events: float) -> int:
    """Return the length of a text in events."""
    mean = mean_events / (1.0 + TAIL_SHARE * (TAIL_FACTOR - 1.0))
    events = mean * rng.lognormvariate(-LENGTH_SIGMA * LENGTH_SIGMA / 2.0, LENGTH_SIGMA)
    if rng.random() < TAIL_SHARE:
        events *= TAIL_FACTOR
    return max(1, min(MAX_EVENTS, round(events)))
