"""Sends this daemon's heartbeats and notices, and handles those of the other daemons."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from quincespool.gateway.clock import now_ms
from quincespool.gateway.futures import start_background_task
from quincespool.gateway.members.datagram_socket import DatagramSocket
from quincespool.gateway.members.messages import BackendReport
from quincespool.gateway.members.messages import CrashNotice
from quincespool.gateway.members.messages import Heartbeat
from quincespool.gateway.members.messages import SilenceNotice
from quincespool.gateway.members.messages import SilenceQuestion
from quincespool.gateway.store.interface import Partition
from quincespool.gateway.store.interface import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.backends.crashes import CrashHistory
    from quincespool.gateway.backends.reports import BackendReports
    from quincespool.gateway.decision_log import DecisionLog
    from quincespool.gateway.members.member_table import MemberTable
    from quincespool.gateway.model import Daemon
    from quincespool.gateway.platform_codec import PlatformCodec
    from quincespool.gateway.store.cluster_view import ClusterView
    from quincespool.gateway.store.interface import Store
    from quincespool.gateway.turns.ownership import Ownership

REGISTER_RETRY_S = 0.3
# A daemon that takes over several partitions reads them within some tens of milliseconds.
# Partitions that it has read within this time are announced together.
ANNOUNCE_INTERVAL_S = 0.02


class Presence:
    """Announces this daemon by store entry and heartbeats; handles datagrams of other daemons.

    Attributes:
      draining: Whether this daemon is stopping; announced, so that the directories of other daemons
        do not return its address.
    """

    def __init__(
        self,
        own: Daemon,
        *,
        codec: PlatformCodec,
        members: MemberTable,
        cluster_view: ClusterView,
        ownership: Ownership,
        partition_count: int,
        crashes: CrashHistory,
        backend_reports: BackendReports,
        log: DecisionLog,
        on_silent: Callable[[Daemon], None],
    ) -> None:
        self.draining = False
        self._own = own
        self._codec = codec
        self._members = members
        self._cluster_view = cluster_view
        self._ownership = ownership
        self._partition_count = partition_count
        self._crashes = crashes
        self._backend_reports = backend_reports
        self._log = log
        self._on_silent = on_silent
        self._lease_tasks: set[asyncio.Task[None]] = set()
        self._sequence = 0
        self._announce_timer: asyncio.TimerHandle | None = None
        self._pausing: asyncio.Task[None] | None = None
        self._socket = DatagramSocket(own.member_id, on_datagram=self._on_datagram)

    async def start(self, host: str, port: int) -> None:
        """Binds the port for datagrams.

        Raises:
          OSError: if the port cannot be bound.
        """
        await self._socket.start(host, port)

    def stop(self) -> None:
        """Closes the datagram socket and cancels a pending announcement or pause.

        At the end of a planned stop the other daemons are told: those that stop too would wait
        until this one counts as silent.
        """
        if self.draining:
            notice = SilenceNotice(self._own.member_id, self._own.incarnation)
            self._socket.send(self._members.others, notice)
        self._socket.stop()
        if self._announce_timer is not None:
            self._announce_timer.cancel()
        if self._pausing is not None:
            self._pausing.cancel()

    async def register(self, store: Store) -> None:
        """Writes the daemon's entry, by which other daemons find it.

        Waits until the present entries are listed: the new entry replaces that of this daemon's
        previous process, whose incarnation is needed to release its partitions.
        """
        self._members.put(self._own, now_ms())
        await self._cluster_view.daemon_entries.synced_event.wait()
        value = self._codec.write_daemon(self._own)
        while True:
            try:
                await store.append_keyed(self._codec.DAEMONS_TOPIC, self._own.member_id, value)
            except StoreError as error:
                self._log.write("daemon entry not written", detail=str(error))
                await asyncio.sleep(REGISTER_RETRY_S)
            else:
                return

    def send_heartbeats(self) -> None:
        """Sends the periodic heartbeat to the daemons that `heartbeat_targets` returns."""
        self._send_heartbeat(self._members.heartbeat_targets())

    def send_claims(self) -> None:
        """Sends the owned partitions to all other daemons, even just after another announcement."""
        self._send_heartbeat(self._members.others)

    def announce_departure(self) -> None:
        """Makes all other daemons renew their membership at once, so that they take over.

        Otherwise they would renew it at their next interval. Sent only once: leaving
        usually increases the group's generation, but does not always do so.
        """
        self._send_heartbeat(self._members.others, generation=self._ownership.generation + 1)

    def announce(self) -> None:
        """Sends a heartbeat to all other daemons at once, for example when this daemon stops.

        Changes within `ANNOUNCE_INTERVAL_S` after the heartbeat are announced together at the end
        of that time.
        """
        if self._announce_timer is not None:
            return
        self._send_heartbeat(self._members.others)
        loop = asyncio.get_running_loop()
        self._announce_timer = loop.call_later(
            ANNOUNCE_INTERVAL_S, self._announce_changes, self._announced_state()
        )

    def send_heartbeat_to(self, daemon: Daemon) -> None:
        """Sends a heartbeat to a new daemon, which would otherwise wait for the periodic one.

        Until a daemon has received a heartbeat, it does not know who owns the programs of its
        callers, and refuses their calls.
        """
        if daemon.member_id != self._own.member_id:
            self._send_heartbeat([daemon])

    def check_silence(self) -> None:
        """Probes watched daemons that have fallen silent; ends the leases of those that crashed.

        Otherwise nobody could take over the programs of a crashed owner until its lease expires.
        """
        silent, crashed = self._members.check_silence(now_ms())
        for daemon in silent:
            self._socket.send([daemon], SilenceQuestion(daemon.incarnation))
        for daemon in crashed:
            self._end_lease(daemon, "silent")
            notice = SilenceNotice(daemon.member_id, daemon.incarnation)
            self._socket.send(self._members.others, notice)

    def record_refused_connection(self, peer_address: str) -> None:
        """Handles a refused connection: the host is alive, so the daemon's process has ended."""
        daemon = self._members.watched_daemon_at(peer_address)
        if daemon is not None and self._members.is_alive(daemon.member_id, now_ms()):
            self._members.suspect(daemon.member_id)
            self._end_lease(daemon, "refuses connections")

    def _end_lease(self, daemon: Daemon, reason: str) -> None:
        self._log.write(
            "daemon gone",
            peer_id=daemon.member_id,
            incarnation=daemon.incarnation,
            reason=reason,
        )
        self._on_silent(daemon)
        work = self._ownership.release(daemon.member_id, daemon.incarnation)
        start_background_task(work, self._lease_tasks)

    def _announce_changes(self, announced: tuple[object, ...]) -> None:
        self._announce_timer = None
        if self._announced_state() != announced:
            self.announce()

    def _announced_state(self) -> tuple[object, ...]:
        """Returns the state whose changes are announced at once."""
        return self.draining, self._ownership.claims, self._ownership.retired_claims

    def _send_heartbeat(self, daemons: list[Daemon], *, generation: int | None = None) -> None:
        self._sequence += 1
        speed = self._backend_reports.take_speed_to_announce()
        heartbeat = Heartbeat(
            incarnation=self._own.incarnation,
            sequence=self._sequence,
            draining=self.draining,
            configuration_version=self._cluster_view.configuration_version,
            generation=self._ownership.generation if generation is None else generation,
            claims=self._ownership.claims,
            retired_claims=self._ownership.retired_claims,
            store_reachable=self._cluster_view.store_reachable,
            engine_id=speed.backend_id if speed is not None else "",
            engine_event_us=round(1_000 * speed.event_interval_ms) if speed is not None else 0,
        )
        self._socket.send(daemons, heartbeat)

    def announce_crash(self, fingerprint: str, backend_id: str) -> None:
        """Reports to other daemons that a backend server crashed while it ran a request."""
        self._socket.send(self._members.others, CrashNotice(fingerprint, backend_id))

    def announce_backend_report(self, report: BackendReport) -> None:
        """Reports to other daemons that a call failed or was slow at a backend server."""
        self._socket.send(self._members.others, report)

    def update_isolation(self) -> None:
        """Gives up all partitions while this daemon is cut off from all others.

        The store does not notice the isolation and would leave the partitions assigned to this
        daemon. Their programs could continue only through callers that happen to be connected to
        this daemon.
        """
        isolated = self._members.is_isolated(now_ms())
        if isolated and len(self._ownership.owned) == self._partition_count:
            # All partitions are assigned to this daemon, so no other daemon is running.
            isolated = False
        if isolated == self._ownership.is_paused or self.draining:
            return
        self._log.write_always("isolated" if isolated else "no longer isolated")
        if isolated:
            work = self._ownership.pause("isolated")
            self._pausing = asyncio.get_running_loop().create_task(work)
        else:
            self._ownership.resume()

    def _on_datagram(self, sender: str, message: Any) -> None:
        if isinstance(message, CrashNotice):
            self._crashes.record_crash(message.fingerprint, message.backend_id, now_ms())
            return
        if isinstance(message, BackendReport):
            self._backend_reports.apply_report(sender, message)
            return
        if isinstance(message, SilenceNotice):
            self._on_silence_notice(sender, message)
            return
        if isinstance(message, SilenceQuestion):
            self._on_silence_question(sender)
            return
        if not isinstance(message, Heartbeat):
            return
        if self._cluster_view.handle_heartbeat(sender, message):
            # The sender was silent until now, and may have missed this daemon's heartbeats as well.
            self.send_heartbeat_to(self._members.entries[sender])
        if message.engine_id:
            self._backend_reports.apply_speed(message.engine_id, message.engine_event_us / 1_000)
        for claim in message.claims + message.retired_claims:
            self._ownership.yield_to(Partition(claim.topic, claim.number), claim.epoch)
        if message.generation > self._ownership.generation:
            self._ownership.request_renewal()

    def _on_silence_question(self, sender: str) -> None:
        """Sends a heartbeat only to the daemon that requested it.

        In a large group whose hosts are all short of processor time, answers to all daemons would
        use up the remaining time.
        """
        watcher = self._members.entries.get(sender)
        if watcher is not None:
            self._send_heartbeat([watcher])

    def _on_silence_notice(self, sender: str, notice: SilenceNotice) -> None:
        if notice.member_id == self._own.member_id:
            self.announce()
        elif self._members.record_silence_notice(
            notice.member_id, notice.incarnation, now_ms(), told_by=sender
        ):
            self._log.write("daemon said to be silent", peer_id=notice.member_id, told_by=sender)
            daemon = self._members.entries.get(notice.member_id)
            if daemon is not None:
                self._on_silent(daemon)
