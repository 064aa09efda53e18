"""The processes that one node knows, and how received rows change them.

Processes are identified by their incarnation alone. The process of a replaced host
is a separate record beside the old one, and the liveness of each is judged by its
own rows. Wall clocks of two processes are never compared to decide which of them is
alive: a host whose clock runs behind would otherwise be ignored permanently.
"""

from collections import OrderedDict
from collections.abc import Sequence
from enum import Enum
from typing import Final, NamedTuple

from ...blackboard import Member, MemberView

DEAD_TTL_S: Final = 7200.0
MAX_DEAD: Final = 512
MAX_ENDED: Final = 4096


class Liveness(Enum):
    """Whether a process is considered alive; GONE means that it announced its own exit."""

    ALIVE = "alive"
    DEAD = "dead"
    GONE = "gone"


class MemberRecord(NamedTuple):
    """One process as known to this node; all times are on this node's clock.

    ``made_at_s`` is when the process made its newest row. ``silent_since_s`` is, for a
    dead process, when the first unanswered probe was sent.
    """

    member: Member
    made_at_s: float
    liveness: Liveness = Liveness.ALIVE
    silent_since_s: float = 0.0


class RowChange(Enum):
    """The effect of a merged row; only UPDATED is disseminated at once."""

    NONE = "none"
    REFRESHED = "fresher"
    UPDATED = "news"


class MemberTable:
    """Member records by incarnation, and incarnations that ended and must not return."""

    def __init__(self) -> None:
        """Start without records."""
        self.records: dict[str, MemberRecord] = {}
        self.changed_node_ids: set[str] = set()
        self.alive_count = 0
        self._highest_revision = -1
        self._incarnations: dict[str, list[str]] = {}
        self._ended: OrderedDict[str, int] = OrderedDict()

    def merge(self, row: Member, age_s: float, now_s: float) -> RowChange:
        """Apply a row that its process made ``age_s`` ago.

        A row that is no newer than the known one changes nothing, so delayed, duplicated
        and replayed datagrams are harmless. A dead process becomes alive again only by a
        row that it made after it stopped answering; a row that merely arrived later by way
        of another node is no evidence of life.
        """
        made_at_s = now_s - max(0.0, age_s)
        record = self.records.get(row.incarnation)
        if record is None:
            if row.sequence <= self._ended.get(row.incarnation, -1):
                return RowChange.NONE
            self._store(MemberRecord(row, made_at_s))
            self._highest_revision = max(self._highest_revision, row.config_revision)
            return RowChange.UPDATED
        if row.sequence <= record.member.sequence:
            return RowChange.NONE
        made_at_s = max(made_at_s, record.made_at_s)
        match record.liveness:
            case Liveness.GONE:
                return RowChange.NONE
            case Liveness.DEAD if made_at_s <= record.silent_since_s:
                self._store(record._replace(member=row))
                return RowChange.REFRESHED
            case Liveness.DEAD:
                self._store(MemberRecord(row, made_at_s))
                return RowChange.UPDATED
        self._store(MemberRecord(row, made_at_s))
        old = record.member
        same = (old.leaving, old.ready, old.reads_log) == (row.leaving, row.ready, row.reads_log)
        # The first row with a higher revision tells every node where to fetch it. Rows
        # of nodes that adopt it later are left to the regular refresh; disseminating
        # each at once would cost one update per node of the fleet.
        raises_revision = row.config_revision > self._highest_revision
        self._highest_revision = max(self._highest_revision, row.config_revision)
        return RowChange.REFRESHED if same and not raises_revision else RowChange.UPDATED

    def mark_ended(self, incarnation: str, liveness: Liveness, silent_since_s: float) -> bool:
        """Record a death or an exit; return True if the process was considered alive until now."""
        record = self.records.get(incarnation)
        if record is None or record.liveness is Liveness.GONE:
            return False
        self._store(record._replace(liveness=liveness, silent_since_s=silent_since_s))
        return record.liveness is Liveness.ALIVE

    def alive(self) -> Sequence[MemberRecord]:
        """Return the processes that are considered alive."""
        return [record for record in self.records.values() if record.liveness is Liveness.ALIVE]

    def dead_addresses(self) -> Sequence[str]:
        """Return the addresses of dead processes, which may become reachable again."""
        return [k.member.peer_address for k in self.records.values() if k.liveness is Liveness.DEAD]

    def remove_expired(self, now_s: float) -> None:
        """Remove records of processes that ended long ago, but remember that they ended.

        An ended incarnation is remembered longer than its record, since a replayed datagram
        of it would otherwise look like a new process.
        """
        dead = [record for record in self.records.values() if record.liveness is not Liveness.ALIVE]
        dead.sort(key=lambda record: record.silent_since_s, reverse=True)
        for index, record in enumerate(dead):
            if index >= MAX_DEAD or now_s - record.silent_since_s > DEAD_TTL_S:
                self._remove(record)

    def current_view(self, node_id: str) -> MemberView | None:
        """Return the process that represents a node id: a live one, and the last started.

        The wall clock only breaks a tie between two live processes of one id; the tie ends
        when the replaced process is found dead.
        """
        candidates = [self.records[inc] for inc in self._incarnations.get(node_id, ())]
        if not candidates:
            return None
        best = max(
            candidates,
            key=lambda k: (
                k.liveness is Liveness.ALIVE,
                k.member.started_at_ms,
                k.member.incarnation,
            ),
        )
        return MemberView(best.member, best.made_at_s, best.liveness is Liveness.ALIVE)

    def own_view(self, own: Member) -> MemberView:
        """Return this process's own record, whichever other processes use its node id."""
        return MemberView(own, self.records[own.incarnation].made_at_s, alive=True)

    def _store(self, record: MemberRecord) -> None:
        member = record.member
        before = self.records.get(member.incarnation)
        was_alive = before is not None and before.liveness is Liveness.ALIVE
        self.alive_count += (record.liveness is Liveness.ALIVE) - was_alive
        if before is None:
            self._incarnations.setdefault(member.node_id, []).append(member.incarnation)
        self.records[member.incarnation] = record
        self.changed_node_ids.add(member.node_id)

    def _remove(self, record: MemberRecord) -> None:
        member = record.member
        del self.records[member.incarnation]
        self._ended[member.incarnation] = member.sequence
        while len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)
        remaining = self._incarnations[member.node_id]
        remaining.remove(member.incarnation)
        if not remaining:
            del self._incarnations[member.node_id]
        self.changed_node_ids.add(member.node_id)
