"""Checks what nodes had in force against a fold of the log's own ledger.

The fold here is written apart from the product's: it knows only that a valid
publication whose base is in force takes its offset as the revision in force.
"""

from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from ..standins import LogAppend
from ._records import ConfigSight, Interval, NodeLifetime
from ._verdict import Verdict, judge

IN_FORCE_WITHIN_S: Final = 4.0
INVALID_MARK: Final = "// invalid on purpose"


class Accepted(NamedTuple):
    """A publication that the order of the log's ledger accepts."""

    revision: int
    text: str
    at_s: float


def fold_ledger(appends: Sequence[LogAppend]) -> Sequence[Accepted]:
    """Return the accepted publications, oldest first."""
    accepted: list[Accepted] = []
    revision = -1
    for append in appends:
        payload = append.payload
        if payload.get("type") != "publication" or payload["base"] != revision:
            continue
        if INVALID_MARK in payload["text"]:
            continue
        revision = append.offset
        accepted.append(Accepted(revision, payload["text"], append.at_s))
    return accepted


def check_reverted(appends: Sequence[LogAppend], sights: Sequence[ConfigSight]) -> Verdict:
    """Count nodes' changes to a lower revision, or to a text that was not accepted."""
    texts = {accepted.revision: accepted.text for accepted in fold_ledger(appends)}
    highest: dict[str, int] = {}
    broken: list[ConfigSight] = []
    held = [sight for sight in sights if sight.revision >= 0]
    for sight in held:
        falls = sight.revision < highest.get(sight.incarnation, -1)
        if falls or texts.get(sight.revision) != sight.text:
            broken.append(sight)
        highest[sight.incarnation] = max(sight.revision, highest.get(sight.incarnation, -1))
    return judge(broken, len(held))


def check_late(
    appends: Sequence[LogAppend],
    sights: Sequence[ConfigSight],
    node_lifetimes: Sequence[NodeLifetime],
    log_outages: Sequence[Interval],
    seen_until_s: float,
) -> Verdict:
    """Count (publication, node) pairs where it was not in force in good time.

    The time runs from when the log took the publication; while the log can not
    be read, or the node is frozen, or does not run yet, it has not begun.
    """
    by_incarnation = _group(sights)
    broken: list[str] = []
    checked = 0
    for accepted in fold_ledger(appends):
        for lifetime in node_lifetimes:
            due_at_s = _due_at_s(accepted.at_s, lifetime, log_outages)
            if min(lifetime.ended_at_s, seen_until_s) <= due_at_s:
                continue
            checked += 1
            seen = _revision_at(by_incarnation.get(lifetime.incarnation, ()), due_at_s)
            if seen < accepted.revision:
                broken.append(f"{lifetime.node_id} had {seen} when {accepted.revision} was due")
    return judge(broken, checked)


def slowest_in_force_s(
    appends: Sequence[LogAppend],
    sights: Sequence[ConfigSight],
    node_lifetimes: Sequence[NodeLifetime],
) -> float:
    """Return the longest time from acceptance to being in force at a running node."""
    by_incarnation = _group(sights)
    slowest_s = 0.0
    for accepted in fold_ledger(appends):
        for lifetime in node_lifetimes:
            if lifetime.started_at_s > accepted.at_s:
                continue
            seen = by_incarnation.get(lifetime.incarnation, ())
            in_force = [s.at_s for s in seen if s.revision >= accepted.revision]
            if in_force:
                slowest_s = max(slowest_s, in_force[0] - accepted.at_s)
    return slowest_s


def _due_at_s(
    accepted_at_s: float, lifetime: NodeLifetime, log_outages: Sequence[Interval]
) -> float:
    due_at_s = max(accepted_at_s, lifetime.started_at_s) + IN_FORCE_WITHIN_S
    for interval in sorted([*log_outages, *lifetime.frozen]):
        if interval.start_s < due_at_s and interval.end_s > accepted_at_s:
            due_at_s = max(due_at_s, interval.end_s + IN_FORCE_WITHIN_S)
    return due_at_s


def _group(sights: Sequence[ConfigSight]) -> Mapping[str, Sequence[ConfigSight]]:
    grouped: dict[str, list[ConfigSight]] = {}
    for sight in sights:
        grouped.setdefault(sight.incarnation, []).append(sight)
    return grouped


def _revision_at(sights: Sequence[ConfigSight], at_s: float) -> int:
    seen = [sight.revision for sight in sights if sight.at_s <= at_s]
    return seen[-1] if seen else -1
