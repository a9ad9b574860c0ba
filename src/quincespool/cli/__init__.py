"""The command line, one console command a module."""

from __future__ import annotations
