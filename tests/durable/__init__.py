"""Tests of the durable steps."""
