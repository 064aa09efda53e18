"""Maintains the target section: one node polls each target and informs the others."""

import asyncio
import random
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Final, NamedTuple

from ...blackboard import Blackboard, TargetView
from ...peers import Message, RendezvousOwners, TargetRow
from ...targets import TargetClient
from ._target_gossip import TargetGossip, view_from_row

SILENT_AFTER_S: Final = 1.5
SILENT_PER_TARGET_S: Final = 1.0 / 30.0
MAX_SILENT_POLLS: Final = 20
SUSPECT_RETRY_S: Final = 5.0
MAX_SUSPECT_POLLS: Final = 60
PAUSE_CHECK_PERIOD_S: Final = 0.2
PAUSE_THRESHOLD_S: Final = 1.5
PAUSE_RECOVERY_TIMEOUT_S: Final = 5.0
REPORT_EXPIRY_MARGIN_S: Final = 0.8
SECTION_STALE_AFTER_S: Final = 2.8


class PollView(NamedTuple):
    """The inputs to one round of polls.

    ``owned`` are the targets that this node polls for all nodes. ``silent`` are those
    without a report for too long, the oldest report first. ``suspected`` are those that may
    be unreachable, with the time of the next poll.
    """

    owned: Collection[str]
    silent: Sequence[str]
    suspected: Mapping[str, float]


def decide_polls(view: PollView, now_s: float) -> Sequence[str]:
    """Return the targets that this node polls now.

    It polls its own targets each time, and others only if they are silent or suspected. The
    number of those is limited, so that not all nodes poll every target at once after a
    general silence.
    """
    due = dict.fromkeys(view.owned)
    suspected = [address for address, retry_at_s in view.suspected.items() if now_s >= retry_at_s]
    due.update(dict.fromkeys(suspected[:MAX_SUSPECT_POLLS]))
    silent = [a for a in view.silent if a not in due and a not in view.suspected]
    return [*due, *silent[:MAX_SILENT_POLLS]]


def silent_after_s(target_count: int) -> float:
    """Return how long a target may go without a report while its owner polls it.

    Each datagram carries a fixed number of targets, so reports of more targets take longer
    to spread.
    """
    return SILENT_AFTER_S + SILENT_PER_TARGET_S * target_count


def is_target_section_stale(updated_at_s: float, now_s: float) -> bool:
    """Return whether the target section is too old to dispatch new work by.

    A process that was paused, or whose event loop is blocked, holds a view from before. It
    would send work to a target that has reported leaving in the meantime, and the target's
    operator would see it receive work for longer than a few seconds.
    """
    return now_s - updated_at_s > SECTION_STALE_AFTER_S


def is_target_report_expired(target: TargetView, target_count: int, now_s: float) -> bool:
    """Return whether a target's last report is too old to send it new work.

    While this process runs, the target's owner, or else this node, polls the target sooner
    than that. A process that was paused may have missed, before the pause, that the owner
    had stopped too.
    """
    return now_s - target.heard_at_s > silent_after_s(target_count) + REPORT_EXPIRY_MARGIN_S


class TargetWatch:
    """Polls targets and exchanges the results in the membership datagrams."""

    def __init__(
        self,
        board: Blackboard,
        client: TargetClient,
        period_s: float,
        rng: random.Random | None = None,
    ) -> None:
        """Poll the targets that this node owns every ``period_s``."""
        self._board = board
        self._client = client
        self._period_s = period_s
        self._rng = rng or random.Random()
        self._owners = RendezvousOwners()
        self._service_targets: Mapping[str, TargetView] = {}
        self._service_targets_source: tuple[object, object] = (None, None)
        self._owned: frozenset[str] = frozenset()
        self._suspected: dict[str, float] = {}
        self._unusable: set[str] = set()
        self._paused_at_s: float | None = None
        self.on_pause: Callable[[], None] = _do_nothing
        self.gossip = TargetGossip()
        self.polls = 0

    async def drive(self) -> None:
        """Poll until cancelled."""
        loop = asyncio.get_running_loop()
        if loop.time() - self._board.targets_polled_at_s >= PAUSE_THRESHOLD_S:
            # Restarted after a failure: gossip from other nodes was missed in the meantime.
            self.mark_all_unreachable()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._detect_pauses())
            while True:
                await self.poll_once()
                await asyncio.sleep(self._period_s)

    async def poll_once(self) -> None:
        """Poll the targets that are due and write the results to the target section."""
        self._refresh_service_targets()
        now_s = asyncio.get_running_loop().time()
        if is_target_section_stale(self._board.targets_polled_at_s, now_s):
            # This process was paused and missed gossip from other nodes.
            self.mark_all_unreachable()
        self._end_pause(now_s)
        due = decide_polls(self._poll_view(now_s), now_s)
        await asyncio.gather(*(self._poll(address) for address in due))
        self._write_section([a for a in {*due, *self.gossip.changed} if a in self._service_targets])
        # The start of the round, since the process may have been paused during it.
        self._board.targets_polled_at_s = now_s

    def mark_all_unreachable(self) -> None:
        """Take every target out of use until it answers this node and the host list is read.

        After a pause this node's state is as old as the pause. A target may have begun to
        leave meanwhile, by its own report or by the host list, and must not get work from
        this node.
        """
        self._paused_at_s = asyncio.get_running_loop().time()
        self.on_pause()
        for address, view in self._board.targets.items():
            if view.reachable:
                self._suspected[address] = 0.0
                self._unusable.add(address)
                self._board.targets[address] = view._replace(reachable=False)

    def _end_pause(self, now_s: float) -> None:
        """Use targets again once the host list was read after the pause, here or by a peer.

        Without any read, targets are used again after ``PAUSE_RECOVERY_TIMEOUT_S``.
        Otherwise this node would serve no requests for as long as the host list is
        unavailable.
        """
        if self._paused_at_s is None:
            return
        read_since = self._board.listed_at_s >= self._paused_at_s
        if read_since or now_s - self._paused_at_s >= PAUSE_RECOVERY_TIMEOUT_S:
            self._paused_at_s = None
            self._write_section(list(self._service_targets))

    async def _detect_pauses(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            before_s = loop.time()
            await asyncio.sleep(PAUSE_CHECK_PERIOD_S)
            if loop.time() - before_s >= PAUSE_THRESHOLD_S:
                self.mark_all_unreachable()

    def owned(self) -> frozenset[str]:
        """Return the targets that this node polls for all nodes."""
        return self._owned

    def record_refusal(self, address: str) -> None:
        """Take a target that refused a connection of this node out of use until it answers."""
        known = self._board.targets.get(address)
        if known is not None and known.reachable:
            self._suspected[address] = 0.0
            self._unusable.add(address)
            self._board.targets[address] = known._replace(reachable=False)

    def add_updates(self, message: Message, now_s: float) -> Message:
        """Return the message to other nodes with target rows and loads added."""
        return self.gossip.add_updates(message, now_s)

    def apply_updates(self, message: Message, now_s: float) -> None:
        """Merge the target rows and loads of a message from another node."""
        for row in message.targets:
            self._merge_row(row, now_s)
        self.gossip.apply_loads(message.loads, now_s)
        self._write_section(
            [address for address in self.gossip.changed if address in self._service_targets]
        )

    def _merge_row(self, row: TargetRow, now_s: float) -> None:
        configured = self._service_targets.get(row.address)
        if configured is None:
            return
        known = self.gossip.polled_targets.get(row.address)
        if known is not None and known.view.reachable and not row.reachable:
            # The other node's network path may be at fault, so verify with a poll.
            self._suspected.setdefault(row.address, 0.0)
            return
        if row.address in self._suspected and row.reachable:
            self._suspected[row.address] = min(self._suspected[row.address], now_s)
            return
        self.gossip.record_report(
            view_from_row(row, configured, now_s), now_s - row.poll_age_ms / 1000.0, now_s
        )

    async def _poll(self, address: str) -> None:
        configured = self._service_targets[address]
        polled = self.gossip.polled_targets.get(address)
        known = polled.view if polled is not None else configured
        polled_at_s = asyncio.get_running_loop().time()
        self.polls += 1
        view = await self._client.fetch_report(known, polled_at_s)
        if view.reachable:
            self._suspected.pop(address, None)
            self._unusable.discard(address)
        else:
            jitter = 0.5 + self._rng.random()
            self._suspected[address] = polled_at_s + SUSPECT_RETRY_S * jitter
        if address in self._service_targets:
            self.gossip.record_report(
                view, polled_at_s, polled_at_s, announce_new=address in self._owned
            )

    def _refresh_service_targets(self) -> None:
        board = self._board
        if (board.config, board.listed_targets) != self._service_targets_source:
            self._service_targets_source = (board.config, board.listed_targets)
            self._service_targets = find_service_targets(board)
            self.gossip.retain_only(self._service_targets)
            for address in set(board.targets) - set(self._service_targets):
                del board.targets[address]
            for address in set(self._suspected) - set(self._service_targets):
                del self._suspected[address]
            self._unusable &= set(self._service_targets)
            self._write_section(list(self._service_targets))
        staying = {m.node_id for m in board.live_members() if not m.leaving}
        if self._owners.update(staying, self._service_targets):
            own_id = board.identity.node_id
            self._owned = frozenset(
                a for a in self._service_targets if self._owners.owner(a) == own_id
            )

    def _poll_view(self, now_s: float) -> PollView:
        never_polled: Sequence[str] = ()
        if len(self.gossip.polled_targets) < len(self._service_targets):
            never_polled = [
                address
                for address in self._service_targets
                if address not in self.gossip.polled_targets
            ]
        silent = self.gossip.not_polled_since(now_s - silent_after_s(len(self._service_targets)))
        return PollView(self._owned, [*never_polled, *silent], self._suspected)

    def _write_section(self, addresses: Sequence[str]) -> None:
        """Write targets to the blackboard's target section.

        A target is leaving if it reports so or if the host list says so.
        """
        board = self._board
        usable = self._paused_at_s is None
        now_s = asyncio.get_running_loop().time()
        for address in addresses:
            configured = self._service_targets[address]
            polled = self.gossip.polled_targets.get(address)
            view = polled.view if polled is not None else configured
            listed = board.listed_targets.get(address)
            board.targets[address] = view._replace(
                service=configured.service,
                zone=configured.zone,
                leaving=view.leaving or (listed is not None and listed[2]),
                reachable=view.reachable and usable and address not in self._unusable,
                heard_at_s=polled.polled_at_s if polled is not None else now_s,
            )
        self.gossip.changed.clear()


def _do_nothing() -> None:
    """Default ``on_pause`` callback."""


def find_service_targets(board: Blackboard) -> Mapping[str, TargetView]:
    """Return the targets that the service text names or the host list shows, by address."""
    services = board.config.services.services
    configured = {
        address: TargetView(address, service, zone)
        for address, (service, zone, _leaving) in board.listed_targets.items()
        if service in services and not services[service].targets
    }
    for service in services.values():
        for target in service.targets:
            configured[target.address] = TargetView(target.address, service.name, target.zone)
    return configured
