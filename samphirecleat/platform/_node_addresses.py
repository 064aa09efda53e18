"""The addresses of other nodes; all nodes use the same ports."""

from collections.abc import Sequence

from ..blackboard import Blackboard, Member
from ._boot_settings import BootSettings


def ready_members(board: Blackboard) -> Sequence[Member]:
    """Return the live nodes that serve callers, this one included."""
    return [m for m in board.live_members() if m.ready and not m.leaving]


def peer_control_addresses(board: Blackboard, settings: BootSettings) -> Sequence[str]:
    """Return the control addresses of the other live nodes."""
    port = settings.control_address.rpartition(":")[2]
    own = board.identity.incarnation
    return [
        f"{member.peer_address.rpartition(':')[0]}:{port}"
        for member in board.live_members()
        if member.incarnation != own and not member.leaving
    ]


def seed_peer_addresses(settings: BootSettings) -> Sequence[str]:
    """Return the peer addresses of the seed hosts, without this host."""
    port = settings.peer_ports[0]
    hosts = {seed.rpartition(":")[0] for seed in settings.seed_addresses}
    return [f"{host}:{port}" for host in sorted(hosts - {settings.ip_address})]
