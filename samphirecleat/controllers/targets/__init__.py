"""Target state: each target is polled by one node, which informs the others."""

from ._target_gossip import TargetGossip
from ._target_watch import TargetWatch, is_target_report_expired, is_target_section_stale

__all__ = [
    "TargetGossip",
    "TargetWatch",
    "is_target_section_stale",
    "is_target_report_expired",
]
