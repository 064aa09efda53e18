"""The controllers: each decides purely, and a thin driver acts on what it decided.

One package for each matter; what changes one matter is all in one place.
"""
