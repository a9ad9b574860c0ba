"""The gateway daemon: creates its components, starts them and stops them in order."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING
from typing import Any

from quincespool.gateway.backends.attempt import AttemptContext
from quincespool.gateway.backends.backend_table import BackendTable
from quincespool.gateway.backends.crashes import CrashHistory
from quincespool.gateway.backends.pool import ConnectionPool
from quincespool.gateway.backends.quiet import QuietBackendProbe
from quincespool.gateway.backends.reports import BackendReports
from quincespool.gateway.callers.caller_limits import connection_limits
from quincespool.gateway.callers.http_port import HttpPort
from quincespool.gateway.callers.plain_calls import PlainCallHandler
from quincespool.gateway.callers.request_handler import RequestHandler
from quincespool.gateway.callers.routes import RouteTable
from quincespool.gateway.callers.service_slots import ServiceSlots
from quincespool.gateway.callers.side_ports import SidePorts
from quincespool.gateway.callers.side_ports import make_side_ports
from quincespool.gateway.clock import now_ms
from quincespool.gateway.futures import run_with_restarts
from quincespool.gateway.live_settings import LiveSettings
from quincespool.gateway.maintenance import MaintenanceTasks
from quincespool.gateway.members.member_table import MemberTable
from quincespool.gateway.members.presence import Presence
from quincespool.gateway.model import Daemon
from quincespool.gateway.planned_stop import PlannedStop
from quincespool.gateway.store.cluster_view import ClusterView
from quincespool.gateway.store.hedged_requests import HedgedRequests
from quincespool.gateway.store.store_health import StoreHealth
from quincespool.gateway.ticker import Ticker
from quincespool.gateway.turns.program_components import ProgramComponents
from quincespool.gateway.turns.renewal import ProgramRenewer
from quincespool.gateway.turns.trimming import LogTrimmer
from quincespool.net.addresses import split_address
from quincespool.net.connection_limits import default_limits
from quincespool.net.connection_table import ConnectionTable
from quincespool.net.held_memory import HeldMemory
from quincespool.net.metrics import Metrics
from quincespool.resource_limits import make_resource_limits

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from quincespool.gateway.decision_log import DecisionLog
    from quincespool.gateway.members.messages import BackendReport
    from quincespool.gateway.platform_codec import PlatformCodec
    from quincespool.gateway.settings import GatewaySettings
    from quincespool.gateway.store.interface import Store
    from quincespool.gateway.turns.partition import OwnedPartition


class GatewayDaemon:
    """One gateway daemon with all its components.

    Attributes:
      stopped: Set when a planned stop is complete.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        *,
        load_settings: Callable[[], GatewaySettings],
        make_store: Callable[[Callable[[str, str], None]], Store],
        codec: PlatformCodec,
        log: DecisionLog,
    ) -> None:
        self._settings = settings
        self._live_settings = LiveSettings(settings, load=load_settings, log=log)
        self._codec = codec
        self._log = log
        self._incarnation = time.time_ns() // 1_000
        self.stopped = asyncio.Event()
        self._tasks: list[asyncio.Task[Any]] = []
        self._ticker = Ticker()
        self._metrics = Metrics()
        self._hedged_requests = HedgedRequests(
            on_hedge=lambda: self._metrics.count("gateway_store_hedges_total")
        )
        self._store_health = StoreHealth(log, now_ms, on_recovery=self._hedged_requests.resend_all)
        self._store = make_store(self._record_store_call)
        self._resources = make_resource_limits(
            memory_mb=settings.memory_mb, max_descriptors=settings.max_descriptors
        )
        self._held_memory = HeldMemory(self._resources.held_bytes)
        self._make_cluster_view()
        self._make_program_components()
        self._make_ports()
        self._register_gauges()

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then shuts down gracefully; SIGHUP reloads the settings.

        Raises:
          OSError: If a port cannot be bound.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.begin_stop)
        loop.add_signal_handler(signal.SIGHUP, self._live_settings.reload)
        await self.start()
        await self.stopped.wait()
        await self.close()

    def _make_cluster_view(self) -> None:
        settings = self._settings
        self._routes = RouteTable(is_store_responsive=lambda: self._store_health.is_responsive)
        self._backends = BackendTable(zone=settings.zone, seed=self._incarnation)
        self._pool = ConnectionPool(
            on_open=lambda: self._metrics.count("gateway_backend_connections_total")
        )
        self._members = MemberTable(settings.member_id)
        self._crashes = CrashHistory()
        self._backend_reports = BackendReports(
            settings.member_id,
            backends=self._backends,
            log=self._log,
            metrics=self._metrics,
            send=self._send_backend_report,
        )
        self._attempt_context = AttemptContext(
            self._backends,
            self._pool,
            self._codec,
            self._log,
            self._metrics,
            self._crashes,
            self._announce_crash,
            self._backend_reports,
            self._held_memory,
        )
        self._cluster_view = ClusterView(
            member_id=settings.member_id,
            incarnation=self._incarnation,
            store=self._store,
            store_health=self._store_health,
            codec=self._codec,
            routes=self._routes,
            backends=self._backends,
            pool=self._pool,
            members=self._members,
            log=self._log,
            now_ms=now_ms,
            configuration_apply_ms=settings.configuration_apply_ms,
            backends_interval_ms=lambda: self._live_settings.current.backends_interval_ms,
            on_new_daemon=self._greet_daemon,
            on_newer_configuration=self._on_newer_configuration,
            on_configuration_adopted=self._on_configuration_adopted,
            on_refreshed=self._resume_callers,
            on_predecessor=self._release_predecessor,
        )

    def _make_program_components(self) -> None:
        settings = self._settings
        self._program_components = ProgramComponents(
            settings,
            incarnation=self._incarnation,
            store=self._store,
            hedged=self._hedged_requests,
            store_health=self._store_health,
            memory=self._held_memory,
            resources=self._resources,
            attempts=self._attempt_context,
            members=self._members,
            routes=self._routes,
            cluster_view=self._cluster_view,
            on_partition=self._on_partition_change,
            on_refused=self._on_peer_refused,
            has_time_until=self._allows_deadline,
            announce_claims=self._announce_claims,
        )
        self._ownership = self._program_components.ownership
        self._links = self._program_components.links
        self._presence = Presence(
            Daemon(
                member_id=settings.member_id,
                incarnation=self._incarnation,
                zone=settings.zone,
                caller_address=settings.caller_address,
                peer_address=settings.peer_address,
            ),
            codec=self._codec,
            members=self._members,
            cluster_view=self._cluster_view,
            ownership=self._ownership,
            partition_count=self._program_components.partition_count,
            crashes=self._crashes,
            backend_reports=self._backend_reports,
            log=self._log,
            on_silent=lambda daemon: self._links.close_if_dead(daemon.peer_address),
        )

    # The components refer to one another in cycles, so their callbacks go through these methods.

    def _announce_crash(self, mark: str, backend_id: str) -> None:
        self._presence.announce_crash(mark, backend_id)

    def _send_backend_report(self, report: BackendReport) -> None:
        self._presence.announce_backend_report(report)

    def _greet_daemon(self, daemon: Daemon) -> None:
        self._presence.send_heartbeat_to(daemon)

    def _on_peer_refused(self, peer_address: str) -> None:
        self._presence.record_refused_connection(peer_address)

    def _on_newer_configuration(self, peer_id: str, version: int) -> None:
        self._program_components.copies.on_peer_version(peer_id, version)

    def _on_configuration_adopted(self) -> None:
        assert self._routes.configuration is not None
        self._caller_port.apply_limits(connection_limits(self._routes.configuration.limits))
        self._program_components.copies.on_configuration_adopted()

    def _resume_callers(self) -> None:
        self._caller_port.resume()

    def _announce_claims(self) -> None:
        self._presence.send_claims()

    def _allows_deadline(self, until_ms: int) -> bool:
        return self._planned_stop.allows_deadline(until_ms)

    def _release_predecessor(self, incarnation: int) -> None:
        """Releases partitions that this daemon's previous process still held when it crashed."""
        self._start_task(self._ownership.release(self._settings.member_id, incarnation))

    def _make_ports(self) -> None:
        settings = self._settings
        request_handler = RequestHandler(
            self._attempt_context,
            routes=self._routes,
            limits=self._program_components.limits,
            plain_calls=PlainCallHandler(self._attempt_context),
            relay=self._program_components.relay,
            service_slots=ServiceSlots(self._resources.calls_per_service),
            has_time_until=self._allows_deadline,
        )
        self._caller_port = HttpPort(
            request_handler,
            limits=default_limits(),
            memory=self._held_memory,
            connections=ConnectionTable(self._resources.caller_connections),
            metrics=self._metrics,
            may_take=self._cluster_view.refresh.is_current,
        )
        side = SidePorts(
            codec=self._codec,
            metrics=self._metrics,
            is_ready=self._is_ready,
            addresses=self._caller_addresses,
            addresses_valid_ms=lambda: self._live_settings.current.addresses_valid_ms,
            dump=self._dump,
        )
        self._side_ports = make_side_ports(
            side,
            count=len(settings.side_addresses),
            memory=self._held_memory,
            max_connections=self._resources.side_connections,
            metrics=self._metrics,
        )

        self._maintenance = MaintenanceTasks(
            cluster_view=self._cluster_view,
            presence=self._presence,
            members=self._members,
            links=self._links,
            ownership=self._ownership,
            turns=self._program_components.turns,
            quiet_backends=QuietBackendProbe(self._attempt_context),
            renewals=ProgramRenewer(
                store_retention_ms=int(1_000 * settings.store_retention_s), metrics=self._metrics
            ),
            trimming=LogTrimmer(
                partition_count=self._program_components.partition_count,
                store_full=lambda: self._store_health.full,
                metrics=self._metrics,
            ),
        )
        self._planned_stop = PlannedStop(
            ownership=self._ownership,
            presence=self._presence,
            caller_port=self._caller_port,
            relay=self._program_components.relay,
            members=self._members,
            live_settings=self._live_settings,
            log=self._log,
        )

    def _register_gauges(self) -> None:
        self._metrics.watch("http_connections", lambda: self._caller_port.connection_count)
        self._metrics.watch("held_bytes", lambda: self._held_memory.held_bytes)
        self._metrics.watch("shed_connections_total", lambda: self._held_memory.shed_connections)
        self._metrics.watch(
            "gateway_configuration_unread_ms", self._cluster_view.configuration.unread_ms
        )
        self._metrics.watch("processor_seconds", time.process_time)
        self._metrics.watch("ready", lambda: float(self._is_ready()))
        self._metrics.watch("gateway_store_full", lambda: float(self._store_health.full))
        self._metrics.watch("gateway_partitions", lambda: len(self._ownership.owned))

    async def start(self) -> None:
        """Binds the ports and starts the tasks that follow the store.

        Raises:
          OSError: If a port cannot be bound.
        """
        settings = self._settings
        await self._links.start(settings.host, settings.peer_port)
        await self._presence.start(settings.host, settings.peer_port)
        await self._caller_port.start(*split_address(settings.caller_address))
        for port, address in zip(self._side_ports, settings.side_addresses, strict=True):
            await port.start(*split_address(address))
        self._log.write_always("started", incarnation=self._incarnation)
        for task_name, make_work in (
            ("configuration", self._cluster_view.configuration.run),
            ("backend entries", self._cluster_view.backend_entries.run),
            ("daemon entries", self._cluster_view.daemon_entries.run),
            ("ownership", self._run_ownership_when_routable),
            ("link probes", self._links.probe),
            ("registration", lambda: self._presence.register(self._store)),
        ):
            self._start_task(run_with_restarts(task_name, make_work, self._log))
        self._maintenance.subscribe(self._ticker)

    async def _run_ownership_when_routable(self) -> None:
        """Acquires partitions only once calls can be routed.

        After a restart of all daemons, reading partitions takes most of the store's bandwidth. A
        daemon without a configuration would wait for it for up to a second while the other daemons
        read their partitions.
        """
        await self._cluster_view.wait_until_routable()
        await self._ownership.run()

    def begin_stop(self) -> None:
        """Begins a planned stop; `stopped` is set once no requests are in flight."""
        if self._planned_stop.begin():
            self._start_task(self._drain())

    async def _drain(self) -> None:
        try:
            await self._planned_stop.drain()
        finally:
            # If draining fails, the process must still end without being killed.
            self.stopped.set()

    async def close(self) -> None:
        """Closes the ports and the links to other daemons, and cancels all tasks."""
        self._caller_port.stop()
        self._log.write_always("stopped", under_way=self._planned_stop.in_flight)
        self._ticker.stop()
        for port in self._side_ports:
            port.stop()
        self._links.stop()
        self._presence.stop()
        for task in self._tasks:
            task.cancel()

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(work))

    def _is_ready(self) -> bool:
        return self._cluster_view.can_route_calls and not self._presence.draining

    def _caller_addresses(self, zone: str) -> list[str]:
        own_serves = self._is_ready()
        return self._members.caller_addresses(now_ms(), own_serves=own_serves, zone=zone)

    def _record_store_call(self, path: str, status: str) -> None:
        self._metrics.count("gateway_store_calls_total", path=path, status=status)
        self._store_health.record_status(status)

    def _on_partition_change(self, owned: OwnedPartition, detail: str) -> None:
        self._log.write("partition", **owned.dump(), lost=owned.lost, detail=detail)
        if owned.lost:
            self._ownership.on_partition_lost(owned)
        elif owned.ready:
            self._presence.announce()

    def _dump(self) -> dict[str, object]:
        return {
            "member_id": self._settings.member_id,
            "incarnation": self._incarnation,
            "draining": self._presence.draining,
            "generation": self._ownership.generation,
            "account_levels": self._program_components.limits.dump(),
            "engine_slowness": self._backends.slowness_by_engine(),
            "turn_waits_ms": self._program_components.admission.dump(),
            "partitions": [one.dump() for one in self._ownership.owned.values()],
            "retired_partitions": [one.dump() for one in self._ownership.ready_retired],
            **self._cluster_view.dump(),
        }
