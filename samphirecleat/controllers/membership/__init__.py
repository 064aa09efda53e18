"""Which nodes live, which hosts are listed, and how this node leaves."""

from ._discovery import Discovery
from ._drain import Drain, longest_drain_s
from ._member_table import MemberTable
from ._membership import Membership

__all__ = [
    "Discovery",
    "Drain",
    "MemberTable",
    "Membership",
    "longest_drain_s",
]
