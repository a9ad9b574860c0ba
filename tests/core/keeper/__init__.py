"""Tests of keeper."""

from __future__ import annotations
