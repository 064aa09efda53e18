"""Keeps the target section: one node asks each target and tells the others."""

import asyncio
import random
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Final, NamedTuple

from ...blackboard import Blackboard, TargetView
from ...peers import Message, RendezvousOwners, TargetRow
from ...targets import TargetClient
from ._target_news import TargetGossip, view_of_row

SILENT_AFTER_S: Final = 1.5
SILENT_PER_TARGET_S: Final = 1.0 / 30.0
FALLBACK_POLLS: Final = 20
DOUBT_PERIOD_S: Final = 5.0
DOUBTED_POLLS: Final = 60
CLOCK_PERIOD_S: Final = 0.2
PAUSE_S: Final = 1.5
PAUSE_HELD_S: Final = 5.0
UNHEARD_SLACK_S: Final = 0.8
STALE_AFTER_S: Final = 2.8


class WatchView(NamedTuple):
    """What one round of questions is decided from.

    ``owned`` are the targets that this node comes first for; ``silent`` those of
    which nobody told anything for too long, the longest first; ``doubted`` those
    that this node found unreachable, with the time to ask again.
    """

    owned: Collection[str]
    silent: Sequence[str]
    doubted: Mapping[str, float]


def decide_polls(view: WatchView, now_s: float) -> Sequence[str]:
    """Return the targets that this node asks now.

    It asks its own each time; others only when their news went silent or when it
    doubts them, and not more than a few at once, lest all nodes ask for everything
    together after a silence.
    """
    due = dict.fromkeys(view.owned)
    doubted = [address for address, again_s in view.doubted.items() if now_s >= again_s]
    due.update(dict.fromkeys(doubted[:DOUBTED_POLLS]))
    silent = [a for a in view.silent if a not in due and a not in view.doubted]
    return [*due, *silent[:FALLBACK_POLLS]]


def silent_after_s(target_count: int) -> float:
    """Return how long nothing need be heard of a target that is watched well.

    News of more targets takes longer, since a datagram carries a fixed number.
    """
    return SILENT_AFTER_S + SILENT_PER_TARGET_S * target_count


def is_target_section_stale(kept_at_s: float, now_s: float) -> bool:
    """Whether the target section is too old to send new work by.

    A process that stood still, or whose loop is stuck, goes on with a view from
    before. It would send work to a target that has said meanwhile that it leaves,
    and its operator would see that target get work for longer than a few seconds.
    """
    return now_s - kept_at_s > STALE_AFTER_S


def is_target_report_expired(target: TargetView, target_count: int, now_s: float) -> bool:
    """Whether a target was heard of too long ago to be sent new work.

    Its watcher and then this node's own questions come sooner than that while this
    process goes on. One that stood still may have missed, before it did, that the
    target's watcher had fallen silent too.
    """
    return now_s - target.heard_at_s > silent_after_s(target_count) + UNHEARD_SLACK_S


class TargetWatch:
    """Asks targets and rides on the members' datagrams with what they said."""

    def __init__(
        self,
        board: Blackboard,
        client: TargetClient,
        period_s: float,
        rng: random.Random | None = None,
    ) -> None:
        """Ask the targets that are this node's to ask every ``period_s``."""
        self._board = board
        self._client = client
        self._period_s = period_s
        self._rng = rng or random.Random()
        self._owners = RendezvousOwners()
        self._wanted: Mapping[str, TargetView] = {}
        self._wanted_from: tuple[object, object] = (None, None)
        self._owned: frozenset[str] = frozenset()
        self._doubted: dict[str, float] = {}
        self._refused: set[str] = set()
        self._paused_at_s: float | None = None
        self.on_pause: Callable[[], None] = _ignore
        self.gossip = TargetGossip()
        self.polls = 0

    async def drive(self) -> None:
        """Ask for as long as the node lives."""
        loop = asyncio.get_running_loop()
        if loop.time() - self._board.targets_kept_at_s >= PAUSE_S:
            # Started again after a failure: what the others told meanwhile was missed.
            self.distrust_all()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch_clock())
            while True:
                await self.poll_once()
                await asyncio.sleep(self._period_s)

    async def poll_once(self) -> None:
        """Ask what is to be asked now and write what was said."""
        self._refresh_wanted()
        now_s = asyncio.get_running_loop().time()
        if is_target_section_stale(self._board.targets_kept_at_s, now_s):
            # This process stood still and missed what the others told.
            self.distrust_all()
        self._end_pause(now_s)
        asked = decide_polls(self._view(now_s), now_s)
        await asyncio.gather(*(self._ask(address) for address in asked))
        self._write([a for a in {*asked, *self.gossip.changed} if a in self._wanted])
        # The round's beginning: the process may have stood still in the middle of it.
        self._board.targets_kept_at_s = now_s

    def distrust_all(self) -> None:
        """Take every target out of use until it answers this node and the list is read.

        After a pause of this process what it knows is as old as the pause: a target
        may have begun to leave meanwhile, by its own word or by the host list, and
        must not get work from here.
        """
        self._paused_at_s = asyncio.get_running_loop().time()
        self.on_pause()
        for address, view in self._board.targets.items():
            if view.reachable:
                self._doubted[address] = 0.0
                self._refused.add(address)
                self._board.targets[address] = view._replace(reachable=False)

    def _end_pause(self, now_s: float) -> None:
        """Use targets again once the host list was read, or told by a peer, since.

        A node that nobody answers goes on with what it knows after a while: it would
        serve nobody else for as long as the list is out.
        """
        if self._paused_at_s is None:
            return
        read_since = self._board.listed_at_s >= self._paused_at_s
        if read_since or now_s - self._paused_at_s >= PAUSE_HELD_S:
            self._paused_at_s = None
            self._write(list(self._wanted))

    async def _watch_clock(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            before_s = loop.time()
            await asyncio.sleep(CLOCK_PERIOD_S)
            if loop.time() - before_s >= PAUSE_S:
                self.distrust_all()

    def owned(self) -> frozenset[str]:
        """Return the targets that this node asks for all the others."""
        return self._owned

    def note_refused(self, address: str) -> None:
        """Take a target out of use at once: it refused a connection of this node."""
        known = self._board.targets.get(address)
        if known is not None and known.reachable:
            self._doubted[address] = 0.0
            self._refused.add(address)
            self._board.targets[address] = known._replace(reachable=False)

    def load(self, message: Message, now_s: float) -> Message:
        """Put this part's news into a datagram to other nodes."""
        return self.gossip.load(message, now_s)

    def unload(self, message: Message, now_s: float) -> None:
        """Take in what another node tells of targets."""
        for row in message.targets:
            self._hear(row, now_s)
        self.gossip.unload_loads(message.loads, now_s)
        self._write([address for address in self.gossip.changed if address in self._wanted])

    def _hear(self, row: TargetRow, now_s: float) -> None:
        wanted = self._wanted.get(row.address)
        if wanted is None:
            return
        known = self.gossip.polled_targets.get(row.address)
        if known is not None and known.view.reachable and not row.reachable:
            # Another node's path may be at fault: believe only an own question.
            self._doubted.setdefault(row.address, 0.0)
            return
        if row.address in self._doubted and row.reachable:
            self._doubted[row.address] = min(self._doubted[row.address], now_s)
            return
        self.gossip.note(view_of_row(row, wanted, now_s), now_s - row.poll_age_ms / 1000.0, now_s)

    async def _ask(self, address: str) -> None:
        wanted = self._wanted[address]
        heard = self.gossip.polled_targets.get(address)
        known = heard.view if heard is not None else wanted
        asked_at_s = asyncio.get_running_loop().time()
        self.polls += 1
        view = await self._client.report(known, asked_at_s)
        if view.reachable:
            self._doubted.pop(address, None)
            self._refused.discard(address)
        else:
            jitter = 0.5 + self._rng.random()
            self._doubted[address] = asked_at_s + DOUBT_PERIOD_S * jitter
        if address in self._wanted:
            self.gossip.note(view, asked_at_s, asked_at_s, tell_first=address in self._owned)

    def _refresh_wanted(self) -> None:
        board = self._board
        if (board.config, board.listed_targets) != self._wanted_from:
            self._wanted_from = (board.config, board.listed_targets)
            self._wanted = wanted_targets(board)
            self.gossip.keep_only(self._wanted)
            for address in set(board.targets) - set(self._wanted):
                del board.targets[address]
            for address in set(self._doubted) - set(self._wanted):
                del self._doubted[address]
            self._refused &= set(self._wanted)
            self._write(list(self._wanted))
        staying = {m.node_id for m in board.live_members() if not m.leaving}
        if self._owners.update(staying, self._wanted):
            own_id = board.identity.node_id
            self._owned = frozenset(a for a in self._wanted if self._owners.owner(a) == own_id)

    def _view(self, now_s: float) -> WatchView:
        unheard: Sequence[str] = ()
        if len(self.gossip.polled_targets) < len(self._wanted):
            unheard = [
                address for address in self._wanted if address not in self.gossip.polled_targets
            ]
        silent = self.gossip.silent_since(now_s - silent_after_s(len(self._wanted)))
        return WatchView(self._owned, [*unheard, *silent], self._doubted)

    def _write(self, addresses: Sequence[str]) -> None:
        """Write rows of the section: what was heard, and who leaves by the host list."""
        board = self._board
        usable = self._paused_at_s is None
        now_s = asyncio.get_running_loop().time()
        for address in addresses:
            wanted = self._wanted[address]
            heard = self.gossip.polled_targets.get(address)
            view = heard.view if heard is not None else wanted
            listed = board.listed_targets.get(address)
            board.targets[address] = view._replace(
                service=wanted.service,
                zone=wanted.zone,
                leaving=view.leaving or (listed is not None and listed[2]),
                reachable=view.reachable and usable and address not in self._refused,
                heard_at_s=heard.polled_at_s if heard is not None else now_s,
            )
        self.gossip.changed.clear()


def _ignore() -> None:
    """Stand in until somebody wants to know of pauses."""


def wanted_targets(board: Blackboard) -> Mapping[str, TargetView]:
    """Return the targets that the text names or the host list shows."""
    services = board.config.services.services
    wanted = {
        address: TargetView(address, service, zone)
        for address, (service, zone, _leaving) in board.listed_targets.items()
        if service in services and not services[service].targets
    }
    for service in services.values():
        for target in service.targets:
            wanted[target.address] = TargetView(target.address, service.name, target.zone)
    return wanted
