"""Tests of what passes between nodes."""
