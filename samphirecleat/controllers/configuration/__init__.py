"""The text in force at this node: read from the log, taken over from peers, stated again."""

from ._config_follow import ConfigFollower
from ._config_reader import ConfigReader

__all__ = [
    "ConfigFollower",
    "ConfigReader",
]
