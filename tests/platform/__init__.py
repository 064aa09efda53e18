"""Tests of the platform's clients, documents and nodes."""
