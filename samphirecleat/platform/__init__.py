"""The platform node, and clients of the platform's log, host list and weight store.

Only the clients are exported; the node runs as ``python -m samphirecleat.platform``.
"""

from ._host_list import HostListUnavailableError, HttpHostList, ListedHost
from ._log import (
    AdaptiveReadTimeout,
    AppendOutcome,
    AppendResult,
    HttpLog,
    Log,
    LogBatch,
    LogUnavailableError,
)
from ._weight_store import HttpWeightStore, StoreInfo, WeightStoreUnavailableError

__all__ = [
    "AppendOutcome",
    "AppendResult",
    "HostListUnavailableError",
    "HttpHostList",
    "HttpLog",
    "HttpWeightStore",
    "ListedHost",
    "Log",
    "LogBatch",
    "LogUnavailableError",
    "AdaptiveReadTimeout",
    "StoreInfo",
    "WeightStoreUnavailableError",
]
