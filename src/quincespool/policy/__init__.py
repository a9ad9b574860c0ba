"""Scheduling policies: which backend server runs a call, and in which order."""

from __future__ import annotations
