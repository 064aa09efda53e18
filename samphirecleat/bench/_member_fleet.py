"""Many nodes in one process that run only the membership and the target watch.

Each node has its own blackboard and UDP socket on loopback, and the target watch piggybacks its
updates on heartbeats. Only the target client is replaced, by a stub without a socket.
"""

import asyncio
import random
import time
from collections.abc import Sequence

from ..blackboard import Blackboard, Identity, Member, TargetView
from ..config import ServiceKind, ServiceText, TargetAddress
from ..config._service_text import Service
from ..controllers.membership import Membership
from ..controllers.targets import TargetWatch
from ..observe import Observer
from ..peers import HeartbeatCodec
from ..settings import Timings

SHARED_KEY = "bench-only-shared-key"
REPORT_AGE_S = 0.2
POLL_INTERVAL_S = 0.02


class StubTargetClient:
    """A stub target client; each report has a random load."""

    def __init__(self, rng: random.Random) -> None:
        """Draw loads from ``rng``."""
        self._rng = rng

    async def fetch_report(self, target: TargetView, now_s: float) -> TargetView:
        """Return a report with a new load."""
        return target._replace(
            instance=f"{target.address}-instance-1",
            version=7,
            running=self._rng.randrange(8),
            waiting=self._rng.randrange(4),
            slots=8,
            reported_at_s=now_s - REPORT_AGE_S,
            reachable=True,
        )


class MemberNode:
    """One node's membership and target watch."""

    def __init__(self, index: int, seeds: Sequence[str], targets: int, timings: Timings) -> None:
        """Create node number ``index``; it joins through the peer addresses ``seeds``."""
        self._seeds = seeds
        self._timings = timings
        self._rng = random.Random(index)
        self.observer = Observer(f"node-{index}")
        self.board = Blackboard(Identity(f"node-{index}", f"{index:012x}", "zone-a", "", ""))
        self.board.config = self.board.config._replace(revision=1, services=_service_text(targets))
        self._started_at_ms = time.time_ns() // 1_000_000
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Bind a socket, then start both controllers."""
        loop = asyncio.get_running_loop()
        client = StubTargetClient(self._rng)
        self.watch = TargetWatch(
            self.board,
            client,  # type: ignore[arg-type]
            self._timings.watch_s,
            self._rng,
        )
        self.membership = Membership(
            self.board,
            HeartbeatCodec(SHARED_KEY),
            self.observer,
            self.own_row,
            seeds=self._seeds,
            heartbeat_s=self._timings.heartbeat_s,
            suspect_after_s=self._timings.suspect_after_s,
            rng=self._rng,
            piggyback_sources=[self.watch],
        )
        self._udp, _protocol = await loop.create_datagram_endpoint(
            lambda: self.membership, local_addr=("127.0.0.1", 0)
        )
        host, port = self._udp.get_extra_info("sockname")[:2]
        address = f"{host}:{port}"
        self.board.identity = self.board.identity._replace(
            peer_address=address, http_address=address
        )
        for drive in (self.membership.drive, self.watch.drive):
            self._tasks.append(loop.create_task(drive()))

    async def stop(self) -> None:
        """Stop without an announcement, as a killed process does."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._udp.close()

    def leave(self) -> None:
        """Announce that the node is leaving, as at the start of a drain."""
        self.board.leaving = True
        self.membership.announce()

    def own_row(self) -> Member:
        identity = self.board.identity
        return Member(
            node_id=identity.node_id,
            incarnation=identity.incarnation,
            started_at_ms=self._started_at_ms,
            zone=identity.zone,
            http_address=identity.http_address,
            peer_address=identity.peer_address,
            sequence=0,
            leaving=self.board.leaving,
            ready=self.board.ready,
            config_revision=self.board.config.revision,
            key_epoch=1,
            in_flight=self._rng.randrange(20),
        )


class MemberFleet:
    """Starts and stops many :class:`MemberNode`."""

    def __init__(
        self,
        count: int,
        targets: int,
        timings: Timings,
        *,
        first_index: int = 0,
        seeds: Sequence[str] = (),
        start_interval_s: float = 0.0,
    ) -> None:
        """Configure ``count`` nodes that share ``targets`` targets.

        ``first_index`` and ``seeds`` let several processes form one fleet. The nodes start
        ``start_interval_s`` after each other.
        """
        self._start_interval_s = start_interval_s
        self._first_index = first_index
        self._seeds = seeds
        self._count = count
        self._targets = targets
        self._timings = timings
        self.nodes: list[MemberNode] = []

    async def start(self) -> None:
        """Start the nodes one after another; each joins through ``seeds``."""
        for index in range(self._first_index, self._first_index + self._count):
            seeds = self._seeds or self.seeds
            node = MemberNode(index, seeds, self._targets, self._timings)
            await node.start()
            self.nodes.append(node)
            await asyncio.sleep(self._start_interval_s)

    @property
    def seeds(self) -> Sequence[str]:
        """The peer addresses of the first three nodes, through which others can join."""
        return [node.board.identity.peer_address for node in self.nodes[:3]]

    async def stop(self) -> None:
        """Stop the nodes that are still running."""
        for node in self.nodes:
            await node.stop()

    def has_converged(self) -> bool:
        """Whether every node considers as many members alive as nodes are running."""
        return all(len(node.board.live_members()) == len(self.nodes) for node in self.nodes)


def _service_text(targets: int) -> ServiceText:
    addresses = [TargetAddress(f"10.0.{i // 250}.{i % 250}:8000", "zone-a") for i in range(targets)]
    service = Service(
        name="engine",
        kind=ServiceKind.ENGINE,
        depends_on=(),
        targets=addresses,
        methods={},
        capacity_per_target=8,
        checks_fencing=True,
        refusal_is_not_run=True,
        staleness_bound=4,
        staleness_weight=0.5,
        max_swapping_share=0.5,
        caller_share=0.5,
    )
    return ServiceText({"engine": service}, {})
