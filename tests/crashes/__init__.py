"""Tests of what keeps a call from ending one target after another."""
