"""The schema of the protocol between daemons."""

from __future__ import annotations
