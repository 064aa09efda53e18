"""The controllers: each decides purely, and a thin driver acts on what it decided."""

from .config_follow import ConfigFollower
from .config_reader import ConfigReader
from .discovery import Discovery
from .dispatcher import Dispatcher
from .leases import LeaseKeeper
from .limits import Limiter
from .membership import Membership
from .step_runner import StepRunner
from .target_watch import TargetWatch
from .weights import WeightCoordinator

__all__ = [
    "ConfigFollower",
    "ConfigReader",
    "Discovery",
    "Dispatcher",
    "LeaseKeeper",
    "Limiter",
    "Membership",
    "StepRunner",
    "TargetWatch",
    "WeightCoordinator",
]
