"""Records in the log of calls that crash their targets; they survive the loss of every node.

All nodes may lose power, or a node may start or be partitioned, while a call that crashes its
targets is still being retried. A node that lacks these records would let the call crash three more
targets.
"""

import asyncio
import math
import random
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final, NamedTuple

import msgspec

from .._decoding import decode_json, decoding
from ..crashes import CrashedRun, CrashLedger
from ..observe import Observer
from ._entry_applier import EntryApplier
from ._follower import TopicFollower, no_pause
from ._ports import AppendOutcome, KeyedLog, LogEntry

CRASH_TOPIC: Final = "keyed.crashes"
# A call is recorded from its second crash: nearly every call that loses one target did not cause
# the crash, and a third crash would already be one too many.
MIN_RECORDED_CRASHES: Final = 2
READ_WAIT_S: Final = 10.0
# Minimum interval between the appends of one node.
APPEND_INTERVAL_S: Final = 0.05
# A node that did not observe the crashes itself waits for another node to write the record: this
# long, plus a random part of up to DELAY_PER_NODE_S for each node of the fleet. If all nodes wrote
# at once, they would exhaust the rate limit of the log.
OTHER_WRITERS_DELAY_S: Final = 1.5
DELAY_PER_NODE_S: Final = 0.1
# Initial delay before a rejected record is retried; it doubles with each attempt.
FIRST_RETRY_S: Final = 0.1
MAX_RETRY_S: Final = 5.0
# A refused call that is still being retried is recorded again this often, so that it does not
# expire at any node.
REFRESH_INTERVAL_S: Final = 600.0


class _PersistedRecord(NamedTuple):
    targets: frozenset[str]
    refused: bool
    at_s: float


class CrashRecords:
    """Writes suspected calls to the log and applies the records of other nodes."""

    def __init__(
        self,
        log: KeyedLog,
        ledger: CrashLedger,
        observer: Observer,
        rng: random.Random,
        node_count: Callable[[], int],
        pause_s: Callable[[], float] = no_pause,
    ) -> None:
        """Keep ``ledger`` in step with the log, pausing ``pause_s`` seconds after new entries."""
        self._log = log
        self._ledger = ledger
        self._observer = observer
        self._logger = observer.log("crashes")
        self._rng = rng
        self._node_count = node_count
        self._retry_s = FIRST_RETRY_S
        self._due_s: dict[bytes, float] = {}
        self._scheduled = asyncio.Event()
        self._written: dict[bytes, _PersistedRecord] = {}
        self._applied_at_s = 0.0
        self._applies_history = True
        self._applier = EntryApplier(CRASH_TOPIC, self._apply_one, observer)
        self._follower = TopicFollower(
            log,
            CRASH_TOPIC,
            self._apply_entries,
            observer,
            rng,
            read_wait_s=READ_WAIT_S,
            pause_s=pause_s,
        )

    @property
    def caught_up(self) -> bool:
        """Whether all records from before the start of this node have been applied."""
        return self._follower.caught_up

    async def run(self) -> None:
        """Follow the log and write records until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(self._write_loop())

    def record(self, digest: bytes, *, own: bool) -> None:
        """Schedule a record of a call; it is not written if another node writes it first.

        ``own`` says that this node observed the evidence itself; it then does not wait for others.
        """
        if not self._needs_record(digest):
            return
        max_spread_s = DELAY_PER_NODE_S * self._node_count()
        delay_s = 0.0 if own else OTHER_WRITERS_DELAY_S + self._rng.uniform(0.0, max_spread_s)
        due_s = asyncio.get_running_loop().time() + delay_s
        self._due_s[digest] = min(due_s, self._due_s.get(digest, math.inf))
        self._scheduled.set()

    def _needs_record(self, digest: bytes) -> bool:
        """Whether the ledger holds information on a call that the log lacks."""
        suspect = self._ledger.suspects.get(digest)
        written = self._written.get(digest)
        if suspect is None or not suspect.crashed_runs:
            return written is not None
        if not suspect.refused and len(suspect.crashed_runs) < MIN_RECORDED_CRASHES:
            return False
        if written is None or (suspect.refused and not written.refused):
            return True
        old = (
            suspect.refused
            and asyncio.get_running_loop().time() - written.at_s > REFRESH_INTERVAL_S
        )
        return old or not suspect.crashed_runs.keys() <= written.targets

    async def _write_loop(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            next_due_in_s = min(self._due_s.values(), default=math.inf) - loop.time()
            self._scheduled.clear()
            try:
                async with asyncio.timeout(next_due_in_s if next_due_in_s < math.inf else None):
                    await self._scheduled.wait()
            except TimeoutError:
                pass
            # Records that become due together are written in one append.
            await asyncio.sleep(APPEND_INTERVAL_S)
            due = [digest for digest, due_s in self._due_s.items() if due_s <= loop.time()]
            for digest in due:
                del self._due_s[digest]
            await self._write([digest for digest in due if self._needs_record(digest)])

    async def _write(self, digests: Sequence[bytes]) -> None:
        if not digests:
            return
        entries = [(digest.hex(), self._encode_record(digest)) for digest in digests]
        result = await self._log.append(CRASH_TOPIC, entries)
        if result.outcome is AppendOutcome.APPENDED:
            self._observer.counters["crash_records_written"] += len(digests)
            self._retry_s = FIRST_RETRY_S
            return
        self._logger.warning(
            "calls=%d not confirmed as recorded; retrying: %s", len(digests), result.detail
        )
        retry_at_s = asyncio.get_running_loop().time() + self._retry_s * self._rng.uniform(1.0, 2.0)
        self._retry_s = min(MAX_RETRY_S, 2.0 * self._retry_s)
        for digest in digests:
            self._due_s.setdefault(digest, retry_at_s)

    def _encode_record(self, digest: bytes) -> bytes:
        """Encode the record of a call; an empty one deletes the earlier record."""
        suspect = self._ledger.suspects.get(digest)
        if suspect is None or not suspect.crashed_runs:
            return b""
        loop_to_wall_s = time.time() - asyncio.get_running_loop().time()
        ends = [
            {
                "target": end.target,
                "node": end.node,
                "begun_ms": round((end.begun_s + loop_to_wall_s) * 1000.0),
                "ended_ms": round((end.ended_s + loop_to_wall_s) * 1000.0),
            }
            for end in suspect.crashed_runs.values()
        ]
        return msgspec.json.encode({"refused": suspect.refused, "ends": ends})

    def _apply_entries(self, entries: Sequence[LogEntry], historical: bool) -> None:
        self._applied_at_s = asyncio.get_running_loop().time()
        self._applies_history = historical
        self._applier.apply(entries)

    def _apply_one(self, entry: LogEntry) -> None:
        """Apply one record.

        :raises MalformedError: when its key or its value is malformed.
        """
        now_s = self._applied_at_s
        with decoding("key"):
            digest = bytes.fromhex(entry.key)
        if not entry.value:
            self._written.pop(digest, None)
            self._ledger.drop(digest, now_s)
            return
        record = decode_crash_record(entry.value, now_s - time.time())
        for run in record.runs:
            self._ledger.record_crash(digest, run, now_s, fresh=not self._applies_history)
        if record.refused and self._ledger.record_refused(digest, now_s):
            self._logger.warning(
                "call=%s barred by the log ends=%d", digest.hex(), len(record.runs)
            )
        self._written[digest] = _PersistedRecord(
            frozenset(run.target for run in record.runs), record.refused, now_s
        )


class CrashRecord(NamedTuple):
    """What the log holds of a call: runs whose target crashed, and whether it is refused."""

    runs: Sequence[CrashedRun]
    refused: bool


def decode_crash_record(value: bytes, wall_to_loop_s: float) -> CrashRecord:
    """Return the record of a call; ``wall_to_loop_s`` converts the time of day to the loop's clock.

    :raises MalformedError: when it is malformed.
    """
    with decoding("crash record"):
        body: Mapping[str, Any] = decode_json(value)
        runs = [
            CrashedRun(
                str(row["target"]),
                float(row["begun_ms"]) / 1000.0 + wall_to_loop_s,
                float(row["ended_ms"]) / 1000.0 + wall_to_loop_s,
                str(row["node"]),
            )
            for row in body["ends"]
        ]
        return CrashRecord(runs, bool(body["refused"]))
