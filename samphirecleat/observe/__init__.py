"""Logs, traces and metrics."""

from ._observer import Observer

__all__ = ["Observer"]
