"""Samphirecleat: a rollout service for reinforcement learning on live traffic."""

from .errors import ErrorKind, Ran, RequestError, RetryAt
from .node import Node
from .settings import Settings, read_settings

__all__ = ["ErrorKind", "Node", "Ran", "RequestError", "RetryAt", "Settings", "read_settings"]
