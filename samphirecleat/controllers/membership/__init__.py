"""Cluster membership, the host list, and draining of this node."""

from typing import TYPE_CHECKING

from ..._lazy_exports import lazy_exports
from ._member_table import MemberTable
from ._membership import Membership

if TYPE_CHECKING:
    from ._discovery import Discovery
    from ._drain import Drain, max_drain_s

__all__ = [
    "Discovery",
    "Drain",
    "MemberTable",
    "Membership",
    "max_drain_s",
]

# Imported lazily: a process that only exchanges heartbeats needs neither the settings
# nor the host list.
__getattr__ = lazy_exports(
    __name__, {"Discovery": "_discovery", "Drain": "_drain", "max_drain_s": "_drain"}
)
