"""Estimates how long a message waited on its way, without synchronized clocks.

Load: a frozen process or a silent path delivers a request seconds after it was sent. An owner that
took it for a new one would give its target more time than the caller has left.
"""

from collections import OrderedDict
from typing import Final

# Senders that are remembered; the least recently heard one is dropped.
MAX_SENDERS: Final = 1024
# How fast two monotonic clocks may drift apart. The smallest difference grows by it, so that one
# taken long ago does not make each later message look delayed or early.
MAX_CLOCK_DRIFT: Final = 0.0002


class SendDelays:
    """Compares the sending and arrival times of messages by sender.

    The clocks differ by an unknown constant. The smallest difference seen belongs to the fastest
    message, so that a larger one is the extra delay of its message.
    """

    def __init__(self) -> None:
        """Start without senders."""
        self._smallest: OrderedDict[str, tuple[float, float]] = OrderedDict()

    def delay_s(self, sender: str, sent_at_s: float, arrived_at_s: float) -> float:
        """Return how much longer a message took than the fastest one of its sender.

        The first message of a sender sets the measure and has no delay. Clocks are monotonic, that
        of the sender and that of this node.
        """
        difference_s = arrived_at_s - sent_at_s
        known = self._smallest.pop(sender, None)
        if known is None:
            smallest_s = difference_s
        else:
            drift_s = MAX_CLOCK_DRIFT * max(0.0, arrived_at_s - known[1])
            smallest_s = min(difference_s, known[0] + drift_s)
        self._smallest[sender] = (smallest_s, arrived_at_s)
        if len(self._smallest) > MAX_SENDERS:
            self._smallest.popitem(last=False)
        return difference_s - smallest_s
