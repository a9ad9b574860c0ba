"""Builds the components that serve programs across daemons, and dispatches their messages."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from quincespool.gateway.accounts.limits import AccountLimits
from quincespool.gateway.accounts.limits import LimitSettings
from quincespool.gateway.members.links import Links
from quincespool.gateway.members.messages import ConfigurationCopy
from quincespool.gateway.members.messages import ConfigurationQuestion
from quincespool.gateway.members.messages import FindTurn
from quincespool.gateway.members.messages import PermitAnswer
from quincespool.gateway.members.messages import PermitQuestion
from quincespool.gateway.members.messages import PermitReturn
from quincespool.gateway.members.messages import SettleTurn
from quincespool.gateway.members.messages import TurnAbsent
from quincespool.gateway.members.messages import TurnForeign
from quincespool.gateway.members.messages import TurnFound
from quincespool.gateway.members.messages import TurnSettled
from quincespool.gateway.store.configuration_copies import ConfigurationCopies
from quincespool.gateway.turns.admission import make_admission
from quincespool.gateway.turns.finder import TurnFinder
from quincespool.gateway.turns.history_memory import HistoryMemory
from quincespool.gateway.turns.history_memory import HistorySizes
from quincespool.gateway.turns.ownership import Ownership
from quincespool.gateway.turns.ownership import list_partitions
from quincespool.gateway.turns.ownership import partition_of
from quincespool.gateway.turns.relay import Relay
from quincespool.gateway.turns.runner import TurnRunner
from quincespool.gateway.turns.settlements import Settlements

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.backends.attempt import AttemptContext
    from quincespool.gateway.callers.routes import RouteTable
    from quincespool.gateway.members.links import Link
    from quincespool.gateway.members.member_table import MemberTable
    from quincespool.gateway.settings import GatewaySettings
    from quincespool.gateway.store.cluster_view import ClusterView
    from quincespool.gateway.store.hedged_requests import HedgedRequests
    from quincespool.gateway.store.interface import Store
    from quincespool.gateway.store.store_health import StoreHealth
    from quincespool.gateway.turns.partition import OwnedPartition
    from quincespool.net.held_memory import HeldMemory
    from quincespool.resource_limits import ResourceLimits


class ProgramComponents:
    """Builds the components and passes each message of another daemon to its handler.

    Attributes:
      partition_count: Number of partitions of program records, over all daemons.
      ownership: Which partitions this daemon owns.
      links: Connections to the other daemons.
      finder: Looks up turns at other owners.
      settlements: Appends records of turns whose partition was taken over.
      admission: Admission control of programs.
      turns: Runs turns at this daemon.
      relay: Forwards turns to the owners of their programs.
      limits: Limits of accounts.
      copies: Exchange of copies of the configuration.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        *,
        incarnation: int,
        store: Store,
        hedged: HedgedRequests,
        store_health: StoreHealth,
        memory: HeldMemory,
        resources: ResourceLimits,
        attempts: AttemptContext,
        members: MemberTable,
        routes: RouteTable,
        cluster_view: ClusterView,
        on_partition: Callable[[OwnedPartition, str], None],
        on_refused: Callable[[str], None],
        has_time_until: Callable[[int], bool],
        announce_claims: Callable[[], None],
    ) -> None:
        topics = settings.owner_topic_names
        partitions = list_partitions(topics, settings.store_partitions)
        log = attempts.log
        self.partition_count = len(partitions)
        self.ownership = Ownership(
            member_id=settings.member_id,
            incarnation=incarnation,
            topics=topics,
            lease_ms=settings.owner_lease_ms,
            store=store,
            hedged=hedged,
            store_reachable=lambda: store_health.reachable,
            on_change=on_partition,
            announce_claims=announce_claims,
            on_assignment=lambda generation, count: log.write(
                "partitions assigned", generation=generation, partitions=count
            ),
        )
        self.links = Links(
            settings.member_id,
            memory=memory,
            max_incoming=resources.incoming_links,
            on_message=self._dispatch_message,
            on_lost=self._on_link_lost,
            on_refused=on_refused,
        )
        self.finder = TurnFinder(
            partitions=partitions,
            members=members,
            ownership=self.ownership,
            links=self.links,
        )
        self.settlements = Settlements(
            members=members, ownership=self.ownership, links=self.links, log=log
        )
        self.admission = make_admission(
            is_controlled=settings.admission_control, log=log, metrics=attempts.metrics
        )
        self.turns = TurnRunner(
            attempts,
            settle_at_owner=self.settlements.settle_at_owner,
            finder=self.finder,
            store_reachable=lambda: store_health.reachable,
            admission=self.admission,
            histories=HistoryMemory(resources.history_bytes, measure=self._measure_histories),
        )
        self.relay = Relay(
            member_id=settings.member_id,
            partition_for=lambda program_id: partition_of(program_id, partitions),
            members=members,
            ownership=self.ownership,
            links=self.links,
            turns=self.turns,
            settlements=self.settlements,
            store_reachable=lambda: store_health.reachable,
            has_time_until=has_time_until,
            memory=memory,
            max_relayed=resources.relayed_calls,
            log=log,
        )
        self.limits = AccountLimits(
            member_id=settings.member_id,
            partitions=partitions,
            routes=routes,
            members=members,
            ownership=self.ownership,
            links=self.links,
            log=log,
            metrics=attempts.metrics,
            settings=LimitSettings(
                window_ms=1_000 * settings.limit_window_s,
                slack_calls=settings.limit_slack_calls,
                overage_share=settings.limit_overage_share,
            ),
        )
        self.copies = ConfigurationCopies(
            routes=routes,
            members=members,
            links=self.links,
            log=log,
            adopt=cluster_view.adopt_copy,
        )

    def _measure_histories(self) -> HistorySizes:
        sizes = [owned.ledger.history_sizes for owned in self.ownership.owned.values()]
        return HistorySizes(
            sum(one.all_bytes for one in sizes), sum(one.large_bytes for one in sizes)
        )

    def _dispatch_message(self, link: Link, sender: str, message: Any) -> None:
        if isinstance(message, FindTurn | TurnFound | TurnAbsent | TurnForeign):
            self.finder.on_message(link, message)
        elif isinstance(message, PermitQuestion | PermitAnswer | PermitReturn):
            self.limits.on_message(link, message)
        elif isinstance(message, ConfigurationQuestion | ConfigurationCopy):
            self.copies.on_message(link, sender, message)
        elif isinstance(message, SettleTurn | TurnSettled):
            self.settlements.on_message(link, message)
        else:
            self.relay.on_message(link, sender, message)

    def _on_link_lost(self, link: Link) -> None:
        self.relay.on_link_lost(link)
        self.settlements.on_link_lost(link)
        self.limits.on_lost(link)
