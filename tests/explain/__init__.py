"""Tests of explaining logs."""
