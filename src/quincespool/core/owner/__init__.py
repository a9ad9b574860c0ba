"""Part of the reducer: the programs of the partitions that this daemon holds."""

from __future__ import annotations
