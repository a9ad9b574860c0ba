"""Tests of accounts."""

from __future__ import annotations
