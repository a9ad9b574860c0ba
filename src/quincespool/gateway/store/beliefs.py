"""What a daemon believes of the rest: configuration, backend servers, other daemons, the store.

Everything that changes a belief comes in here and leaves a log line.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from quincespool.gateway.backends.table import EntryNews
from quincespool.gateway.store.follower import Follower
from quincespool.policy.polling import backend_entries_interval_ms
from quincespool.policy.polling import daemon_entries_pause_ms

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.backends.pool import ConnectionPool
    from quincespool.gateway.backends.table import Backends
    from quincespool.gateway.callers.routes import RouteTable
    from quincespool.gateway.decision_log import DecisionLog
    from quincespool.gateway.members.messages import Heartbeat
    from quincespool.gateway.members.table import Members
    from quincespool.gateway.model import BackendEntry
    from quincespool.gateway.model import Configuration
    from quincespool.gateway.model import Daemon
    from quincespool.gateway.store.interface import KeyedRecord
    from quincespool.gateway.store.interface import Store
    from quincespool.gateway.wire import Wire

# A read of the configuration waits this long for a change; a connection that has gone silent is
# noticed after it.
CONFIGURATION_WAIT_MS = 2_000
DAEMONS_WAIT_MS = 5_000
# An entry that lapses while the store is away is back within two seconds of its return.
LAPSE_GRACE_MS = 2_200
# Appends that find no room are sent again sooner, and a daemon looks for what it can delete.
FULL_MEMORY_MS = 3_000
# Requests to the store that fail in a row, and time without any success, before it counts as lost:
# a burst beyond its rate is refused in part while it serves the rest.
FAILURES_TO_LOSE = 3
SILENCE_TO_LOSE_MS = 300


class StoreHealth:
    """Whether the store answers this daemon.

    Attributes:
      reachable: Whether it did lately.
      lapses_until_ms: Steady clock until which entries that lapsed meanwhile may be missing.
    """

    def __init__(
        self, log: DecisionLog, now_ms: Callable[[], int], *, on_return: Callable[[], None]
    ) -> None:
        self.reachable = True
        self.lapses_until_ms = 0
        self._log = log
        self._now_ms = now_ms
        self._on_return = on_return
        self._failures = 0
        self._succeeded_ms = now_ms()
        self._full_ms: int | None = None

    @property
    def full(self) -> bool:
        """Whether it had no room for an append lately; it answers all the same."""
        return self._full_ms is not None and self._now_ms() - self._full_ms < FULL_MEMORY_MS

    @property
    def is_prompt(self) -> bool:
        """Whether the store is expected to answer at once, as far as this daemon can know yet."""
        silent_ms = self._now_ms() - self._succeeded_ms
        return self._failures == 0 and silent_ms <= SILENCE_TO_LOSE_MS

    def note(self, status: str) -> None:
        """Takes the outcome of a request in: a status or `unanswered`."""
        self._note_room(status)
        if status in ("unanswered", "503", "429"):
            self._failures += 1
            silent_ms = self._now_ms() - self._succeeded_ms
            if (
                self.reachable
                and self._failures >= FAILURES_TO_LOSE
                and silent_ms > SILENCE_TO_LOSE_MS
            ):
                self.reachable = False
                self._log.write_always("store lost", status=status)
            return
        self._failures = 0
        self._succeeded_ms = self._now_ms()
        if not self.reachable:
            self.reachable = True
            self.lapses_until_ms = self._now_ms() + LAPSE_GRACE_MS
            self._log.write_always("store regained")
            self._on_return()

    def _note_room(self, status: str) -> None:
        if status == "507":
            if self._full_ms is None:
                self._log.write_always("store full")
            self._full_ms = self._now_ms()
        elif self._full_ms is not None and not self.full:
            self._full_ms = None
            self._log.write_always("store has room")


class Beliefs:
    """Follows the store's topics and the heartbeats of other daemons."""

    def __init__(
        self,
        *,
        member_id: str,
        incarnation: int,
        store: Store,
        store_health: StoreHealth,
        wire: Wire,
        routes: RouteTable,
        backends: Backends,
        pool: ConnectionPool,
        members: Members,
        log: DecisionLog,
        now_ms: Callable[[], int],
        backends_interval_ms: Callable[[], int],
        on_new_daemon: Callable[[Daemon], None],
        on_predecessor: Callable[[int], None],
        on_newer_configuration: Callable[[str, int], None],
        on_configuration: Callable[[], None],
    ) -> None:
        self._member_id = member_id
        self._incarnation = incarnation
        self._store_health = store_health
        self._wire = wire
        self._routes = routes
        self._backends = backends
        self._pool = pool
        self._members = members
        self._log = log
        self._now_ms = now_ms
        self._on_new_daemon = on_new_daemon
        self._on_predecessor = on_predecessor
        self._on_newer_configuration = on_newer_configuration
        self._on_configuration = on_configuration
        self.configuration = Follower(
            wire.CONFIGURATION_TOPIC,
            store=store,
            on_record=self._take_configuration,
            on_listing=lambda _: None,
            wait_ms=CONFIGURATION_WAIT_MS,
            pause_ms=lambda: 0,
        )
        self.backend_entries = Follower(
            wire.BACKENDS_TOPIC,
            store=store,
            on_record=self._take_backend_record,
            on_listing=self._list_backends,
            wait_ms=0,
            pause_ms=lambda: backend_entries_interval_ms(
                backends_interval_ms(), len(members.entries)
            ),
        )
        self.daemon_entries = Follower(
            wire.DAEMONS_TOPIC,
            store=store,
            on_record=self._take_daemon,
            on_listing=lambda _: None,
            wait_ms=DAEMONS_WAIT_MS,
            pause_ms=lambda: daemon_entries_pause_ms(len(members.entries)),
        )

    @property
    def complete(self) -> bool:
        """Whether calls can be routed."""
        return self._routes.configuration is not None and self.backend_entries.synced_event.is_set()

    async def until_complete(self) -> None:
        """Returns when calls can be routed."""
        await self._routes.configured.wait()
        await self.backend_entries.synced_event.wait()

    @property
    def configuration_version(self) -> int:
        """Version in force here."""
        return self._routes.version

    @property
    def store_reachable(self) -> bool:
        """Whether the store answers this daemon."""
        return self._store_health.reachable

    def hear(self, sender: str, beat: Heartbeat) -> bool:
        """Takes a heartbeat in; returns whether its sender counted as silent."""
        now_ms = self._now_ms()
        alive = self._members.is_alive(sender, now_ms)
        if sender == self._member_id or not self._members.hear(sender, beat, now_ms):
            return False
        if beat.configuration_version > self._routes.version:
            self.configuration.read_soon()
            self._on_newer_configuration(sender, beat.configuration_version)
        if alive:
            return False
        self._log.write("daemon heard", peer_id=sender, incarnation=beat.incarnation)
        return sender in self._members.entries

    def adopt_copy(self, configuration: Configuration, peer_id: str) -> None:
        """Puts a configuration in force that another daemon has handed on, if it is newer."""
        self._adopt(configuration, offset=-1, source=peer_id)

    def expire(self) -> None:
        """Forgets what was not renewed in time."""
        for backend_id in self._backends.expire(self._now_ms()):
            self._pool.drop(backend_id)
            self._log.write("backend lapsed", backend_id=backend_id)
        self._pool.close_stale()

    def _take_configuration(self, record: KeyedRecord) -> None:
        if record.key != self._wire.CONFIGURATION_KEY or record.value is None:
            return
        try:
            configuration = self._wire.read_configuration(record.value)
        except msgspec.MsgspecError as error:
            # The present one stays in force; operators see a version that does not come.
            self._log.write_always(
                "configuration unreadable", offset=record.offset, detail=str(error)
            )
            return
        self._adopt(configuration, offset=record.offset, source="store")

    def _adopt(self, configuration: Configuration, *, offset: int, source: str) -> None:
        if not self._routes.adopt(configuration):
            return
        self._on_configuration()
        accounts = configuration.accounts
        self._log.write_always(
            "configuration adopted",
            configuration_version=configuration.version,
            source=source,
            offset=offset,
            routes=len(configuration.routes),
            accounts=len(accounts.by_name) if accounts is not None else 0,
            keys=len(accounts.by_key) if accounts is not None else 0,
        )

    def _take_backend_record(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._remove_backend(record.key, record.offset)
            return
        try:
            entry = self._wire.read_backend(record.key, record.value)
        except msgspec.MsgspecError as error:
            # Whoever wrote it has put it in the place of an entry that could be read; what that
            # one said holds no more. The backend server's next one brings it back.
            self._backends.discard(record.key)
            self._log.write("backend entry unreadable", key=record.key, detail=str(error))
            return
        self._take_backend(entry, record.offset)

    def _take_backend(self, entry: BackendEntry, offset: int) -> None:
        news = self._backends.put(entry)
        if news is EntryNews.NOTHING:
            return
        if news is EntryNews.NEW_LIFE:
            # Nobody answers any more what was sent to the last one.
            self._pool.break_off(entry.backend_id, "the backend server has started again")
        self._log.write(
            "backend entry",
            backend_id=entry.backend_id,
            born_ms=entry.born_ms,
            news=news.value,
            service=entry.service,
            address=entry.address,
            leaving=entry.leaving,
            offset=offset,
        )

    def _remove_backend(self, backend_id: str, offset: int) -> None:
        now_ms, lapses_until_ms = self._now_ms(), self._store_health.lapses_until_ms
        self._backends.remove(backend_id, now_ms=now_ms, lapses_until_ms=lapses_until_ms)
        self._log.write(
            "backend removed",
            backend_id=backend_id,
            offset=offset,
            may_have_lapsed=now_ms < lapses_until_ms,
        )

    def _list_backends(self, keys: list[str]) -> None:
        self._backends.retain(
            keys, now_ms=self._now_ms(), lapses_until_ms=self._store_health.lapses_until_ms
        )

    def _take_daemon(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._members.remove(record.key)
            self._log.write("daemon left", peer_id=record.key, offset=record.offset)
            return
        try:
            daemon = self._wire.read_daemon(record.key, record.value)
        except msgspec.MsgspecError as error:
            self._log.write("daemon entry unreadable", key=record.key, detail=str(error))
            return
        if daemon.member_id == self._member_id:
            if daemon.incarnation != self._incarnation:
                self._on_predecessor(daemon.incarnation)
            return
        if self._members.put(daemon, self._now_ms()):
            self._on_new_daemon(daemon)
            self._log.write(
                "daemon entry",
                peer_id=daemon.member_id,
                address=daemon.peer_address,
                zone=daemon.zone,
                incarnation=daemon.incarnation,
                offset=record.offset,
            )

    def dump(self) -> dict[str, Any]:
        """Returns what is believed, for people to read."""
        now_ms = self._now_ms()
        return {
            "configuration_version": self._routes.version,
            "store_reachable": self._store_health.reachable,
            "backends": {
                one: {"in_flight": self._backends.in_flight.get(one, 0), **entry._asdict()}
                for one, entry in self._backends.entries.items()
            },
            "daemons": {
                one: {"alive": self._members.is_alive(one, now_ms), **daemon._asdict()}
                for one, daemon in self._members.entries.items()
            },
        }
