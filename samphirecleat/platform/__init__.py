"""Clients of the platform's log, host list and weight store."""

from ._host_list import HostListUnavailableError, HttpHostList, ListedHost
from ._log import Appended, AppendOutcome, HttpLog, Log, LogBatch, LogUnavailableError, ReadPatience
from ._weight_store import HttpWeightStore, StoreInfo, WeightStoreUnavailableError

__all__ = [
    "AppendOutcome",
    "Appended",
    "HostListUnavailableError",
    "HttpHostList",
    "HttpLog",
    "HttpWeightStore",
    "ListedHost",
    "Log",
    "LogBatch",
    "LogUnavailableError",
    "ReadPatience",
    "StoreInfo",
    "WeightStoreUnavailableError",
]
