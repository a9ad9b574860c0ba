"""Sockets and codecs: what carries events in and effects out."""

from __future__ import annotations
