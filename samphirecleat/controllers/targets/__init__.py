"""What is known of each target: one node asks it, all are told."""

from ._target_news import TargetNews
from ._target_watch import TargetWatch, is_stale, is_unheard

__all__ = [
    "TargetNews",
    "TargetWatch",
    "is_stale",
    "is_unheard",
]
