"""Reports that are sent at once, in few and small datagrams."""

import asyncio

from samphirecleat.crashes import CrashedRun, CrashGossip, CrashLedger, UrgentReports
from samphirecleat.crashes._urgent_reports import OBSERVER_FAN_OUT, RELAY_FAN_OUT
from samphirecleat.peers import HeartbeatCodec, Message

from .test_crash_gossip import EMPTY

MAX_DATAGRAM_BYTES = 1400


class FakeSender:
    """Keeps the messages in memory."""

    def __init__(self) -> None:
        self.sent: list[tuple[Message, int]] = []

    def bare_message(self) -> Message:
        return EMPTY

    def send_to_some(self, message: Message, count: int) -> None:
        self.sent.append((message, count))


def test_reports_of_one_crash_share_datagrams_and_the_worst_suspect_is_first() -> None:
    """Guards against a datagram per call of a busy target that crashed, and against large ones."""

    async def body() -> None:
        ledger, sender = CrashLedger(), FakeSender()
        reports = UrgentReports(CrashGossip(ledger, lambda: 9))
        reports.sender = sender
        instance = "i-17caf210b8e4@1765432100123"
        for number in range(30):
            ledger.record_crash(b"%12d" % number, CrashedRun(instance, 0.0, 0.1, "node-1"), 0.1)
            reports.add(b"%12d" % number, instance, observed=number == 0)
        ledger.record_crash(b"%12d" % 29, CrashedRun("other@1", 0.2, 0.3, "node-1"), 0.3)
        await asyncio.sleep(0.02)
        assert [(len(m.crashes), count) for m, count in sender.sent] == [
            (16, OBSERVER_FAN_OUT),
            (14, OBSERVER_FAN_OUT),
        ]
        assert sender.sent[0][0].crashes[0].digest == b"%12d" % 29
        assert all(len(HeartbeatCodec("k").pack(m)) < MAX_DATAGRAM_BYTES for m, _ in sender.sent)
        reports.add(b"%12d" % 1, instance, observed=False)
        await asyncio.sleep(0.02)
        assert len(sender.sent) == 2
        await asyncio.sleep(0.05)
        assert sender.sent[2][1] == RELAY_FAN_OUT

    asyncio.run(body())


def test_only_new_reports_are_passed_on() -> None:
    """Guards against reports that nodes send to each other for ever."""
    ledger = CrashLedger()
    gossip = CrashGossip(ledger, lambda: 9)
    passed_on: list[tuple[bytes, str]] = []
    gossip.on_new_crash = lambda digest, target: passed_on.append((digest, target))
    other = CrashLedger()
    other.record_crash(b"call", CrashedRun("t@1", 0.0, 0.1, "n"), 0.1)
    rows = CrashGossip(other, lambda: 9).rows_of([(b"call", "t@1")], 0.2)
    for _ in range(2):
        gossip.apply_updates(EMPTY._replace(crashes=rows), 0.2)
    assert passed_on == [(b"call", "t@1")]
