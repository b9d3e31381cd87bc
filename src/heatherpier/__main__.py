"""Runs the command line as ``python -m heatherpier``."""

from heatherpier._cli import main

main()
