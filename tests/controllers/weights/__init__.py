"""Tests of controllers.weights."""
