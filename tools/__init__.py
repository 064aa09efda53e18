"""Developer tools, not part of the installed package."""
