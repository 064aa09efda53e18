"""Spreads reports of crashes among the nodes, in the heartbeat datagrams.

Each node passes a report that is new to it on a bounded number of times. A datagram carries only a
few reports, so many crashes at once delay the reports but don't enlarge the datagrams.

Pure: performs no I/O and uses no clock.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Sequence
from typing import Final

from ..peers import CrashRow, Message
from ._ledger import CrashLedger
from ._suspect import MIN_CRASHES_TO_REFUSE, CrashedRun

ROWS_PER_MESSAGE: Final = 4
MAX_PENDING: Final = 512
# Target name of a report that the call was answered, which clears the suspicion.
ANSWERED: Final = ""
# Digest of a report that a target crashed without a known call.
NO_CALL: Final = b""


class CrashGossip:
    """Adds reports to outgoing membership datagrams and applies those of incoming ones."""

    def __init__(self, ledger: CrashLedger, node_count: Callable[[], int]) -> None:
        """Send reports from ``ledger`` and add received ones to it."""
        self._ledger = ledger
        self._node_count = node_count
        self._pending: OrderedDict[tuple[bytes, str], int] = OrderedDict()
        self.on_new_crash: Callable[[bytes, str], None] = _ignore_report

    def announce(self, digest: bytes, target: str = ANSWERED) -> None:
        """Queue a report of a crashed run or of an answer for the next datagrams."""
        # If each node sends a report c times to random nodes, a fraction exp(-c) never receives it.
        self._pending[digest, target] = 4 + math.ceil(math.log2(self._node_count() + 2) / 2)
        while len(self._pending) > MAX_PENDING:
            self._pending.popitem(last=False)

    def announce_crash(self, digest: bytes, target: str, now_s: float) -> None:
        """Queue a report of a crashed run, along with any remembered answer to the call."""
        self.announce(digest, target)
        if self._ledger.apply_remembered_answer(digest, now_s):
            self.announce(digest)

    def add_updates(self, message: Message, now_s: float) -> Message:
        """Return the message with the next reports added."""
        if not self._pending:
            return message
        rows: list[CrashRow] = []
        for key in self._reports_to_send():
            row = self._row(*key, now_s)
            self._pending[key] -= 1
            if row is None or not self._pending[key]:
                del self._pending[key]
            if row is not None:
                rows.append(row)
        return message._replace(crashes=rows)

    def _reports_to_send(self) -> list[tuple[bytes, str]]:
        """Return the reports for one message: first answers, in at most half of the rows.

        An answered call has no crashes left, so its report would otherwise be sent last, and other
        nodes would go on blocking the call.
        """
        answers = [key for key in self._pending if key[1] == ANSWERED and key[0] != NO_CALL]
        answers.sort(key=lambda key: -self._pending[key])
        first = answers[: ROWS_PER_MESSAGE // 2]
        others = [key for key in self._next_reports() if key not in first]
        return [*first, *others][:ROWS_PER_MESSAGE]

    def apply_updates(self, message: Message, now_s: float) -> None:
        """Record the reports of a message, and queue those that are new."""
        for row in message.crashes:
            ended_s = now_s - row.ended_age_ms / 1000.0
            if row.digest == NO_CALL:
                if self._ledger.record_crashed_target(row.target, ended_s, now_s):
                    self.announce(NO_CALL, row.target)
                continue
            if row.target == ANSWERED:
                if self._ledger.record_answer(row.digest, ended_s):
                    self.announce(row.digest)
                continue
            begun_s = now_s - row.begun_age_ms / 1000.0
            run = CrashedRun(row.target, begun_s, ended_s, row.node)
            if self._ledger.record_crash(row.digest, run, now_s):
                self.announce_crash(row.digest, row.target, now_s)
                self.on_new_crash(row.digest, row.target)

    def rows_of(self, reports: Sequence[tuple[bytes, str]], now_s: float) -> Sequence[CrashRow]:
        """Return the rows of reports that are still valid, those on the worst suspects first.

        They don't count as sent on heartbeats.
        """
        ranked = sorted(reports, key=lambda report: -self._crash_count(report[0]))
        rows = (self._row(digest, target, now_s) for digest, target in ranked)
        return [row for row in rows if row is not None]

    def _next_reports(self) -> list[tuple[bytes, str]]:
        """Return the next reports: calls with the most crashes first, then the least sent ones."""

        def rank(key: tuple[bytes, str]) -> tuple[int, int]:
            return (-self._crash_count(key[0]), -self._pending[key])

        return sorted(self._pending, key=rank)[:ROWS_PER_MESSAGE]

    def _crash_count(self, digest: bytes) -> int:
        """Return the crashes under a call by which its reports are ranked.

        A report without a known call follows only those on calls that may be refused.
        """
        suspect = self._ledger.suspects.get(digest)
        return len(suspect.crashed_runs) if suspect is not None else MIN_CRASHES_TO_REFUSE - 1

    def _row(self, digest: bytes, target: str, now_s: float) -> CrashRow | None:
        """Return the row of a report, None if the report is obsolete."""
        if digest == NO_CALL:
            ended_s = self._ledger.crashed_targets.get(target)
            if ended_s is None:
                return None
            age_ms = _age_ms(ended_s, now_s)
            return CrashRow(digest, target, "", age_ms, age_ms)
        suspect = self._ledger.suspects.get(digest)
        if suspect is None:
            return None
        if target == ANSWERED:
            age_ms = _age_ms(suspect.answered_s, now_s)
            return CrashRow(digest, ANSWERED, "", age_ms, age_ms)
        run = suspect.crashed_runs.get(target)
        if run is None:
            return None
        begun_ms, ended_ms = _age_ms(run.begun_s, now_s), _age_ms(run.ended_s, now_s)
        return CrashRow(digest, target, run.node, begun_ms, ended_ms)


def _ignore_report(_digest: bytes, _target: str) -> None:
    """Ignore a report; the default of ``on_new_crash``."""


def _age_ms(at_s: float, now_s: float) -> int:
    return max(0, round((now_s - at_s) * 1000.0)) if at_s > -math.inf else 0
