"""Tests of logs, spans and metrics."""
