"""How a daemon makes itself known to the others, and what it concludes from them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from quincespool.gateway.clock import now_ms
from quincespool.gateway.futures import start_kept
from quincespool.gateway.members.heartbeats import Heartbeats
from quincespool.gateway.members.messages import BackendReport
from quincespool.gateway.members.messages import CrashNotice
from quincespool.gateway.members.messages import Heartbeat
from quincespool.gateway.members.messages import PartitionClaim
from quincespool.gateway.members.messages import SilenceNotice
from quincespool.gateway.members.messages import SilenceQuestion
from quincespool.gateway.store.interface import Partition
from quincespool.gateway.store.interface import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.backends.crashes import CrashWatch
    from quincespool.gateway.backends.reports import BackendReports
    from quincespool.gateway.decision_log import DecisionLog
    from quincespool.gateway.members.table import Members
    from quincespool.gateway.model import Daemon
    from quincespool.gateway.store.beliefs import Beliefs
    from quincespool.gateway.store.interface import Store
    from quincespool.gateway.turns.ownership import Ownership
    from quincespool.gateway.wire import Wire

REGISTER_RETRY_S = 0.3
# A daemon that takes several partitions over has read them within some tens of milliseconds; all
# that are read within this time are told to the others at once.
ANNOUNCE_S = 0.02


class Presence:
    """The daemon's entry in the store, its heartbeats, and those of the others.

    Attributes:
      draining: Told to the others, who then send no callers here.
    """

    def __init__(
        self,
        own: Daemon,
        *,
        wire: Wire,
        members: Members,
        beliefs: Beliefs,
        ownership: Ownership,
        partition_count: int,
        crashes: CrashWatch,
        backend_reports: BackendReports,
        log: DecisionLog,
        on_silent: Callable[[Daemon], None],
    ) -> None:
        self.draining = False
        self._own = own
        self._wire = wire
        self._members = members
        self._beliefs = beliefs
        self._ownership = ownership
        self._partition_count = partition_count
        self._crashes = crashes
        self._backend_reports = backend_reports
        self._log = log
        self._on_silent = on_silent
        self._releasing: set[asyncio.Task[None]] = set()
        self._sequence = 0
        self._announcing: asyncio.TimerHandle | None = None
        self._stepping_aside: asyncio.Task[None] | None = None
        self._heartbeats = Heartbeats(own.member_id, on_datagram=self._take_datagram)

    async def start(self, host: str, port: int) -> None:
        """Binds the port for datagrams.

        Raises:
          OSError: if it cannot be had.
        """
        await self._heartbeats.start(host, port)

    def stop(self) -> None:
        """Says and hears nothing any more."""
        self._heartbeats.stop()
        if self._announcing is not None:
            self._announcing.cancel()
        if self._stepping_aside is not None:
            self._stepping_aside.cancel()

    async def register(self, store: Store) -> None:
        """Writes the daemon's entry, by which the others find it.

        Not before the entries were listed: this one takes the place of that of the process before,
        which tells whose partitions are free.
        """
        self._members.put(self._own, now_ms())
        await self._beliefs.daemon_entries.synced_event.wait()
        value = self._wire.write_daemon(self._own)
        while True:
            try:
                await store.append_keyed(self._wire.DAEMONS_TOPIC, self._own.member_id, value)
            except StoreError as error:
                self._log.write("daemon entry not written", detail=str(error))
                await asyncio.sleep(REGISTER_RETRY_S)
            else:
                return

    def beat(self) -> None:
        """Sends a heartbeat to those whose turn it is."""
        self._send_beat(self._members.beat_targets())

    def tell_claims(self) -> None:
        """Tells all others what is owned, however lately they were told something else."""
        self._send_beat(self._members.others)

    def tell_left(self) -> None:
        """Has all others renew now, who would take over at their next interval.

        Told once: the group counts a generation on when a member leaves, but need not.
        """
        self._send_beat(self._members.others, generation=self._ownership.generation + 1)

    def announce(self) -> None:
        """Tells all others at once, such as that this daemon stops or owns another partition."""
        if self._announcing is not None:
            return
        self._send_beat(self._members.others)
        loop = asyncio.get_running_loop()
        self._announcing = loop.call_later(ANNOUNCE_S, self._announce_rest, self._news())

    def greet(self, daemon: Daemon) -> None:
        """Sends a heartbeat to a daemon that is new, which otherwise waits for its turn.

        Until then it does not know who owns the programs of its callers, and turns them away.
        """
        if daemon.member_id != self._own.member_id:
            self._send_beat([daemon])

    def judge_silence(self) -> None:
        """Asks those that this daemon watches and hears no more; ends the leases of who is gone.

        Until a lease has run out, nobody else may have the programs of a dead owner.
        """
        ask, gone = self._members.judge_silence(now_ms())
        for daemon in ask:
            self._heartbeats.send([daemon], SilenceQuestion(daemon.incarnation))
        for daemon in gone:
            self._end_lease(daemon, "silent")
            notice = SilenceNotice(daemon.member_id, daemon.incarnation)
            self._heartbeats.send(self._members.others, notice)

    def note_refused(self, peer_address: str) -> None:
        """Takes note that a host lives and nothing listens there: the process has ended."""
        daemon = self._members.watched_at(peer_address)
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
        start_kept(work, self._releasing)

    def _announce_rest(self, told: tuple[object, ...]) -> None:
        self._announcing = None
        if self._news() != told:
            self.announce()

    def _news(self) -> tuple[object, ...]:
        """Returns what the others must not hear late."""
        return self.draining, self._claims()

    def _claims(self) -> tuple[PartitionClaim, ...]:
        return tuple(
            PartitionClaim(one.partition.topic, one.partition.number, one.epoch)
            for one in self._ownership.owned.values()
            if one.ready
        )

    def _send_beat(self, daemons: list[Daemon], *, generation: int | None = None) -> None:
        self._sequence += 1
        speed = self._backend_reports.take_speed_to_tell()
        beat = Heartbeat(
            incarnation=self._own.incarnation,
            sequence=self._sequence,
            draining=self.draining,
            configuration_version=self._beliefs.configuration_version,
            generation=self._ownership.generation if generation is None else generation,
            claims=self._claims(),
            store_reachable=self._beliefs.store_reachable,
            engine_id=speed.backend_id if speed is not None else "",
            engine_event_us=round(1_000 * speed.event_interval_ms) if speed is not None else 0,
        )
        self._heartbeats.send(daemons, beat)

    def tell_crash(self, mark: str, backend_id: str) -> None:
        """Tells the others of a backend server that went down with a request."""
        self._heartbeats.send(self._members.others, CrashNotice(mark, backend_id))

    def tell_report(self, report: BackendReport) -> None:
        """Tells the others of a call that went wrong at a backend server."""
        self._heartbeats.send(self._members.others, report)

    def follow_isolation(self) -> None:
        """Owns nothing while no other daemon can reach this one.

        The store alone would leave the partitions here: their programs could go on only with
        callers that happen to be connected to this daemon.
        """
        isolated = self._members.is_isolated(now_ms())
        if isolated and len(self._ownership.owned) == self._partition_count:
            # Nobody else is there to own anything.
            isolated = False
        if isolated == self._ownership.is_aside or self.draining:
            return
        self._log.write_always("isolated" if isolated else "no longer isolated")
        if isolated:
            work = self._ownership.step_aside("isolated")
            self._stepping_aside = asyncio.get_running_loop().create_task(work)
        else:
            self._ownership.step_back()

    def _take_datagram(self, sender: str, message: Any) -> None:
        if isinstance(message, CrashNotice):
            self._crashes.note(message.fingerprint, message.backend_id, now_ms())
            return
        if isinstance(message, BackendReport):
            self._backend_reports.hear(sender, message)
            return
        if isinstance(message, SilenceNotice):
            self._hear_silence(sender, message)
            return
        if isinstance(message, SilenceQuestion):
            self._answer(sender)
            return
        if not isinstance(message, Heartbeat):
            return
        if self._beliefs.hear(sender, message):
            # It may not have heard of this daemon for as long.
            self.greet(self._members.entries[sender])
        if message.engine_id:
            self._backend_reports.hear_speed(message.engine_id, message.engine_event_us / 1_000)
        for claim in message.claims:
            self._ownership.yield_to(Partition(claim.topic, claim.number), claim.epoch)
        if message.generation > self._ownership.generation:
            self._ownership.renew_soon()

    def _answer(self, sender: str) -> None:
        """Shows the one who asks that this daemon lives, and nobody else.

        Told to all, the answers of a large group whose hosts are all short of processor time would
        take the rest of it.
        """
        asker = self._members.entries.get(sender)
        if asker is not None:
            self._send_beat([asker])

    def _hear_silence(self, sender: str, notice: SilenceNotice) -> None:
        if notice.member_id == self._own.member_id:
            self.announce()
        elif self._members.hear_silence(notice.member_id, notice.incarnation, now_ms()):
            self._log.write("daemon said to be silent", peer_id=notice.member_id, told_by=sender)
            silent = self._members.entries.get(notice.member_id)
            if silent is not None:
                self._on_silent(silent)
