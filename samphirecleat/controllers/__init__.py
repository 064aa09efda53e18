"""The controllers: pure decision functions, and thin drivers that apply the decisions.

Each concern has a package of its own.
"""
