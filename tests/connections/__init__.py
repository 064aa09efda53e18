"""Tests of :mod:`samphirecleat.connections`."""
