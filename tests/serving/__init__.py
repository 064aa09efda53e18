"""Tests of routing and forwarding."""
