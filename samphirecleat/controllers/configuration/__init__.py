"""The configuration in force at this node: read from the log, adopted from peers, restated."""

from ._config_follow import ConfigFollower
from ._config_reader import ConfigReader

__all__ = [
    "ConfigFollower",
    "ConfigReader",
]
