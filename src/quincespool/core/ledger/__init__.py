"""Part of the reducer: what the streams of programs say: claims, groups, histories."""

from __future__ import annotations
