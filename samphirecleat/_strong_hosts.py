"""Classifies the hosts of a mixed fleet as strong or weak by their CPU capacity.

Work that would overload weak hosts is assigned to strong ones.
"""

from collections.abc import Iterable
from typing import Final

# A host with less than this share of the largest host's cores is weak.
STRONG_HOST_SHARE: Final = 0.6


def strong_host_min_cores(cores: Iterable[float]) -> float:
    """Return the number of cores from which a host counts as strong, 0.0 for no hosts."""
    return STRONG_HOST_SHARE * max(cores, default=0.0)
