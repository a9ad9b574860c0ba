"""Tests of catalogue."""

from __future__ import annotations
