"""What one node knows of every process of the system, and how news changes it.

Processes are told apart by their incarnation alone. A host that was replaced is
another row beside the old one, and each lives or dies by its own signs of life.
Nothing compares the wall clocks of two processes to decide which of them lives:
a host whose clock runs backwards would otherwise be ignored for good.
"""

from collections import OrderedDict
from collections.abc import Sequence
from enum import Enum
from typing import Final, NamedTuple

from ...blackboard import Member, MemberView

REMEMBER_DEAD_S: Final = 7200.0
DEAD_KEPT: Final = 512
ENDED_KEPT: Final = 4096


class Life(Enum):
    """Whether a process is taken for alive; GONE is its own last word."""

    ALIVE = "alive"
    DEAD = "dead"
    GONE = "gone"


class Known(NamedTuple):
    """One process as this node knows it, on this node's clock.

    ``made_at_s`` is when the process made its newest row; ``silent_since_s`` is,
    for a dead one, when the first probe that it left unanswered was sent.
    """

    member: Member
    made_at_s: float
    life: Life = Life.ALIVE
    silent_since_s: float = 0.0


class Change(Enum):
    """What a row changed; only NEWS is worth telling others at once."""

    NONE = "none"
    FRESHER = "fresher"
    NEWS = "news"


class MemberTable:
    """Rows by incarnation, and the ended ones that must not come back."""

    def __init__(self) -> None:
        """Start without any row."""
        self.known: dict[str, Known] = {}
        self.changed_node_ids: set[str] = set()
        self.alive_count = 0
        self._highest_revision = -1
        self._incarnations: dict[str, list[str]] = {}
        self._ended: OrderedDict[str, int] = OrderedDict()

    def merge(self, row: Member, age_s: float, now_s: float) -> Change:
        """Take in a row that its process made ``age_s`` ago.

        A row that is no newer than the known one changes nothing, so that delayed,
        doubled and replayed datagrams do no harm. A dead process comes back only
        by a row that it made after it fell silent: another node may have heard of
        it later than this one did, and that is no sign of life.
        """
        made_at_s = now_s - max(0.0, age_s)
        known = self.known.get(row.incarnation)
        if known is None:
            if row.sequence <= self._ended.get(row.incarnation, -1):
                return Change.NONE
            self._put(Known(row, made_at_s))
            self._highest_revision = max(self._highest_revision, row.config_revision)
            return Change.NEWS
        if row.sequence <= known.member.sequence:
            return Change.NONE
        made_at_s = max(made_at_s, known.made_at_s)
        match known.life:
            case Life.GONE:
                return Change.NONE
            case Life.DEAD if made_at_s <= known.silent_since_s:
                self._put(known._replace(member=row))
                return Change.FRESHER
            case Life.DEAD:
                self._put(Known(row, made_at_s))
                return Change.NEWS
        self._put(Known(row, made_at_s))
        old = known.member
        same = (old.leaving, old.ready, old.reads_log) == (row.leaving, row.ready, row.reads_log)
        # The first row with a higher revision tells all where to fetch it. The rows
        # of the others that take it follow in turn; told at once, they would be as
        # many as the fleet has nodes.
        raises_revision = row.config_revision > self._highest_revision
        self._highest_revision = max(self._highest_revision, row.config_revision)
        return Change.FRESHER if same and not raises_revision else Change.NEWS

    def bury(self, incarnation: str, life: Life, silent_since_s: float) -> bool:
        """Note a death; True if the process was alive until now."""
        known = self.known.get(incarnation)
        if known is None or known.life is Life.GONE:
            return False
        self._put(known._replace(life=life, silent_since_s=silent_since_s))
        return known.life is Life.ALIVE

    def alive(self) -> Sequence[Known]:
        """Return the processes that are taken for alive."""
        return [known for known in self.known.values() if known.life is Life.ALIVE]

    def dead_addresses(self) -> Sequence[str]:
        """Return where processes that fell silent could be found again."""
        return [k.member.peer_address for k in self.known.values() if k.life is Life.DEAD]

    def forget_old(self, now_s: float) -> None:
        """Drop the rows of processes that are long dead, but not that they ended.

        The memory of an ended incarnation outlives its row, since a replayed
        datagram of it would otherwise make it look like a new process.
        """
        dead = [known for known in self.known.values() if known.life is not Life.ALIVE]
        dead.sort(key=lambda known: known.silent_since_s, reverse=True)
        for index, known in enumerate(dead):
            if index >= DEAD_KEPT or now_s - known.silent_since_s > REMEMBER_DEAD_S:
                self._forget(known)

    def shown(self, node_id: str) -> MemberView | None:
        """Return the process that stands for a node id: a live one, started last.

        The wall clock only breaks a tie between two live processes of one id, which
        ends when the replaced one is found dead.
        """
        candidates = [self.known[inc] for inc in self._incarnations.get(node_id, ())]
        if not candidates:
            return None
        best = max(
            candidates,
            key=lambda k: (k.life is Life.ALIVE, k.member.started_at_ms, k.member.incarnation),
        )
        return MemberView(best.member, best.made_at_s, best.life is Life.ALIVE)

    def shown_own(self, own: Member) -> MemberView:
        """Return this process's own row, whoever else uses its node id."""
        return MemberView(own, self.known[own.incarnation].made_at_s, alive=True)

    def _put(self, known: Known) -> None:
        member = known.member
        before = self.known.get(member.incarnation)
        was_alive = before is not None and before.life is Life.ALIVE
        self.alive_count += (known.life is Life.ALIVE) - was_alive
        if before is None:
            self._incarnations.setdefault(member.node_id, []).append(member.incarnation)
        self.known[member.incarnation] = known
        self.changed_node_ids.add(member.node_id)

    def _forget(self, known: Known) -> None:
        member = known.member
        del self.known[member.incarnation]
        self._ended[member.incarnation] = member.sequence
        while len(self._ended) > ENDED_KEPT:
            self._ended.popitem(last=False)
        remaining = self._incarnations[member.node_id]
        remaining.remove(member.incarnation)
        if not remaining:
            del self._incarnations[member.node_id]
        self.changed_node_ids.add(member.node_id)
