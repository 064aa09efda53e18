"""Weight rollout: coordinator leases, load scheduling and version verification."""

from ._coordinator import WeightCoordinator
from ._leases import LeaseManager
from ._streamed_versions import StreamedVersionTracker
from ._swaps import DEFAULT_SWAP_POLICY, AllAtOnce, OneByOne, StalenessWeightedSwaps, SwapPolicy
from ._version_forecast import VersionForecast

__all__ = [
    "AllAtOnce",
    "DEFAULT_SWAP_POLICY",
    "LeaseManager",
    "OneByOne",
    "StreamedVersionTracker",
    "SwapPolicy",
    "VersionForecast",
    "StalenessWeightedSwaps",
    "WeightCoordinator",
]
