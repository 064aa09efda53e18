"""Tests of the weight rollout."""
