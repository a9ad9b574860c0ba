"""Tests of quarantine."""

from __future__ import annotations
