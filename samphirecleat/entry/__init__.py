"""What callers, trainers and operators meet over HTTP."""

from ._app import build_app
from ._callers import CallerEntry
from ._node_report import build_node_report
from ._operators import OperatorEntry
from ._trainers import TrainerEntry

__all__ = ["CallerEntry", "OperatorEntry", "TrainerEntry", "build_app", "build_node_report"]
