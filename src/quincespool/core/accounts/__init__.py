"""Part of the reducer: the limits of client accounts, shared among the daemons."""

from __future__ import annotations
