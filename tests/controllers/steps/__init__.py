"""Tests of training steps."""
