"""Crowds of clients outside the limits, against processes of this system; run one at a time."""
