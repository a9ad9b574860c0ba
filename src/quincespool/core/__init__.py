"""The pure part of a daemon: one reducer over all events, with effects as data."""

from __future__ import annotations
