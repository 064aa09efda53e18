"""The controllers: each decides purely, and a thin driver acts on what it decided."""

from .config_follow import ConfigFollower
from .config_reader import ConfigReader
from .discovery import Discovery
from .dispatcher import Dispatcher
from .drain import Drain, longest_drain_s
from .leases import LeaseKeeper
from .limiter import Limiter
from .membership import Membership
from .policies import Policies
from .step_registry import StepRegistry
from .step_runner import StepRunner
from .target_watch import TargetWatch
from .weights import WeightCoordinator

__all__ = [
    "ConfigFollower",
    "ConfigReader",
    "Discovery",
    "Dispatcher",
    "Drain",
    "LeaseKeeper",
    "Limiter",
    "Membership",
    "Policies",
    "StepRegistry",
    "StepRunner",
    "TargetWatch",
    "WeightCoordinator",
    "longest_drain_s",
]
