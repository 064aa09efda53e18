"""Tests of serving by routes."""
