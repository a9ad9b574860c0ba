"""Measures the slopes behind docs/CAPACITY.md on one machine; no part of a daemon."""

from __future__ import annotations
