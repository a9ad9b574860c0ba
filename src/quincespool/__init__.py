"""A scheduler for agent programs: daemons between callers and backend servers."""

from __future__ import annotations

__version__ = "0.1.0"
