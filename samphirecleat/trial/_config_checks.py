"""Checks which configuration nodes had in force against the records of the log.

The fold is implemented independently of the product. Its only rule: a valid
publication whose base is in force comes into force, its offset becoming the revision.
"""

from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from ..standins import LogAppend
from ._records import ConfigObservation, Interval, NodeLifetime
from ._verdict import Verdict, make_verdict

IN_FORCE_DEADLINE_S: Final = 4.0
INVALID_TEXT_MARKER: Final = "// invalid on purpose"


class AcceptedPublication(NamedTuple):
    """A publication that is accepted, given the order of records in the log."""

    revision: int
    text: str
    at_s: float


def fold_publications(appends: Sequence[LogAppend]) -> Sequence[AcceptedPublication]:
    """Return the accepted publications of a log, oldest first."""
    accepted: list[AcceptedPublication] = []
    revision = -1
    for append in appends:
        payload = append.payload
        if payload.get("type") != "publication" or payload["base"] != revision:
            continue
        if INVALID_TEXT_MARKER in payload["text"]:
            continue
        revision = append.offset
        accepted.append(AcceptedPublication(revision, payload["text"], append.at_s))
    return accepted


def check_reverted(
    appends: Sequence[LogAppend], observations: Sequence[ConfigObservation]
) -> Verdict:
    """Count changes of a node to a lower revision or to a text that was not accepted."""
    texts = {accepted.revision: accepted.text for accepted in fold_publications(appends)}
    highest: dict[str, int] = {}
    broken: list[ConfigObservation] = []
    in_force = [observation for observation in observations if observation.revision >= 0]
    for observation in in_force:
        is_lower = observation.revision < highest.get(observation.incarnation, -1)
        if is_lower or texts.get(observation.revision) != observation.text:
            broken.append(observation)
        highest[observation.incarnation] = max(
            observation.revision, highest.get(observation.incarnation, -1)
        )
    return make_verdict(broken, len(in_force))


def check_late(
    appends: Sequence[LogAppend],
    observations: Sequence[ConfigObservation],
    node_lifetimes: Sequence[NodeLifetime],
    log_outages: Sequence[Interval],
    observed_until_s: float,
) -> Verdict:
    """Count (publication, node) pairs where the text came into force too late.

    The deadline is ``IN_FORCE_DEADLINE_S`` after the log appended the publication,
    or after the node started, resumed from a freeze, or the log became readable
    again if that was later.
    """
    by_incarnation = _group_by_incarnation(observations)
    broken: list[str] = []
    checked = 0
    for accepted in fold_publications(appends):
        for lifetime in node_lifetimes:
            due_at_s = _due_at_s(accepted.at_s, lifetime, log_outages)
            if min(lifetime.ended_at_s, observed_until_s) <= due_at_s:
                continue
            checked += 1
            seen = _revision_at(by_incarnation.get(lifetime.incarnation, ()), due_at_s)
            if seen < accepted.revision:
                broken.append(
                    f"{lifetime.node_id} had revision {seen} when {accepted.revision} was due"
                )
    return make_verdict(broken, checked)


def slowest_in_force_s(
    appends: Sequence[LogAppend],
    observations: Sequence[ConfigObservation],
    node_lifetimes: Sequence[NodeLifetime],
) -> float:
    """Return the longest time from acceptance until a running node had the text in force."""
    by_incarnation = _group_by_incarnation(observations)
    slowest_s = 0.0
    for accepted in fold_publications(appends):
        for lifetime in node_lifetimes:
            if lifetime.started_at_s > accepted.at_s:
                continue
            seen = by_incarnation.get(lifetime.incarnation, ())
            reached = [s.at_s for s in seen if s.revision >= accepted.revision]
            if reached:
                slowest_s = max(slowest_s, reached[0] - accepted.at_s)
    return slowest_s


def _due_at_s(
    accepted_at_s: float, lifetime: NodeLifetime, log_outages: Sequence[Interval]
) -> float:
    due_at_s = max(accepted_at_s, lifetime.started_at_s) + IN_FORCE_DEADLINE_S
    for interval in sorted([*log_outages, *lifetime.frozen]):
        if interval.start_s < due_at_s and interval.end_s > accepted_at_s:
            due_at_s = max(due_at_s, interval.end_s + IN_FORCE_DEADLINE_S)
    return due_at_s


def _group_by_incarnation(
    observations: Sequence[ConfigObservation],
) -> Mapping[str, Sequence[ConfigObservation]]:
    grouped: dict[str, list[ConfigObservation]] = {}
    for observation in observations:
        grouped.setdefault(observation.incarnation, []).append(observation)
    return grouped


def _revision_at(observations: Sequence[ConfigObservation], at_s: float) -> int:
    seen = [observation.revision for observation in observations if observation.at_s <= at_s]
    return seen[-1] if seen else -1
