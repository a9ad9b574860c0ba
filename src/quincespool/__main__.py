"""Runs the command line as `python -m quincespool`."""

from __future__ import annotations

from quincespool.cli.main import main

if __name__ == "__main__":
    main()
