"""Tests of the detection of calls that crash their targets."""
