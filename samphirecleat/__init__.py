"""Samphirecleat: a rollout service for reinforcement learning on live traffic."""

from typing import TYPE_CHECKING

from ._lazy_exports import lazy_exports
from .errors import ErrorKind, Ran, RequestError, RetryAt

if TYPE_CHECKING:
    from .node import Node
    from .settings import Settings, read_settings

__all__ = ["ErrorKind", "Node", "Ran", "RequestError", "RetryAt", "Settings", "read_settings"]

# Loaded lazily because the daemon of samphirecleat.platform has its own composition root and
# uses none of these names.
__getattr__ = lazy_exports(
    __name__, {"Node": "node", "Settings": "settings", "read_settings": "settings"}
)
