"""Tests of `quincespool.platform`."""

from __future__ import annotations
