"""Tests of controllers.admission."""
