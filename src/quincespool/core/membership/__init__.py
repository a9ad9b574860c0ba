"""Part of the reducer: who the daemons are: failure detection and gossip."""

from __future__ import annotations
