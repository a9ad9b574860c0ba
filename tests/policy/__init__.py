"""Tests of the scheduling policies."""

from __future__ import annotations
