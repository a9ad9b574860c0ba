"""A daemon's view of the cluster: configuration, backend servers, other daemons, the store.

Everything that changes this view is handled in this module, and each change is logged.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from quincespool.gateway.backends.backend_table import EntryChange
from quincespool.gateway.store.follower import TopicFollower
from quincespool.gateway.store.view_refresh import ViewRefresh
from quincespool.policy.polling import backend_entries_interval_ms
from quincespool.policy.polling import configuration_wait_ms
from quincespool.policy.polling import daemon_entries_pause_ms

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.backends.backend_table import BackendTable
    from quincespool.gateway.backends.pool import ConnectionPool
    from quincespool.gateway.callers.routes import RouteTable
    from quincespool.gateway.decision_log import DecisionLog
    from quincespool.gateway.members.member_table import MemberTable
    from quincespool.gateway.members.messages import Heartbeat
    from quincespool.gateway.model import BackendEntry
    from quincespool.gateway.model import Configuration
    from quincespool.gateway.model import Daemon
    from quincespool.gateway.platform_codec import PlatformCodec
    from quincespool.gateway.store.interface import KeyedRecord
    from quincespool.gateway.store.interface import Store
    from quincespool.gateway.store.store_health import StoreHealth

DAEMONS_WAIT_MS = 5_000


class ClusterView:
    """Follows the store's topics and the heartbeats of other daemons.

    Attributes:
      configuration: Follower of the configuration topic.
      backend_entries: Follower of the entries of backend servers.
      daemon_entries: Follower of the entries of daemons.
      refresh: Brings the view up to date after the process has stood still.
    """

    def __init__(
        self,
        *,
        member_id: str,
        incarnation: int,
        store: Store,
        store_health: StoreHealth,
        codec: PlatformCodec,
        routes: RouteTable,
        backends: BackendTable,
        pool: ConnectionPool,
        members: MemberTable,
        log: DecisionLog,
        now_ms: Callable[[], int],
        configuration_apply_ms: int,
        backends_interval_ms: Callable[[], int],
        on_new_daemon: Callable[[Daemon], None],
        on_predecessor: Callable[[int], None],
        on_newer_configuration: Callable[[str, int], None],
        on_configuration_adopted: Callable[[], None],
        on_refreshed: Callable[[], None],
    ) -> None:
        """Creates the view of one daemon.

        Args:
          member_id: Id of this daemon.
          incarnation: Start time of this process.
          store: The store whose topics are followed.
          store_health: Whether the store answers.
          codec: Decodes the records.
          routes: Holds the configuration in force; updated.
          backends: The known backend servers; updated.
          pool: Connections to backend servers; those to removed ones are closed.
          members: The known daemons; updated.
          log: Receives a line on each change.
          now_ms: Returns the steady clock.
          configuration_apply_ms: Time in which a configuration must be in force.
          backends_interval_ms: Returns the interval at which entries of backend servers are read.
          on_new_daemon: Called with the entry of a daemon that is new or has changed.
          on_predecessor: Called with the incarnation of an earlier process under this daemon's id.
          on_newer_configuration: Called with the id of a daemon that has a newer configuration in
            force, and with its version.
          on_configuration_adopted: Called when a newer configuration has been adopted.
          on_refreshed: Called when requests may be taken again after the process has stood still.
        """
        self._member_id = member_id
        self._incarnation = incarnation
        self._store_health = store_health
        self._codec = codec
        self._routes = routes
        self._backends = backends
        self._pool = pool
        self._members = members
        self._log = log
        self._now_ms = now_ms
        self._on_new_daemon = on_new_daemon
        self._on_predecessor = on_predecessor
        self._on_newer_configuration = on_newer_configuration
        self._on_configuration_adopted = on_configuration_adopted
        self.configuration = TopicFollower(
            codec.CONFIGURATION_TOPIC,
            store=store,
            on_record=self._on_configuration_record,
            on_listing=lambda _: None,
            wait_ms=configuration_wait_ms(configuration_apply_ms),
            pause_ms=lambda: 0,
        )
        self.backend_entries = TopicFollower(
            codec.BACKENDS_TOPIC,
            store=store,
            on_record=self._on_backend_record,
            on_listing=self._on_backend_listing,
            wait_ms=0,
            pause_ms=lambda: backend_entries_interval_ms(
                backends_interval_ms(), len(members.entries)
            ),
        )
        self.daemon_entries = TopicFollower(
            codec.DAEMONS_TOPIC,
            store=store,
            on_record=self._on_daemon_record,
            on_listing=lambda _: None,
            wait_ms=DAEMONS_WAIT_MS,
            pause_ms=lambda: daemon_entries_pause_ms(len(members.entries)),
        )
        self.refresh = ViewRefresh(
            [self.configuration, self.backend_entries],
            max_stall_ms=configuration_apply_ms // 2,
            now_ms=now_ms,
            log=log,
            on_done=on_refreshed,
        )

    @property
    def can_route_calls(self) -> bool:
        """Whether the configuration and the entries of backend servers have been read."""
        return self._routes.configuration is not None and self.backend_entries.synced_event.is_set()

    async def wait_until_routable(self) -> None:
        """Waits until calls can be routed."""
        await self._routes.configured.wait()
        await self.backend_entries.synced_event.wait()

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force at this daemon."""
        return self._routes.version

    @property
    def store_reachable(self) -> bool:
        """Whether the store answers this daemon."""
        return self._store_health.reachable

    def handle_heartbeat(self, sender: str, heartbeat: Heartbeat) -> bool:
        """Applies a heartbeat; returns whether it is from a known daemon that counted as silent."""
        now_ms = self._now_ms()
        alive = self._members.is_alive(sender, now_ms)
        if sender == self._member_id or not self._members.record_heartbeat(
            sender, heartbeat, now_ms
        ):
            return False
        if heartbeat.configuration_version > self._routes.version:
            self.configuration.read_soon()
            self._on_newer_configuration(sender, heartbeat.configuration_version)
        if alive:
            return False
        self._log.write("daemon heard", peer_id=sender, incarnation=heartbeat.incarnation)
        return sender in self._members.entries

    def adopt_copy(self, configuration: Configuration, peer_id: str) -> None:
        """Adopts a configuration that another daemon has sent, if it is newer."""
        self._adopt(configuration, offset=-1, source=peer_id)

    def expire(self) -> None:
        """Drops backend servers whose entries have expired, and stale connections."""
        for backend_id in self._backends.expire_missing(self._now_ms()):
            self._pool.close_idle(backend_id)
            self._log.write("backend lapsed", backend_id=backend_id)
        self._pool.close_expired()

    def _on_configuration_record(self, record: KeyedRecord) -> None:
        if record.key != self._codec.CONFIGURATION_KEY or record.value is None:
            return
        try:
            configuration = self._codec.read_configuration(record.value)
        except msgspec.MsgspecError as error:
            # The present configuration stays in force; operators see that the new version does not
            # appear.
            self._log.write_always(
                "configuration unreadable", offset=record.offset, detail=str(error)
            )
            return
        self._adopt(configuration, offset=record.offset, source="store")

    def _adopt(self, configuration: Configuration, *, offset: int, source: str) -> None:
        if not self._routes.adopt(configuration):
            return
        self._on_configuration_adopted()
        accounts = configuration.accounts
        self._log.write_always(
            "configuration adopted",
            configuration_version=configuration.version,
            source=source,
            offset=offset,
            unread_ms=self.configuration.unread_ms(),
            routes=len(configuration.routes),
            accounts=len(accounts.by_name) if accounts is not None else 0,
            keys=len(accounts.by_key) if accounts is not None else 0,
        )

    def _on_backend_record(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._remove_backend(record.key, record.offset)
            return
        try:
            entry = self._codec.read_backend(record.key, record.value)
        except msgspec.MsgspecError as error:
            # The unreadable record has replaced the backend server's last readable entry, which is
            # therefore no longer valid. Its next readable entry adds the backend server again.
            self._backends.discard(record.key)
            self._log.write("backend entry unreadable", key=record.key, detail=str(error))
            return
        self._apply_backend_entry(entry, record.offset)

    def _apply_backend_entry(self, entry: BackendEntry, offset: int) -> None:
        change = self._backends.put(entry)
        if change is EntryChange.UNCHANGED:
            return
        if change is EntryChange.NEW_INCARNATION:
            # Calls that were sent to the previous incarnation will never be answered.
            self._pool.abort_answers(entry.backend_id, "the backend server has restarted")
        self._log.write(
            "backend entry",
            backend_id=entry.backend_id,
            born_ms=entry.born_ms,
            news=change.value,
            service=entry.service,
            address=entry.address,
            leaving=entry.leaving,
            offset=offset,
        )

    def _remove_backend(self, backend_id: str, offset: int) -> None:
        now_ms, lapses_until_ms = self._now_ms(), self._store_health.expiry_grace_until_ms
        self._backends.remove(backend_id, now_ms=now_ms, grace_until_ms=lapses_until_ms)
        self._log.write(
            "backend removed",
            backend_id=backend_id,
            offset=offset,
            may_have_lapsed=now_ms < lapses_until_ms,
        )

    def _on_backend_listing(self, keys: list[str]) -> None:
        self._backends.retain(
            keys, now_ms=self._now_ms(), grace_until_ms=self._store_health.expiry_grace_until_ms
        )

    def _on_daemon_record(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._members.remove(record.key)
            self._log.write("daemon left", peer_id=record.key, offset=record.offset)
            return
        try:
            daemon = self._codec.read_daemon(record.key, record.value)
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
        """Returns the view for the state dump."""
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
