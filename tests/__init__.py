"""Tests of samphirecleat."""
