"""What nodes tell each other of calls under which targets ended, on the heartbeats' datagrams.

Each piece of news is passed on a bounded number of times by each node that hears it for the first
time, and a datagram carries a few pieces at most: a flood makes news late, not datagrams large.

Pure: no I/O and no clock of its own.
"""

import math
from collections import OrderedDict
from collections.abc import Callable
from typing import Final

from ..peers import CrashRow, Message
from ._ledger import CrashLedger
from ._suspect import FREE_ENDS, RunEnd

ROWS_PER_MESSAGE: Final = 4
MOST_UNTOLD: Final = 512
# In place of a target's name: the call was answered, and what it is suspected of is void.
ANSWERED: Final = ""
# In place of a call's mark: the target ended, and no call is known to have run there.
NO_CALL: Final = b""


class CrashNews:
    """News on its way out, and what arrives; a rider of the membership's datagrams."""

    def __init__(self, ledger: CrashLedger, node_count: Callable[[], int]) -> None:
        """Tell what is in ``ledger`` and put in what is heard."""
        self._ledger = ledger
        self._node_count = node_count
        self._untold: OrderedDict[tuple[bytes, str], int] = OrderedDict()

    def tell(self, mark: bytes, target: str = ANSWERED) -> None:
        """Let news of an ended run, or of an answer, ride on the next datagrams."""
        # Told c times to others at random by each, news misses one node in e to the c.
        self._untold[mark, target] = 4 + math.ceil(math.log2(self._node_count() + 2) / 2)
        while len(self._untold) > MOST_UNTOLD:
            self._untold.popitem(last=False)

    def tell_end(self, mark: bytes, target: str, now_s: float) -> None:
        """Tell of an ended run, and with it what is remembered of the call's answers."""
        self.tell(mark, target)
        if self._ledger.recall_answer(mark, now_s):
            self.tell(mark)

    def add_updates(self, message: Message, now_s: float) -> Message:
        """Return the message with the next news put in."""
        if not self._untold:
            return message
        rows: list[CrashRow] = []
        for key in self._most_telling():
            row = self._row(*key, now_s)
            self._untold[key] -= 1
            if row is None or not self._untold[key]:
                del self._untold[key]
            if row is not None:
                rows.append(row)
        return message._replace(crashes=rows)

    def apply_updates(self, message: Message, now_s: float) -> None:
        """Take in what a datagram tells, and pass on what of it is new."""
        for row in message.crashes:
            ended_s = now_s - row.ended_age_ms / 1000.0
            if row.mark == NO_CALL:
                if self._ledger.note_ended_target(row.target, ended_s, now_s):
                    self.tell(NO_CALL, row.target)
                continue
            if row.target == ANSWERED:
                if self._ledger.note_answer(row.mark, ended_s):
                    self.tell(row.mark)
                continue
            begun_s = now_s - row.begun_age_ms / 1000.0
            end = RunEnd(row.target, begun_s, ended_s, row.node)
            if self._ledger.note_end(row.mark, end, now_s):
                self.tell_end(row.mark, row.target, now_s)

    def _most_telling(self) -> list[tuple[bytes, str]]:
        """Return the next news: first of calls with the most ends, then what was told least."""
        suspects = self._ledger.suspects

        def rank(key: tuple[bytes, str]) -> tuple[int, int]:
            suspect = suspects.get(key[0])
            # What speaks for calls goes before what speaks against all but the worst of them.
            ends = len(suspect.ends) if suspect is not None else FREE_ENDS - 1
            return (-ends, -self._untold[key])

        return sorted(self._untold, key=rank)[:ROWS_PER_MESSAGE]

    def _row(self, mark: bytes, target: str, now_s: float) -> CrashRow | None:
        """Return what is to be told, None for what is no longer so."""
        if mark == NO_CALL:
            ended_s = self._ledger.ended_targets.get(target)
            if ended_s is None:
                return None
            age_ms = _age_ms(ended_s, now_s)
            return CrashRow(mark, target, "", age_ms, age_ms)
        suspect = self._ledger.suspects.get(mark)
        if suspect is None:
            return None
        if target == ANSWERED:
            age_ms = _age_ms(suspect.answered_s, now_s)
            return CrashRow(mark, ANSWERED, "", age_ms, age_ms)
        end = suspect.ends.get(target)
        if end is None:
            return None
        begun_ms, ended_ms = _age_ms(end.begun_s, now_s), _age_ms(end.ended_s, now_s)
        return CrashRow(mark, target, end.node, begun_ms, ended_ms)


def _age_ms(at_s: float, now_s: float) -> int:
    return max(0, round((now_s - at_s) * 1000.0)) if at_s > -math.inf else 0
