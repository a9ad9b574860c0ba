"""Part of the reducer: requests that crash backend servers."""

from __future__ import annotations
