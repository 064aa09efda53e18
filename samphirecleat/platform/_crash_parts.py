"""The parts of a node that keep requests from ending one target after another, wired together."""

import random
from typing import NamedTuple

from ..blackboard import Blackboard
from ..crashes import CrashGossip, CrashGuard, CrashLedger
from ..durable import CrashRecords, KeyedLog, reading_pause_s
from ..observe import Observer
from ..serving import TargetTable, registration_state, sibling_targets
from ..targets import is_listening


class CrashParts(NamedTuple):
    """What a node sees, what it tells and hears on heartbeats, and what lasts in the log."""

    guard: CrashGuard
    news: CrashGossip
    records: CrashRecords


def wire_crash_parts(
    log: KeyedLog, board: Blackboard, targets: TargetTable, observer: Observer, rng: random.Random
) -> CrashParts:
    """Return the parts of the node that ``board`` belongs to; nothing is sent yet."""

    def node_count() -> int:
        return len(board.members)

    ledger = CrashLedger()
    news = CrashGossip(ledger, node_count)
    records = CrashRecords(
        log,
        ledger,
        observer,
        rng,
        node_count,
        lambda: reading_pause_s(node_count(), runs_work=False),
    )
    guard = CrashGuard(
        board.identity.node_id,
        ledger,
        news,
        is_listening,
        lambda start: registration_state(targets, start),
        lambda start: sibling_targets(targets, start),
        records,
        observer,
    )
    return CrashParts(guard, news, records)
