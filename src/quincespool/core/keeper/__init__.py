"""Part of the reducer: attempts on the backend servers that this daemon holds."""

from __future__ import annotations
