"""Tests of target polling and gossip."""
