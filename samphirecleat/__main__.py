"""Entry point of ``python -m samphirecleat``."""

from .cli import main

main()
