"""Sends reports of crashes in small services to several members at once.

The caller of a request that crashed a target may send it again to another node within 10 ms, long
before a heartbeat has carried the report there. In a service with few targets that costs one of the
last ones. Each node that learns of such a report passes it on at once too, so that all nodes have
it after about two hops.
"""

import asyncio
from collections import OrderedDict
from typing import Final, Protocol

from ..peers import Message
from ._crash_gossip import CrashGossip

# Members that are told by the node that observed a crash, and by each node that learns of it.
# If each node tells 6 others at random, 0.2% of the nodes wait for a heartbeat.
OBSERVER_FAN_OUT: Final = 12
RELAY_FAN_OUT: Final = 6
# Reports of calls that a target cut together share datagrams. The pause bounds the messages of a
# node whose targets crash one after another.
FIRST_DELAY_S: Final = 0.001
MIN_INTERVAL_S: Final = 0.05
ROWS_PER_DATAGRAM: Final = 16
MAX_REPORTS: Final = 64


class ReportSender(Protocol):
    """Sends messages to other members at once."""

    def bare_message(self) -> Message:
        """Return a message without updates."""
        ...

    def send_to_some(self, message: Message, count: int) -> None:
        """Send a message to ``count`` members, drawn at random."""
        ...


class UrgentReports:
    """Collects reports for a moment and sends them; without a sender they are dropped."""

    def __init__(self, gossip: CrashGossip) -> None:
        """Take the rows of reports from ``gossip``, which also sends them on heartbeats."""
        self._gossip = gossip
        self.sender: ReportSender | None = None
        self._reports: OrderedDict[tuple[bytes, str], None] = OrderedDict()
        self._fan_out = 0
        self._timer: asyncio.TimerHandle | None = None
        self._sent_at_s = 0.0

    def add(self, digest: bytes, target: str, *, observed: bool) -> None:
        """Send a report soon; ``observed`` says that this node saw the crash itself."""
        if self.sender is None:
            return
        self._reports[digest, target] = None
        while len(self._reports) > MAX_REPORTS:
            self._reports.popitem(last=False)
        self._fan_out = max(self._fan_out, OBSERVER_FAN_OUT if observed else RELAY_FAN_OUT)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            delay_s = max(FIRST_DELAY_S, self._sent_at_s + MIN_INTERVAL_S - loop.time())
            self._timer = loop.call_later(delay_s, self._send)

    def _send(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._timer, self._sent_at_s = None, now_s
        keys, fan_out = list(self._reports), self._fan_out
        self._reports.clear()
        self._fan_out = 0
        rows = self._gossip.rows_of(keys, now_s)
        if self.sender is None:
            return
        for first in range(0, len(rows), ROWS_PER_DATAGRAM):
            part = rows[first : first + ROWS_PER_DATAGRAM]
            self.sender.send_to_some(self.sender.bare_message()._replace(crashes=part), fan_out)
