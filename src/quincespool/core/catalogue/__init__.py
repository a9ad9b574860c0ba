"""Part of the reducer: the operators' catalogue: edits, checks, checkpoints."""

from __future__ import annotations
