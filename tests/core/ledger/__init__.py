"""Tests of ledger."""

from __future__ import annotations
