"""Tests of the queue of a service."""
