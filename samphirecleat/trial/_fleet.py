"""A whole deployment in one process over loopback: stand-ins and real nodes."""

import socket
from collections.abc import Sequence

import aiohttp

from ..config import NO_REVISION, Publication, publication_payload
from ..controllers import Policies
from ..node import Node
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
from ._deployments import DeploymentShape, service_text

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
TRIAL_SHARED_KEY = "trial-only-shared-key"


class Fleet:
    """Stand-ins and nodes of one deployment; :meth:`start` and :meth:`stop` them."""

    def __init__(
        self,
        shape: DeploymentShape,
        node_count: int,
        seed: int,
        policies: Policies | None = None,
    ) -> None:
        """Prepare a fleet of ``node_count`` nodes spread over the zones."""
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
        self.nodes: list[Node] = []

    async def start(self) -> None:
        """Start everything and publish the deployment's service text."""
        for platform in (self.log, self.host_list, self.store):
            await platform.start()
        await self._start_targets()
        await self._publish()
        for index in range(self.node_count):
            await self.start_node(f"n{index + 1}", self._zone(index))

    async def stop(self) -> None:
        """Stop everything."""
        for node in self.nodes:
            await node.stop()
        for target in self.targets:
            await target.stop()
        for platform in (self.log, self.host_list, self.store):
            await platform.stop()

    async def start_node(self, node_id: str, zone: str) -> Node:
        """Start one more node; its incarnation is its own."""
        settings = Settings(
            node_id=node_id,
            zone=zone,
            http_address=f"127.0.0.1:{free_port()}",
            peer_address=f"127.0.0.1:{free_port()}",
            shared_key=TRIAL_SHARED_KEY,
            log_url=self.log.url,
            weight_store_url=self.store.url,
            host_list_url=self.host_list.url,
            seeds=[node.settings.peer_address for node in self.nodes[:3]],
            seed=self.seed + len(self.nodes) + 1,
            timings=TRIAL_TIMINGS,
        )
        node = Node(settings, self.policies)
        await node.start()
        self.nodes.append(node)
        self.host_list.put(HostRow(settings.peer_address, "entry", zone))
        return node

    @property
    def targets(self) -> Sequence[StandInTarget]:
        """All stand-ins that nodes route to."""
        return [*self.engines, *self.plain, *self.scoring]

    @property
    def bootstrap(self) -> Sequence[str]:
        """The HTTP addresses of all nodes, for clients to start from."""
        return [node.settings.http_address for node in self.nodes]

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


def free_port() -> int:
    """Return a port that is free for both TCP and UDP now."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        udp.bind(("127.0.0.1", 0))
        port = int(udp.getsockname()[1])
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp:
            try:
                tcp.bind(("127.0.0.1", port))
            except OSError:
                return free_port()
    return port
