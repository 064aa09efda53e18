"""New weights: who may order, which targets load next, what they really run."""

from ._coordinator import WeightCoordinator
from ._leases import LeaseManager
from ._streamed_versions import StreamedVersions
from ._swaps import DEFAULT_SWAP_POLICY, AllAtOnce, OneByOne, StalenessWeightedSwaps, SwapPolicy
from ._version_outlook import VersionOutlook

__all__ = [
    "AllAtOnce",
    "DEFAULT_SWAP_POLICY",
    "LeaseManager",
    "OneByOne",
    "StreamedVersions",
    "SwapPolicy",
    "VersionOutlook",
    "StalenessWeightedSwaps",
    "WeightCoordinator",
]
