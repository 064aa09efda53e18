"""Tests of controllers.targets."""
