"""Gossip between nodes about targets, so that not every node polls every target.

Any change other than load is sent as a whole row, a bounded number of times. Load is sent
in a compact form: the freshest loads first and others round-robin, up to a fixed size per
message. With more targets the loads become older, but the messages do not grow.

This module does no I/O and reads no clock.
"""

import hashlib
import math
from collections import OrderedDict
from collections.abc import Collection, Sequence
from typing import Final, NamedTuple

from ...blackboard import TargetView
from ...peers import Message, TargetLoad, TargetRow

ROWS_PER_MESSAGE: Final = 3
FRESH_LOADS_PER_MESSAGE: Final = 16
OTHER_LOADS_PER_MESSAGE: Final = 6
FRESH_AGE_S: Final = 0.5
SAME_POLL_TOLERANCE_S: Final = 0.05


class PolledTarget(NamedTuple):
    """A target as some node saw it at ``polled_at_s``, a time on this node's clock.

    ``key`` is its :func:`load_key`.
    """

    view: TargetView
    polled_at_s: float
    key: int


class TargetGossip:
    """Holds the newest state of each target and selects what to send to other nodes."""

    def __init__(self) -> None:
        """Create an instance without targets."""
        self.polled_targets: OrderedDict[str, PolledTarget] = OrderedDict()
        self.changed: set[str] = set()
        self._fresh: OrderedDict[str, None] = OrderedDict()
        self._by_key: dict[int, str] = {}
        self._remaining_row_sends: dict[str, int] = {}
        self._round_robin: list[str] = []

    def retain_only(self, addresses: Collection[str]) -> None:
        """Drop the targets that are not among ``addresses``."""
        for address in set(self.polled_targets) - set(addresses):
            del self.polled_targets[address]
        self._by_key = {k: a for k, a in self._by_key.items() if a in self.polled_targets}

    def record_report(
        self, view: TargetView, polled_at_s: float, now_s: float, *, announce_new: bool = False
    ) -> bool:
        """Merge a report of a target; return whether anything but its load changed.

        Changes are sent to other nodes. The first report of a target is sent only if
        ``announce_new`` is set, which only the node that owns the target does: to a node
        that has just started, every target is new.

        A target that reported leaving stays in that state until a new instance appears at
        its address. Otherwise an older report that arrives late would put it back in use.
        """
        known = self.polled_targets.get(view.address)
        if known is not None:
            if polled_at_s <= known.polled_at_s:
                return False
            same_instance = known.view.instance == view.instance
            view = view._replace(leaving=view.leaving or (same_instance and known.view.leaving))
        is_change = known is None or _row_state(known.view) != _row_state(view)
        key = known.key if known and not is_change else load_key(view)
        self._put(PolledTarget(view, polled_at_s, key), now_s)
        if is_change:
            if known is not None:
                self._by_key.pop(known.key, None)
            self._by_key[key] = view.address
        if is_change and (known is not None or announce_new):
            self._remaining_row_sends[view.address] = 3 + math.ceil(
                math.log2(len(self.polled_targets) + 1)
            )
        return is_change

    def add_updates(self, message: Message, now_s: float) -> Message:
        """Return the message with target rows and loads added."""
        return message._replace(targets=self._rows(now_s), loads=self._loads(now_s))

    def apply_loads(self, loads: Sequence[TargetLoad], now_s: float) -> None:
        """Apply loads; ignore a load whose key does not match the target's known state."""
        for load in loads:
            address = self._by_key.get(load.key)
            known = self.polled_targets.get(address) if address is not None else None
            if known is None or known.key != load.key:
                continue
            polled_at_s = now_s - load.poll_age_ms / 1000.0
            if polled_at_s <= known.polled_at_s + SAME_POLL_TOLERANCE_S:
                continue
            view = known.view._replace(
                running=load.running,
                waiting=load.waiting,
                reported_at_s=now_s - load.report_age_ms / 1000.0,
            )
            self._put(PolledTarget(view, polled_at_s, load.key), now_s)

    def not_polled_since(self, before_s: float) -> Sequence[str]:
        """Return the targets last polled before ``before_s``, approximately oldest first."""
        silent: list[str] = []
        for address, polled in self.polled_targets.items():
            if polled.polled_at_s >= before_s:
                break
            silent.append(address)
        return silent

    def _put(self, polled: PolledTarget, now_s: float) -> None:
        address = polled.view.address
        self.polled_targets[address] = polled
        # Keeps the dictionary approximately ordered by poll time, oldest first.
        self.polled_targets.move_to_end(address)
        self.changed.add(address)
        if now_s - polled.polled_at_s <= FRESH_AGE_S:
            self._fresh[address] = None
            self._fresh.move_to_end(address)
            if len(self._fresh) > FRESH_LOADS_PER_MESSAGE:
                self._fresh.popitem(last=False)

    def _rows(self, now_s: float) -> Sequence[TargetRow]:
        addresses = sorted(
            self._remaining_row_sends, key=self._remaining_row_sends.__getitem__, reverse=True
        )
        rows = []
        for address in addresses[:ROWS_PER_MESSAGE]:
            self._remaining_row_sends[address] -= 1
            if not self._remaining_row_sends[address]:
                del self._remaining_row_sends[address]
            if address in self.polled_targets:
                rows.append(make_row(self.polled_targets[address], now_s))
        if not rows:
            fallback = self._next_round_robin(1)
            rows = [make_row(self.polled_targets[address], now_s) for address in fallback]
        return rows

    def _loads(self, now_s: float) -> Sequence[TargetLoad]:
        fresh = [address for address in self._fresh if address in self.polled_targets]
        others = self._next_round_robin(
            min(OTHER_LOADS_PER_MESSAGE, len(self.polled_targets) - len(fresh))
        )
        chosen = dict.fromkeys([*fresh, *others])
        return [_make_load(self.polled_targets[address], now_s) for address in chosen]

    def _next_round_robin(self, count: int) -> Sequence[str]:
        if not self._round_robin:
            self._round_robin = list(self.polled_targets)
        taken = [self._round_robin.pop() for _n in range(min(count, len(self._round_robin)))]
        return [address for address in taken if address in self.polled_targets]


def view_from_row(row: TargetRow, known: TargetView, now_s: float) -> TargetView:
    """Return the view that a row describes, for a target that this node knows to exist."""
    return known._replace(
        instance=row.instance,
        version=row.version,
        loading=row.loading,
        leaving=row.leaving,
        reachable=row.reachable,
        running=row.running,
        waiting=row.waiting,
        slots=row.slots,
        reported_at_s=now_s - row.report_age_ms / 1000.0,
    )


def make_row(polled: PolledTarget, now_s: float) -> TargetRow:
    """Return the row that describes a target to other nodes."""
    view = polled.view
    return TargetRow(
        address=view.address,
        instance=view.instance,
        version=view.version,
        loading=view.loading,
        leaving=view.leaving,
        reachable=view.reachable,
        running=view.running,
        waiting=view.waiting,
        slots=view.slots,
        poll_age_ms=_ms(now_s - polled.polled_at_s),
        report_age_ms=_ms(now_s - view.reported_at_s),
    )


def load_key(view: TargetView) -> int:
    """Return a 4-byte key of an instance, its address, and whether it accepts work.

    A load does not carry that state. Without it in the key, a receiver with outdated state
    would apply the load to that state, and then ignore the row with the change as no newer.
    """
    state = f"{view.address}\0{view.instance}\0{view.leaving}\0{view.reachable}"
    return int.from_bytes(hashlib.blake2b(state.encode(), digest_size=4).digest())


def _make_load(polled: PolledTarget, now_s: float) -> TargetLoad:
    view = polled.view
    polled_ago_ms = int((now_s - polled.polled_at_s) * 1000.0)
    reported_ago_ms = int((now_s - view.reported_at_s) * 1000.0)
    return TargetLoad(polled.key, view.running, view.waiting, polled_ago_ms, reported_ago_ms)


def _row_state(view: TargetView) -> tuple[object, ...]:
    return (
        view.instance,
        view.version,
        view.loading,
        view.leaving,
        view.reachable,
        view.slots,
    )


def _ms(seconds: float) -> int:
    return max(0, min(3_600_000, int(seconds * 1000.0)))
