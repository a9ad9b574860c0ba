"""What one daemon sees of the engines: exact but up to 200 ms old, and reports that lag."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.policy.protocol import BackendView
from quincespool.stable_hash import stable_hash

if TYPE_CHECKING:
    from quincespool.policy.experiment.engine import Engine

SUMMARY_MS = 200
GAP_IN = 10
"""One in so many cache events is lost; the belief stays wrong until the program's next call."""


class Watcher:
    """One daemon's view: keepers' summaries, what it sent since, and where it believes prefixes."""

    def __init__(self, engines: dict[str, Engine]) -> None:
        self._engines = engines
        self._views: list[BackendView] = []
        self._views_at_ms = -SUMMARY_MS
        self._reported: dict[str, int] = {}
        self._next_report: dict[str, int] = {}
        self._cached: dict[str, dict[str, int]] = {}

    def report(self) -> None:
        """Makes the last report visible and takes a new one, so that reports lag by one tick."""
        self._reported = self._next_report
        self._next_report = {
            name: len(engine.running) + engine.waiting for name, engine in self._engines.items()
        }

    def views(self, program_id: str, *, now_ms: int) -> list[BackendView]:
        """Returns a view of each engine alive, for a call of this program."""
        if now_ms - self._views_at_ms >= SUMMARY_MS:
            self._refresh(now_ms)
        cached = self._cached.get(program_id)
        if not cached:
            return self._views
        return [
            view._replace(cached_tokens=cached[view.name]) if view.name in cached else view
            for view in self._views
        ]

    def note_sent(self, name: str, tokens: int, *, live_tokens: int) -> None:
        """Adds a call that this daemon has sent since the last summary."""
        for index, view in enumerate(self._views):
            if view.name != name:
                continue
            has_slot = view.running < view.slots
            self._views = list(self._views)
            self._views[index] = view._replace(
                running=view.running + has_slot,
                waiting=view.waiting + (not has_slot),
                waiting_tokens=view.waiting_tokens + tokens,
                live_tokens=view.live_tokens + live_tokens,
            )

    def note_cached(self, program_id: str, name: str, tokens: int) -> None:
        """Learns from a finished call, or an order, what an engine holds of a program."""
        self._cached.setdefault(program_id, {})[name] = tokens

    def hear_evicted(self, program_id: str, name: str) -> None:
        """Takes a late cache event, unless it falls into a gap."""
        cached = self._cached.get(program_id)
        if cached is None or name not in cached:
            return
        if stable_hash(f"{program_id}|{name}|{cached[name]}") % GAP_IN:
            del cached[name]

    def _refresh(self, now_ms: int) -> None:
        self._views_at_ms = now_ms
        self._views = [
            BackendView(
                name=engine.name,
                zone=engine.zone,
                slots=engine.shape.slots,
                running=len(engine.running),
                waiting=engine.waiting,
                waiting_tokens=engine.waiting_tokens,
                reported_running=self._reported.get(engine.name, -1),
                summary_age_ms=0,
                cached_tokens=0,
                live_tokens=engine.live_tokens,
                capacity_tokens=engine.shape.cache_tokens,
            )
            for engine in self._engines.values()
            if engine.alive
        ]
