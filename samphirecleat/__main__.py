"""Lets ``python -m samphirecleat`` run the command line."""

from .cli import main

main()
