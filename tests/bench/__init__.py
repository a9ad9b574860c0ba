"""Tests of `quincespool.bench`."""

from __future__ import annotations
