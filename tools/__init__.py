"""Tools for developers; not part of the package."""
