"""A deployment in one process over loopback: stand-ins and real nodes."""

import random
import secrets
import time
from collections.abc import Sequence
from typing import Final

import aiohttp

from ..config import NO_REVISION, Publication, publication_payload
from ..controllers.policies import Policies
from ..platform import HttpLog
from ..settings import Settings, Timings
from ..standins import (
    HostRow,
    StandInEngine,
    StandInHostList,
    StandInLog,
    StandInPlainService,
    StandInScoring,
    StandInTarget,
    StandInWeightStore,
)
from ._addresses import AddressPool
from ._deployments import DeploymentShape, service_text
from ._faulty_node import FaultyNode
from ._records import Interval, NodeLifetime

TRIAL_TIMINGS = Timings(
    entry_ttl_s=1.0,
    heartbeat_s=0.2,
    suspect_after_s=1.2,
    watch_s=0.25,
    host_list_s=0.5,
    log_wait_s=1.0,
    lease_s=2.0,
    longest_order_s=1.0,
    progress_timeout_s=2.0,
)
MIN_UNCLAIMED_NODES: Final = 2
HOST_LIST_READ_DELAY_S: Final = 1.0


class Fleet:
    """The stand-ins and nodes of one deployment.

    ``node_lifetimes`` records every node that was started, ``log_outages`` and
    ``host_list_outages`` the intervals in which the log or the host list could not
    be read, and ``leaving_by_list`` the addresses of targets that only the host list
    reports as leaving.
    """

    def __init__(
        self,
        shape: DeploymentShape,
        node_count: int,
        seed: int,
        policies: Policies | None = None,
    ) -> None:
        """Create a fleet of ``node_count`` nodes spread over the zones; starts nothing."""
        # With a shared key per fleet, heartbeats cannot join two fleets on one machine when a
        # port released by one is reused by the other.
        self.shared_key = f"trial-{secrets.token_hex(12)}"
        self.policies = policies
        self.first_text = service_text(shape)
        self.shape = shape
        self.node_count = node_count
        self.seed = seed
        self.log = StandInLog()
        self.host_list = StandInHostList()
        self.store = StandInWeightStore()
        self.engines: list[StandInEngine] = []
        self.plain: list[StandInPlainService] = []
        self.scoring: list[StandInScoring] = []
        self.nodes: list[FaultyNode] = []
        self.node_lifetimes: list[NodeLifetime] = []
        self.log_outages: list[Interval] = []
        self.host_list_outages: list[Interval] = []
        self.leaving_by_list: set[str] = set()
        self._addresses = AddressPool()
        self._claimed: set[str] = set()
        self._started_count = 0

    async def start(self) -> None:
        """Start all stand-ins and nodes and publish the service text."""
        for platform in (self.log, self.host_list, self.store):
            await platform.start()
        await self._start_targets()
        await self._publish()
        for index in range(self.node_count):
            await self.start_node(f"n{index + 1}", self._zone(index))

    async def stop(self) -> None:
        """Stop all nodes and stand-ins."""
        for node in list(self.nodes):
            await node.stop()
        for target in self.targets:
            await target.stop()
        for platform in (self.log, self.host_list, self.store):
            await platform.stop()

    async def start_node(
        self, node_id: str, zone: str, replaced: FaultyNode | None = None
    ) -> FaultyNode:
        """Start a node, at the addresses of ``replaced`` if given."""
        self._started_count += 1
        http_address, peer_address = self._addresses.take(), self._addresses.take()
        if replaced is not None:
            http_address = replaced.settings.http_address
            peer_address = replaced.settings.peer_address
        settings = Settings(
            node_id=node_id,
            zone=zone,
            http_address=http_address,
            peer_address=peer_address,
            shared_key=self.shared_key,
            log_url=self.log.url,
            weight_store_url=self.store.url,
            host_list_url=self.host_list.url,
            seeds=[node.settings.peer_address for node in self.nodes[:3]],
            seed=self.seed + self._started_count,
            timings=TRIAL_TIMINGS,
        )
        node = FaultyNode(settings, self.policies)
        await node.start()
        self.nodes.append(node)
        self.node_lifetimes.append(
            NodeLifetime(node_id, node.board.identity.incarnation, http_address, time.monotonic())
        )
        self.host_list.put(HostRow(peer_address, "entry", zone))
        return node

    async def kill_node(self, node: FaultyNode) -> None:
        """Kill a node; the host list reports it until its lag has passed."""
        self._end_lifetime(node)
        await node.kill()
        self.host_list.remove(node.settings.peer_address)

    async def drain_node(self, node: FaultyNode) -> None:
        """Shut a node down gracefully and return when it has stopped."""
        lifetime = self.lifetime_of(node)
        lifetime.drain_started_at_s = time.monotonic()
        await node.drain()
        self._end_lifetime(node)
        await node.stop()
        self.host_list.remove(node.settings.peer_address)

    async def replace_node(self, old: FaultyNode, rng: random.Random) -> FaultyNode:
        """Start a replacement for a stopped node, at random at its or at new addresses."""
        zone = old.settings.zone
        if rng.random() < 0.5:
            return await self.start_node(old.settings.node_id, zone, old)
        return await self.start_node(f"n{self._started_count + 1}", zone)

    def lifetime_of(self, node: FaultyNode) -> NodeLifetime:
        """Return the lifetime record of a node."""
        incarnation = node.board.identity.incarnation
        return next(t for t in self.node_lifetimes if t.incarnation == incarnation)

    def claim_node(self, rng: random.Random) -> FaultyNode | None:
        """Claim a random unclaimed node for a fault.

        Returns None if at most ``MIN_UNCLAIMED_NODES`` are unclaimed.
        """
        unclaimed = [n for n in self.nodes if n.board.identity.incarnation not in self._claimed]
        if len(unclaimed) <= MIN_UNCLAIMED_NODES:
            return None
        node = rng.choice(unclaimed)
        self.claim(node)
        return node

    def claim(self, node: FaultyNode) -> bool:
        """Claim a node for a fault; return False if another fault has claimed it."""
        incarnation = node.board.identity.incarnation
        if incarnation in self._claimed:
            return False
        self._claimed.add(incarnation)
        return True

    def release_node(self, node: FaultyNode) -> None:
        """Release the claim on a node."""
        self._claimed.discard(node.board.identity.incarnation)

    def leaving_since_s(self, target: StandInTarget) -> float | None:
        """Return when a target was first reported as leaving, None if it is not.

        If the host list fails right after its first response that reports the target
        as leaving, other nodes may not have read it; the time is then the end of the
        outage.
        """
        if target.leaving_since_s is not None:
            return target.leaving_since_s
        if target.address not in self.leaving_by_list:
            return None
        listed_at_s = self.host_list.told_leaving_at_s.get(target.address)
        if listed_at_s is None:
            return None
        for outage in sorted(self.host_list_outages):
            if outage.start_s < listed_at_s + HOST_LIST_READ_DELAY_S and outage.end_s > listed_at_s:
                listed_at_s = outage.end_s
        return listed_at_s

    @property
    def targets(self) -> Sequence[StandInTarget]:
        """All stand-ins that nodes route requests to."""
        return [*self.engines, *self.plain, *self.scoring]

    @property
    def bootstrap(self) -> Sequence[str]:
        """HTTP addresses of all nodes, the initial entry list of clients."""
        return [node.settings.http_address for node in self.nodes]

    def _end_lifetime(self, node: FaultyNode) -> None:
        self.lifetime_of(node).ended_at_s = time.monotonic()
        self.nodes.remove(node)

    def _zone(self, index: int) -> str:
        return self.shape.zones[index % len(self.shape.zones)]

    async def _start_targets(self) -> None:
        shape = self.shape
        for index in range(shape.engine_count):
            engine = StandInEngine(shape.engine_service, self._zone(index), self.store.url)
            self.engines.append(engine)
        for index in range(shape.plain_count):
            self.plain.append(StandInPlainService(shape.plain_service, self._zone(index)))
        for index in range(2):
            self.scoring.append(StandInScoring("scoring", self._zone(index)))
        for target in self.targets:
            await target.start()
            row = HostRow(target.address, target.service, target.zone)
            self.host_list.put(row, at_once=True)

    async def _publish(self) -> None:
        publication = Publication("first", NO_REVISION, self.first_text, "trial")
        async with aiohttp.ClientSession() as session:
            await HttpLog(session, self.log.url).append("config", publication_payload(publication))
