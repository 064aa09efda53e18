"""Sets up the components that stop a request from crashing one target after another."""

import random
from typing import NamedTuple

from ..blackboard import Blackboard
from ..crashes import CrashGossip, CrashGuard, CrashLedger, UrgentReports
from ..durable import CrashRecords, KeyedLog, reading_pause_s
from ..observe import Observer
from ..serving import TableServiceView, TargetTable, registration_state, sibling_targets
from ..targets import is_listening


class CrashParts(NamedTuple):
    """Components that detect target crashes, share them by heartbeat and keep them in the log.

    ``urgent`` sends nothing until its sender is set.
    """

    guard: CrashGuard
    gossip: CrashGossip
    urgent: UrgentReports
    records: CrashRecords


def wire_crash_parts(
    log: KeyedLog, board: Blackboard, targets: TargetTable, observer: Observer, rng: random.Random
) -> CrashParts:
    """Return the crash components of the node that owns ``board``; nothing is sent yet."""

    def node_count() -> int:
        return len(board.members)

    ledger = CrashLedger()
    gossip = CrashGossip(ledger, node_count)
    urgent = UrgentReports(gossip)
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
        gossip,
        is_listening,
        lambda start: registration_state(targets, start),
        lambda start: sibling_targets(targets, start),
        records,
        observer,
        TableServiceView(targets),
        urgent,
    )
    return CrashParts(guard, gossip, urgent, records)
