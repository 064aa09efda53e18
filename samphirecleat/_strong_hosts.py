"""Which hosts of a mixed fleet are strong, for work that the weak ones have no time for."""

from collections.abc import Iterable
from typing import Final

# A host with less than this share of the strongest one's processor time is weak.
STRONG_SHARE: Final = 0.6


def strong_host_min_cores(cores: Iterable[float]) -> float:
    """Return the processor time from which on a host is strong, 0.0 without any host."""
    return STRONG_SHARE * max(cores, default=0.0)
