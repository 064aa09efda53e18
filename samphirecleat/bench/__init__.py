"""Benches: each measures a decision against its simplest baseline."""
