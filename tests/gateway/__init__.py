"""Tests of `quincespool.gateway`."""

from __future__ import annotations
