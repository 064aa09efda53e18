"""Tests of the controllers."""
