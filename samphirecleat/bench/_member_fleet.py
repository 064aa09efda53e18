"""Many real membership drivers in one process, with the rest of a node left out.

Each node has its own blackboard, its own UDP socket on loopback, and the real
target watch and host list news riding along. Only the questions to targets are
answered here, by a stand-in for the target client without a socket.
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
REPORT_LAG_S = 0.2
POLL_S = 0.02


class CannedClient:
    """Answers for targets whose load changes all the time."""

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
            reported_at_s=now_s - REPORT_LAG_S,
            reachable=True,
        )


class MemberNode:
    """One node's membership and target watch."""

    def __init__(self, index: int, seeds: Sequence[str], targets: int, timings: Timings) -> None:
        """Prepare node number ``index``."""
        self._seeds = seeds
        self._timings = timings
        self._rng = random.Random(index)
        self.observer = Observer(f"node-{index}")
        self.board = Blackboard(Identity(f"node-{index}", f"{index:012x}", "zone-a", "", ""))
        self.board.config = self.board.config._replace(revision=1, services=_services(targets))
        self._started_at_ms = time.time_ns() // 1_000_000
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Bind a socket, then start both controllers."""
        loop = asyncio.get_running_loop()
        client = CannedClient(self._rng)
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
            self._own_row,
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
        """End without a word, as a killed process does."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._udp.close()

    def leave(self) -> None:
        """Begin to drain."""
        self.board.leaving = True
        self.membership.announce()

    def _own_row(self) -> Member:
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
        apart_s: float = 0.0,
    ) -> None:
        """Prepare ``count`` nodes that share ``targets`` targets.

        ``first_index`` and ``seeds`` let several processes form one fleet, whose
        nodes start ``apart_s`` after each other.
        """
        self._apart_s = apart_s
        self._first_index = first_index
        self._seeds = seeds
        self._count = count
        self._targets = targets
        self._timings = timings
        self.nodes: list[MemberNode] = []

    async def start(self) -> None:
        """Start the nodes; each knows the first three."""
        for index in range(self._first_index, self._first_index + self._count):
            seeds = self._seeds or self.seeds
            node = MemberNode(index, seeds, self._targets, self._timings)
            await node.start()
            self.nodes.append(node)
            await asyncio.sleep(self._apart_s)

    @property
    def seeds(self) -> Sequence[str]:
        """The addresses through which others can join."""
        return [node.board.identity.peer_address for node in self.nodes[:3]]

    async def stop(self) -> None:
        """Stop the nodes that still run."""
        for node in self.nodes:
            await node.stop()

    def agrees(self) -> bool:
        """Whether every node takes exactly the running nodes for alive."""
        return all(len(node.board.live_members()) == len(self.nodes) for node in self.nodes)


def _services(targets: int) -> ServiceText:
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
