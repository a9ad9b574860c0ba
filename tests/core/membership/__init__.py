"""Tests of membership."""

from __future__ import annotations
