"""The known backend servers with their load and health, and the choice of one for a call."""

from __future__ import annotations

import random
from enum import StrEnum
from typing import TYPE_CHECKING

from quincespool.newest_entries import put_newest
from quincespool.policy.engine_speeds import EngineSpeeds
from quincespool.policy.engine_speeds import SpeedSample
from quincespool.policy.outliers import OwnFailures
from quincespool.policy.outliers import SharedFailures
from quincespool.policy.placement import Candidate
from quincespool.policy.placement import place
from quincespool.policy.recent_reports import RecentReports
from quincespool.policy.service_times import BackendLatencies
from quincespool.policy.service_times import ServiceTimes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quincespool.gateway.model import BackendEntry
    from quincespool.gateway.model import BackendIncarnation

# Largest share of a service's backend servers that is ejected at once: if more seem to fail, the
# fault is likely on this daemon's side.
MAX_EJECTED_SHARE = 0.5
# Most ids whose last start is remembered, the most recently updated ones: a few times the engines
# of the largest planned installation.
MAX_REMEMBERED_STARTS = 50_000


class EntryChange(StrEnum):
    """The change that an entry makes to the table.

    Attributes:
      UNCHANGED: No change that affects calls.
      CHANGED: The backend server is new, leaves, or has another address.
      NEW_INCARNATION: The backend server has started again with the same id.
      STALE: The entry is ignored: it is of an earlier incarnation, or the backend server did not
        write it.
    """

    UNCHANGED = "nothing"
    CHANGED = "changed"
    NEW_INCARNATION = "new_life"
    STALE = "stale"


class BackendTable:
    """The backend servers known to one daemon.

    Attributes:
      entries: Entries of the backend servers that may be used, by id.
      in_flight: Number of this daemon's calls in progress, by id.
      service_times: Usual durations of answers, by service.
    """

    def __init__(self, *, zone: str, seed: int) -> None:
        self.entries: dict[str, BackendEntry] = {}
        self.in_flight: dict[str, int] = {}
        self.service_times = ServiceTimes()
        self._zone = zone
        self._random = random.Random(seed)
        self._grace_until_ms: dict[str, int] = {}
        self._own_failures = OwnFailures()
        self._shared_failures = SharedFailures()
        self._late_reports = RecentReports()
        self._latencies = BackendLatencies()
        self._speeds = EngineSpeeds()
        # Includes ids that were removed: an entry of an earlier incarnation may arrive late.
        self._last_start_ms: dict[str, int] = {}

    def put(self, entry: BackendEntry) -> EntryChange:
        """Adds or replaces an entry; returns the change that this makes.

        Entries may arrive late, twice, or from an earlier incarnation; an entry of an earlier start
        never replaces one of a later start. All statistics of the earlier incarnation are dropped:
        otherwise calls would be sent to a cache that no longer exists, or be kept away from a
        healthy process.
        """
        backend_id = entry.backend_id
        last_start_ms = self._last_start_ms.get(backend_id)
        if last_start_ms is not None and entry.born_ms is None:
            # The backend server did not write this entry: its own entries state when it started.
            self._forget(backend_id)
            return EntryChange.STALE
        if (
            last_start_ms is not None
            and entry.born_ms is not None
            and entry.born_ms < last_start_ms
        ):
            return EntryChange.STALE
        self._grace_until_ms.pop(backend_id, None)
        known = self.entries.get(backend_id)
        is_new_incarnation = last_start_ms is not None and entry.born_ms != last_start_ms
        if is_new_incarnation:
            self._forget(backend_id)
        if entry.born_ms is not None:
            put_newest(self._last_start_ms, backend_id, entry.born_ms, most=MAX_REMEMBERED_STARTS)
        self.entries[backend_id] = entry
        if is_new_incarnation:
            return EntryChange.NEW_INCARNATION
        if known is None or known.leaving != entry.leaving or known.address != entry.address:
            return EntryChange.CHANGED
        return EntryChange.UNCHANGED

    def discard(self, backend_id: str) -> None:
        """Removes a backend server at once, because the entry under its key can't be parsed."""
        self._forget(backend_id)

    def remove(self, backend_id: str, *, now_ms: int, grace_until_ms: int) -> None:
        """Handles the removal of an entry from the store.

        Args:
          backend_id: The id of the entry.
          now_ms: Steady clock.
          grace_until_ms: Time until which entries that expired while the store was unavailable are
            written again; until then the backend server is still used. An entry that is removed
            later has not expired: its backend server leaves and serves for a short time only.
        """
        if backend_id not in self.entries:
            return
        if now_ms < grace_until_ms:
            self._grace_until_ms.setdefault(backend_id, grace_until_ms)
            return
        self._forget(backend_id)

    def retain(self, backend_ids: Iterable[str], *, now_ms: int, grace_until_ms: int) -> None:
        """Removes all entries except those of the given ids, which are all ids in the store."""
        kept = set(backend_ids)
        for backend_id in [one for one in self.entries if one not in kept]:
            self.remove(backend_id, now_ms=now_ms, grace_until_ms=grace_until_ms)

    def expire_missing(self, now_ms: int) -> list[str]:
        """Removes entries that are still missing after their grace period; returns their ids."""
        expired = [one for one, until_ms in self._grace_until_ms.items() if until_ms <= now_ms]
        for backend_id in expired:
            self._forget(backend_id)
        return expired

    def record_call_start(self, backend_id: str) -> None:
        """Counts a call that is about to be sent."""
        self.in_flight[backend_id] = self.in_flight.get(backend_id, 0) + 1

    def record_call_end(self, backend_id: str) -> None:
        """Counts a call that has ended."""
        left = self.in_flight.get(backend_id, 0) - 1
        if left > 0:
            self.in_flight[backend_id] = left
        else:
            self.in_flight.pop(backend_id, None)

    def record_first_event(self, entry: BackendEntry, took_ms: float, now_ms: int) -> None:
        """Records the milliseconds from sending a call to the beginning of its answer."""
        self._latencies.observe(entry.backend_id, took_ms, now_ms)
        self.service_times.observe_first_byte(entry.service, took_ms)

    def record_stream(self, entry: BackendEntry, events: int, took_ms: float) -> None:
        """Records the milliseconds from the first to the last event of a complete stream."""
        if events > 1:
            answer = SpeedSample(entry.backend_id, took_ms / (events - 1))
            self._speeds.observe(entry.service, answer)

    def take_speed_to_announce(self) -> SpeedSample | None:
        """Returns an engine speed to send to the other daemons; None if none is due.

        Each speed is returned only once.
        """
        return self._speeds.take_reportable()

    def record_reported_speed(self, answer: SpeedSample) -> None:
        """Records an engine speed that another daemon has sent."""
        if answer.backend_id in self.entries:
            self._speeds.add_sample(answer)

    def slowness_by_engine(self) -> dict[str, float]:
        """Returns each engine's time per event as a ratio to the usual time, for dumps."""
        return {
            one.backend_id: round(self._speeds.slowness(one.service, one.backend_id), 2)
            for one in self.entries.values()
        }

    def record_success(self, entry: BackendEntry, took_ms: float) -> None:
        """Records a successful answer and the milliseconds from sending the call to its end."""
        self._own_failures.record_success(entry.backend_id)
        self.service_times.observe_total(entry.service, took_ms)

    def record_failure(self, backend_id: str, now_ms: int, *, unreachable: bool = False) -> bool:
        """Records a failure; returns whether it ejects the backend server."""
        return self._own_failures.record_failure(backend_id, now_ms, unreachable=unreachable)

    def should_report_failure(self, backend_id: str, reporter: str, now_ms: int) -> bool:
        """Returns whether the other daemons would count one more report of this daemon."""
        return self._shared_failures.should_report(backend_id, reporter, now_ms)

    def record_reported_failure(
        self, incarnation: BackendIncarnation, reporter: str, now_ms: int
    ) -> int | None:
        """Records that a call of a daemon, this one or another, failed at a backend server.

        Returns:
          The milliseconds for which this failure ejects the backend server; None if it does not.
        """
        entry = self._find_entry(incarnation)
        if entry is None:
            return None
        group = [one.backend_id for one in self.entries.values() if one.service == entry.service]
        return self._shared_failures.record_report(
            incarnation.backend_id, reporter, group=group, now_ms=now_ms
        )

    def record_overdue(
        self, incarnation: BackendIncarnation, reporter: str, late_ms: int, now_ms: int
    ) -> bool:
        """Records that an answer to a daemon, this one or another, has not begun in time.

        The delay counts as a long latency, not as a failure: if all daemons ejected slow backend
        servers at once, the remaining ones would be overloaded and ejected next, and so on.

        Args:
          incarnation: The incarnation of the backend server.
          reporter: The id of the daemon.
          late_ms: Milliseconds since the call was sent.
          now_ms: Steady clock.

        Returns:
          Whether the delay was counted; if so, the other daemons need a report of it too.
        """
        if self._find_entry(incarnation) is None:
            return False
        if not self._late_reports.has_room(incarnation.backend_id, reporter, now_ms):
            return False
        self._late_reports.add(incarnation.backend_id, reporter, now_ms)
        self._latencies.observe(incarnation.backend_id, late_ms, now_ms)
        return True

    def accepts_calls(self, incarnation: BackendIncarnation) -> bool:
        """Returns whether an incarnation is known and not leaving."""
        entry = self._find_entry(incarnation)
        return entry is not None and not entry.leaving

    def latency_ms(self, backend_id: str) -> float:
        """Returns the mean milliseconds to the start of recent answers; 0 if there are none."""
        return self._latencies.mean_ms(backend_id)

    def choose(
        self,
        service: str,
        *,
        now_ms: int,
        exclude: frozenset[str] = frozenset(),
        prefer: BackendIncarnation | None = None,
        connected: frozenset[str] = frozenset(),
    ) -> BackendEntry | None:
        """Returns the backend server to send a call to, None if none may be used.

        Args:
          service: The service of the call.
          now_ms: Steady clock.
          exclude: Ids of backend servers to which this call was sent already.
          prefer: The incarnation whose cache holds the beginning of the call's prompt.
          connected: Ids of backend servers to which there is an idle connection.
        """
        candidates = [
            entry
            for entry in self.entries.values()
            if entry.service == service and not entry.leaving and entry.backend_id not in exclude
        ]
        if not candidates:
            return None
        healthy = [e for e in candidates if not self._is_ejected(e.backend_id, now_ms)]
        if len(healthy) < len(candidates) * (1 - MAX_EJECTED_SHARE):
            healthy = candidates
        holds_cache = prefer is not None and self._find_entry(prefer) is not None
        chosen_id = place(
            [self._candidate(entry, now_ms, connected) for entry in healthy],
            preferred_id=prefer.backend_id if prefer is not None and holds_cache else "",
            rng=self._random,
        )
        return self.entries[chosen_id]

    def _find_entry(self, incarnation: BackendIncarnation) -> BackendEntry | None:
        """Returns the entry of an incarnation, None if that has ended or is not known yet."""
        entry = self.entries.get(incarnation.backend_id)
        return entry if entry is not None and entry.incarnation == incarnation else None

    def _candidate(self, entry: BackendEntry, now_ms: int, connected: frozenset[str]) -> Candidate:
        backend_id, service = entry.backend_id, entry.service
        usual_ms = self.service_times.first_byte_ms(service)
        late_ms = self._latencies.excess_ms(backend_id, usual_ms, now_ms)
        return Candidate(
            backend_id=backend_id,
            busy=self.in_flight.get(backend_id, 0) / max(1, entry.slots),
            is_in_same_zone=entry.zone == self._zone,
            is_cold=entry.cold_ms > 0,
            has_idle_connection=backend_id in connected,
            lateness=late_ms / max(1.0, self.service_times.total_ms(service)),
            slowness=self._speeds.slowness(service, backend_id),
        )

    def _is_ejected(self, backend_id: str, now_ms: int) -> bool:
        own = self._own_failures.is_ejected(backend_id, now_ms)
        return own or self._shared_failures.is_outlier(backend_id, now_ms)

    def _forget(self, backend_id: str) -> None:
        self._grace_until_ms.pop(backend_id, None)
        self.entries.pop(backend_id, None)
        self._own_failures.forget(backend_id)
        self._shared_failures.forget(backend_id)
        self._late_reports.forget(backend_id)
        self._latencies.forget(backend_id)
        self._speeds.forget(backend_id)
