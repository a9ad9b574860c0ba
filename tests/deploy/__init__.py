"""deploy of quincespool."""

from __future__ import annotations
