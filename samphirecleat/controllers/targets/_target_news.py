"""What nodes tell each other of targets, so that not every node asks each of them.

Whatever changes but load is sent as a whole row, a bounded number of times. Load
is sent in a few bytes, the freshest first and some others in turn, as much as
fits a fixed size: with more targets the load gets older, not dearer.

Pure: no I/O and no clock of its own.
"""

import hashlib
import math
from collections import OrderedDict
from collections.abc import Collection, Sequence
from typing import Final, NamedTuple

from ...blackboard import TargetView
from ...peers import Message, TargetLoad, TargetRow

ROWS_PER_MESSAGE: Final = 3
FRESH_LOADS: Final = 16
OTHER_LOADS: Final = 6
FRESH_S: Final = 0.5
SAME_POLL_S: Final = 0.05


class Heard(NamedTuple):
    """A target as it was when some node asked it at ``polled_at_s`` of this clock."""

    view: TargetView
    polled_at_s: float
    key: int


class TargetGossip:
    """The newest that was heard of each target, and what is to be passed on."""

    def __init__(self) -> None:
        """Start with nothing heard."""
        self.polled_targets: OrderedDict[str, Heard] = OrderedDict()
        self.changed: set[str] = set()
        self._fresh: OrderedDict[str, None] = OrderedDict()
        self._by_key: dict[int, str] = {}
        self._untold: dict[str, int] = {}
        self._turn: list[str] = []

    def keep_only(self, wanted: Collection[str]) -> None:
        """Forget targets that no service names any more."""
        for address in set(self.polled_targets) - set(wanted):
            del self.polled_targets[address]
        self._by_key = {k: a for k, a in self._by_key.items() if a in self.polled_targets}

    def note(
        self, view: TargetView, polled_at_s: float, now_s: float, *, tell_first: bool = False
    ) -> bool:
        """Take in what a target said; True when it is news.

        Changes are told to others. What is heard for the first time is told only if
        ``tell_first`` is set, by the one node that watches the target: a node that
        starts hears of everything for the first time.

        A target that said that it leaves does not stay after all: only a new
        instance at its address takes work again. An older answer that comes round
        late would otherwise bring it back.
        """
        known = self.polled_targets.get(view.address)
        if known is not None:
            if polled_at_s <= known.polled_at_s:
                return False
            same_instance = known.view.instance == view.instance
            view = view._replace(leaving=view.leaving or (same_instance and known.view.leaving))
        is_news = known is None or _identity(known.view) != _identity(view)
        key = known.key if known and not is_news else load_key(view)
        self._put(Heard(view, polled_at_s, key), now_s)
        if is_news:
            if known is not None:
                self._by_key.pop(known.key, None)
            self._by_key[key] = view.address
        if is_news and (known is not None or tell_first):
            self._untold[view.address] = 3 + math.ceil(math.log2(len(self.polled_targets) + 1))
        return is_news

    def load(self, message: Message, now_s: float) -> Message:
        """Return the message with rows and loads put in."""
        return message._replace(targets=self._rows(now_s), loads=self._loads(now_s))

    def unload_loads(self, loads: Sequence[TargetLoad], now_s: float) -> None:
        """Take in loads; one of a target that this node knows otherwise is passed over."""
        for load in loads:
            address = self._by_key.get(load.key)
            known = self.polled_targets.get(address) if address is not None else None
            if known is None or known.key != load.key:
                continue
            polled_at_s = now_s - load.poll_age_ms / 1000.0
            if polled_at_s <= known.polled_at_s + SAME_POLL_S:
                continue
            view = known.view._replace(
                running=load.running,
                waiting=load.waiting,
                reported_at_s=now_s - load.report_age_ms / 1000.0,
            )
            self._put(Heard(view, polled_at_s, load.key), now_s)

    def silent_since(self, before_s: float) -> Sequence[str]:
        """Return targets last asked before a time, the longest silent first."""
        silent: list[str] = []
        for address, heard in self.polled_targets.items():
            if heard.polled_at_s >= before_s:
                break
            silent.append(address)
        return silent

    def _put(self, heard: Heard, now_s: float) -> None:
        address = heard.view.address
        self.polled_targets[address] = heard
        # The start of the dictionary holds what was silent longest, more or less.
        self.polled_targets.move_to_end(address)
        self.changed.add(address)
        if now_s - heard.polled_at_s <= FRESH_S:
            self._fresh[address] = None
            self._fresh.move_to_end(address)
            if len(self._fresh) > FRESH_LOADS:
                self._fresh.popitem(last=False)

    def _rows(self, now_s: float) -> Sequence[TargetRow]:
        addresses = sorted(self._untold, key=self._untold.__getitem__, reverse=True)
        rows = []
        for address in addresses[:ROWS_PER_MESSAGE]:
            self._untold[address] -= 1
            if not self._untold[address]:
                del self._untold[address]
            if address in self.polled_targets:
                rows.append(make_row(self.polled_targets[address], now_s))
        if not rows:
            turn = self._next_in_turn(1)
            rows = [make_row(self.polled_targets[address], now_s) for address in turn]
        return rows

    def _loads(self, now_s: float) -> Sequence[TargetLoad]:
        fresh = [address for address in self._fresh if address in self.polled_targets]
        others = self._next_in_turn(min(OTHER_LOADS, len(self.polled_targets) - len(fresh)))
        chosen = dict.fromkeys([*fresh, *others])
        return [_make_load(self.polled_targets[address], now_s) for address in chosen]

    def _next_in_turn(self, count: int) -> Sequence[str]:
        if not self._turn:
            self._turn = list(self.polled_targets)
        taken = [self._turn.pop() for _n in range(min(count, len(self._turn)))]
        return [address for address in taken if address in self.polled_targets]


def view_of_row(row: TargetRow, known: TargetView, now_s: float) -> TargetView:
    """Return the view that a row tells of, for a target that this node knows to exist."""
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


def make_row(heard: Heard, now_s: float) -> TargetRow:
    """Return the row that tells others of a target."""
    view = heard.view
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
        poll_age_ms=_ms(now_s - heard.polled_at_s),
        report_age_ms=_ms(now_s - view.reported_at_s),
    )


def load_key(view: TargetView) -> int:
    """Return four bytes that stand for one instance at one address, and whether it takes work.

    A load says nothing of that. Were it taken for one that knows the target as it was before, that
    one would go on believing so, and pass over the row that says otherwise.
    """
    said = f"{view.address}\0{view.instance}\0{view.leaving}\0{view.reachable}"
    return int.from_bytes(hashlib.blake2b(said.encode(), digest_size=4).digest())


def _make_load(heard: Heard, now_s: float) -> TargetLoad:
    view = heard.view
    polled_ago_ms = int((now_s - heard.polled_at_s) * 1000.0)
    reported_ago_ms = int((now_s - view.reported_at_s) * 1000.0)
    return TargetLoad(heard.key, view.running, view.waiting, polled_ago_ms, reported_ago_ms)


def _identity(view: TargetView) -> tuple[object, ...]:
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
