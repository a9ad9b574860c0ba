"""Which backend servers there are, how busy and how sound each one is, and which one to take."""

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
    from quincespool.gateway.model import BackendLife

# At most this part of a service is passed over at once: with more, the fault is likely our own.
MAX_EJECTED_SHARE = 0.5
# Ids whose last start is remembered, those heard of last; a few times the engines of the largest
# plan.
MAX_BIRTHS = 50_000


class EntryNews(StrEnum):
    """What an entry changes.

    Attributes:
      NOTHING: Its age at most.
      CHANGED: The backend server is new here, leaves, or has moved.
      NEW_LIFE: It has started again under the id that it had.
      STALE: It is of a life that is over, or of another writer; it was passed over.
    """

    NOTHING = "nothing"
    CHANGED = "changed"
    NEW_LIFE = "new_life"
    STALE = "stale"


class Backends:
    """The backend servers known to one daemon.

    Attributes:
      entries: By id; those that may still be used.
      in_flight: Own calls under way, by id.
      times: What is usual for answers, by service.
    """

    def __init__(self, *, zone: str, seed: int) -> None:
        self.entries: dict[str, BackendEntry] = {}
        self.in_flight: dict[str, int] = {}
        self.times = ServiceTimes()
        self._zone = zone
        self._random = random.Random(seed)
        self._lapsing: dict[str, int] = {}
        self._own_failures = OwnFailures()
        self._shared_failures = SharedFailures()
        self._late_reports = RecentReports()
        self._latencies = BackendLatencies()
        self._speeds = EngineSpeeds()
        # Of all ids seen, also those that are gone: an entry of an earlier life may come late.
        self._born_ms: dict[str, int] = {}

    def put(self, entry: BackendEntry) -> EntryNews:
        """Takes an entry in.

        Entries may come late, twice, and from the life before: one of an earlier start never takes
        the place of a later one. A new life begins with nothing: kept, the record of the last one
        would have calls sent to what it had cached, or keep them away from a sound process.
        """
        backend_id = entry.backend_id
        born_ms = self._born_ms.get(backend_id)
        if born_ms is not None and entry.born_ms is None:
            # Not written by the backend server, which always tells its start.
            self._forget(backend_id)
            return EntryNews.STALE
        if born_ms is not None and entry.born_ms is not None and entry.born_ms < born_ms:
            return EntryNews.STALE
        self._lapsing.pop(backend_id, None)
        known = self.entries.get(backend_id)
        reborn = born_ms is not None and entry.born_ms != born_ms
        if reborn:
            self._forget(backend_id)
        if entry.born_ms is not None:
            put_newest(self._born_ms, backend_id, entry.born_ms, most=MAX_BIRTHS)
        self.entries[backend_id] = entry
        if reborn:
            return EntryNews.NEW_LIFE
        if known is None or known.leaving != entry.leaving or known.address != entry.address:
            return EntryNews.CHANGED
        return EntryNews.NOTHING

    def discard(self, backend_id: str) -> None:
        """Uses a backend server no more whose key holds an entry that can't be read."""
        self._forget(backend_id)

    def remove(self, backend_id: str, *, now_ms: int, lapses_until_ms: int) -> None:
        """Takes note that an entry is gone.

        Args:
          backend_id: Whose.
          now_ms: Steady clock.
          lapses_until_ms: Until when entries that lapsed while the store was away come back; until
            then the backend server is still used. An entry that goes later has not lapsed: its
            backend server leaves and serves for a short while only.
        """
        if backend_id not in self.entries:
            return
        if now_ms < lapses_until_ms:
            self._lapsing.setdefault(backend_id, lapses_until_ms)
            return
        self._forget(backend_id)

    def retain(self, backend_ids: Iterable[str], *, now_ms: int, lapses_until_ms: int) -> None:
        """Removes all entries but these, after a listing of all."""
        kept = set(backend_ids)
        for backend_id in [one for one in self.entries if one not in kept]:
            self.remove(backend_id, now_ms=now_ms, lapses_until_ms=lapses_until_ms)

    def expire(self, now_ms: int) -> list[str]:
        """Forgets entries that are still missing after their grace; returns their ids."""
        over = [one for one, until_ms in self._lapsing.items() if until_ms <= now_ms]
        for backend_id in over:
            self._forget(backend_id)
        return over

    def started(self, backend_id: str) -> None:
        """Counts a call that is being sent."""
        self.in_flight[backend_id] = self.in_flight.get(backend_id, 0) + 1

    def finished(self, backend_id: str) -> None:
        """Counts a call that is over."""
        left = self.in_flight.get(backend_id, 0) - 1
        if left > 0:
            self.in_flight[backend_id] = left
        else:
            self.in_flight.pop(backend_id, None)

    def began(self, entry: BackendEntry, took_ms: float, now_ms: int) -> None:
        """Takes note of how long an answer took to begin, from when the call was sent."""
        self._latencies.observe(entry.backend_id, took_ms, now_ms)
        self.times.observe_first_byte(entry.service, took_ms)

    def streamed(self, entry: BackendEntry, events: int, took_ms: float) -> None:
        """Takes note of how long a whole stream took from its first event to its last one."""
        if events > 1:
            answer = SpeedSample(entry.backend_id, took_ms / (events - 1))
            self._speeds.observe(entry.service, answer)

    def take_speed_to_tell(self) -> SpeedSample | None:
        """Returns what the other daemons should know of an engine's speed, once."""
        return self._speeds.take_reportable()

    def hear_speed(self, answer: SpeedSample) -> None:
        """Takes in what another daemon tells of an engine's speed."""
        if answer.backend_id in self.entries:
            self._speeds.add_sample(answer)

    def slowness(self) -> dict[str, float]:
        """Returns how many times the usual time each engine takes, for people to read."""
        return {
            one.backend_id: round(self._speeds.slowness(one.service, one.backend_id), 2)
            for one in self.entries.values()
        }

    def succeeded(self, entry: BackendEntry, took_ms: float) -> None:
        """Takes note of a sound answer and how long it took to its end."""
        self._own_failures.record_success(entry.backend_id)
        self.times.observe_total(entry.service, took_ms)

    def failed(self, backend_id: str, now_ms: int, *, unreachable: bool = False) -> bool:
        """Takes note of a failure; returns whether the backend server is ejected for it."""
        return self._own_failures.record_failure(backend_id, now_ms, unreachable=unreachable)

    def is_failure_worth_telling(self, backend_id: str, reporter: str, now_ms: int) -> bool:
        """Whether a report of this daemon changes anything at the others."""
        return self._shared_failures.should_report(backend_id, reporter, now_ms)

    def note_failure(self, life: BackendLife, reporter: str, now_ms: int) -> int | None:
        """Takes in that a call of some daemon went wrong at a backend server.

        Returns:
          For how long the backend server is passed over from now on, None if it is not for this.
        """
        entry = self._living(life)
        if entry is None:
            return None
        group = [one.backend_id for one in self.entries.values() if one.service == entry.service]
        return self._shared_failures.record_report(
            life.backend_id, reporter, group=group, now_ms=now_ms
        )

    def note_late(self, life: BackendLife, reporter: str, late_ms: int, now_ms: int) -> bool:
        """Takes in for how long an answer to some daemon has not begun that should have.

        It counts as a long latency, not as a failure: passed over by all daemons at once, slow
        backend servers would leave the others more than they can take, and so on in turn.

        Returns:
          Whether it is worth telling the others.
        """
        if self._living(life) is None:
            return False
        if not self._late_reports.has_room(life.backend_id, reporter, now_ms):
            return False
        self._late_reports.add(life.backend_id, reporter, now_ms)
        self._latencies.observe(life.backend_id, late_ms, now_ms)
        return True

    def is_usable(self, life: BackendLife) -> bool:
        """Whether a process is known and takes new calls."""
        entry = self._living(life)
        return entry is not None and not entry.leaving

    def latency_ms(self, backend_id: str) -> float:
        """Returns how long its answers took to begin lately; 0 if none was seen."""
        return self._latencies.mean_ms(backend_id)

    def choose(
        self,
        service: str,
        *,
        now_ms: int,
        exclude: frozenset[str] = frozenset(),
        prefer: BackendLife | None = None,
        connected: frozenset[str] = frozenset(),
    ) -> BackendEntry | None:
        """Returns the backend server to send a call to, None if there is none.

        Args:
          service: Whose backend servers.
          now_ms: Steady clock.
          exclude: Those that this call was sent to already.
          prefer: The one that holds what the call would have to read again.
          connected: Those to which a kept connection is idle.
        """
        candidates = [
            entry
            for entry in self.entries.values()
            if entry.service == service and not entry.leaving and entry.backend_id not in exclude
        ]
        if not candidates:
            return None
        sound = [e for e in candidates if not self._is_ejected(e.backend_id, now_ms)]
        if len(sound) < len(candidates) * (1 - MAX_EJECTED_SHARE):
            sound = candidates
        holds_cache = prefer is not None and self._living(prefer) is not None
        chosen_id = place(
            [self._candidate(entry, now_ms, connected) for entry in sound],
            preferred_id=prefer.backend_id if prefer is not None and holds_cache else "",
            rng=self._random,
        )
        return self.entries[chosen_id]

    def _living(self, life: BackendLife) -> BackendEntry | None:
        """Returns the entry of a process, None if it is gone or not known here yet."""
        entry = self.entries.get(life.backend_id)
        return entry if entry is not None and entry.life == life else None

    def _candidate(self, entry: BackendEntry, now_ms: int, connected: frozenset[str]) -> Candidate:
        backend_id, service = entry.backend_id, entry.service
        usual_ms = self.times.first_byte_ms(service)
        late_ms = self._latencies.excess_ms(backend_id, usual_ms, now_ms)
        return Candidate(
            backend_id=backend_id,
            busy=self.in_flight.get(backend_id, 0) / max(1, entry.slots),
            is_in_same_zone=entry.zone == self._zone,
            is_cold=entry.cold_ms > 0,
            has_idle_connection=backend_id in connected,
            lateness=late_ms / max(1.0, self.times.total_ms(service)),
            slowness=self._speeds.slowness(service, backend_id),
        )

    def _is_ejected(self, backend_id: str, now_ms: int) -> bool:
        own = self._own_failures.is_ejected(backend_id, now_ms)
        return own or self._shared_failures.is_outlier(backend_id, now_ms)

    def _forget(self, backend_id: str) -> None:
        self._lapsing.pop(backend_id, None)
        self.entries.pop(backend_id, None)
        self._own_failures.forget(backend_id)
        self._shared_failures.forget(backend_id)
        self._late_reports.forget(backend_id)
        self._latencies.forget(backend_id)
        self._speeds.forget(backend_id)
