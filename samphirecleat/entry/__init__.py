"""HTTP handlers for the requests of callers, trainers and operators."""

from ._app import build_app
from ._callers import CallerHandlers
from ._node_report import build_node_report
from ._operators import OperatorHandlers
from ._trainers import TrainerHandlers

__all__ = [
    "CallerHandlers",
    "OperatorHandlers",
    "TrainerHandlers",
    "build_app",
    "build_node_report",
]
