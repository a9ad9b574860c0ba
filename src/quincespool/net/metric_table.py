"""The names of all metrics. A metric that is not listed here cannot be counted."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple


class MetricSpec(NamedTuple):
    """Kind and help text of one metric."""

    kind: Literal["counter", "histogram", "gauge"]
    help: str


METRICS: dict[str, MetricSpec] = {
    "http_requests_total": MetricSpec("counter", "Answered requests by status."),
    "http_refused_connections_total": MetricSpec("counter", "Connections beyond the bound."),
    "http_dropped_connections_total": MetricSpec("counter", "Callers that read too slowly."),
    "held_bytes": MetricSpec("gauge", "Memory that others make the daemon hold, at most."),
    "shed_connections_total": MetricSpec("counter", "Connections closed as they held most of it."),
    "http_connections": MetricSpec("gauge", "Open connections of callers and operators."),
    "http_response_ms": MetricSpec("histogram", "From a whole request to its whole answer."),
    "exchanges_total": MetricSpec("counter", "Requests to backend servers by how they ended."),
    "exchanges": MetricSpec("gauge", "Requests to backend servers under way."),
    "log_appends_total": MetricSpec("counter", "Appends to the log by how they ended."),
    "log_reads_total": MetricSpec("counter", "Reads of the log by how they ended."),
    "log_bytes_sent_total": MetricSpec("counter", "Bytes to the log service."),
    "log_bytes_received_total": MetricSpec("counter", "Bytes from the log service."),
    "link_messages_sent_total": MetricSpec("counter", "Messages to other daemons."),
    "link_messages_received_total": MetricSpec("counter", "Messages from other daemons."),
    "link_bytes_sent_total": MetricSpec("counter", "Bytes to other daemons over TCP."),
    "link_bytes_received_total": MetricSpec("counter", "Bytes from other daemons over TCP."),
    "link_losses_total": MetricSpec("counter", "Links that broke or could not be made."),
    "datagram_bytes_sent_total": MetricSpec("counter", "Bytes of membership datagrams."),
    "datagram_bytes_received_total": MetricSpec("counter", "Bytes of membership datagrams."),
    "undecoded_total": MetricSpec("counter", "Messages and datagrams that were dropped unread."),
    "event_failures_total": MetricSpec("counter", "Events whose handling raised an exception."),
    "effect_failures_total": MetricSpec("counter", "Effects that could not be carried out."),
    "ready": MetricSpec("gauge", "1 when the daemon has read what it needs to serve."),
    "processor_seconds": MetricSpec("gauge", "Processor time of the process."),
    "resident_bytes": MetricSpec("gauge", "Memory of the process."),
    "frontdoor_requests_total": MetricSpec("counter", "Requests of callers taken in."),
    "frontdoor_request_ms": MetricSpec("histogram", "From a request to its answer."),
    "frontdoor_no_owner_total": MetricSpec("counter", "Requests for which no owner was found."),
    "owner_attempts_total": MetricSpec("counter", "Attempts handed to keepers."),
    "owner_outcomes_total": MetricSpec("counter", "Outcomes read back from the log."),
    "owner_call_ms": MetricSpec("histogram", "From a call at its owner to its outcome."),
    "owner_unresolved_total": MetricSpec("counter", "Calls found with an intent but no outcome."),
    "owner_permits_total": MetricSpec("counter", "Permits of accounts: at once, waited, refused."),
    "tokens_total": MetricSpec("counter", "Generated tokens."),
    "prompt_tokens_total": MetricSpec("counter", "Prompt tokens."),
    "cached_tokens_total": MetricSpec("counter", "Prompt tokens that a cache held already."),
    "keeper_started_total": MetricSpec("counter", "Attempts sent to backend servers, by kind."),
    "keeper_finished_total": MetricSpec("counter", "Attempts that are over, by verdict."),
    "keeper_refused_total": MetricSpec("counter", "Attempts that were not run, by reason."),
    "keeper_duplicates_total": MetricSpec("counter", "Attempts that came a second time."),
    "keeper_crashes_total": MetricSpec("counter", "Attempts cut off by their backend server."),
    "keeper_fenced_total": MetricSpec("counter", "Orders refused for an old fencing number."),
    "keeper_orphans_total": MetricSpec("counter", "Attempts whose owner has gone."),
    "keeper_waiting": MetricSpec("histogram", "Attempts found waiting by a new one."),
    "keeper_queue_wait_ms": MetricSpec("histogram", "Time of an attempt in a keeper's queue."),
    "keeper_run_ms": MetricSpec("histogram", "Time of an attempt on a backend server."),
    "cache_audits_total": MetricSpec("counter", "Listings of what engines hold in their cache."),
    "cache_released_total": MetricSpec("counter", "Releases of cache of ended programs."),
    "quarantine_crashes_total": MetricSpec("counter", "Crashes counted against requests."),
    "quarantine_cleared_total": MetricSpec("counter", "Requests taken out of quarantine."),
    "quarantine_append_retries_total": MetricSpec("counter", "Appends to the quarantine again."),
    "catalogue_edits_total": MetricSpec("counter", "Edits of the catalogue, by verdict."),
    "catalogue_lag_ms": MetricSpec(
        "histogram", "Time since the catalogue was last read to its end."
    ),
    "catalogue_adopted_total": MetricSpec("counter", "Catalogues taken over from other daemons."),
    "catalogue_checkpoints_total": MetricSpec("counter", "Checkpoints of the catalogue written."),
    "accounts_extents_total": MetricSpec("counter", "Shares of account limits written."),
    "ledger_checkpoints_total": MetricSpec("counter", "Checkpoints of ledgers written."),
    "claims_written_total": MetricSpec("counter", "Claims and yields written."),
    "commit_appends_total": MetricSpec("counter", "Batches appended to program streams."),
    "commit_groups_total": MetricSpec("counter", "Groups in these batches."),
    "commit_append_failed_total": MetricSpec("counter", "Appends of batches that failed."),
    "commit_resends_total": MetricSpec("counter", "Groups sent again to the log."),
    "ledger_void_entries_total": MetricSpec("counter", "Entries read that do not count."),
    "gateway_configuration_unread_ms": MetricSpec(
        "gauge", "Since the store last answered a read of the configuration."
    ),
    "gateway_calls_total": MetricSpec("counter", "Calls of callers by how they ended."),
    "gateway_call_ms": MetricSpec("histogram", "From a whole request to the end of its answer."),
    "gateway_streams_broken_total": MetricSpec(
        "counter", "Runs of resumable streams that broke off, by route."
    ),
    "gateway_turn_wait_ms": MetricSpec("histogram", "Expected wait of turns for engines."),
    "gateway_programs_refused_total": MetricSpec(
        "counter", "First turns refused since their programs could not end in time, by route."
    ),
    "gateway_record_ms": MetricSpec("histogram", "From a whole turn to its durable record."),
    "gateway_attempts_total": MetricSpec("counter", "Attempts at backend servers by outcome."),
    "gateway_backend_reports_total": MetricSpec(
        "counter", "Calls that went wrong and were told to the other daemons, by reason."
    ),
    "gateway_outliers_total": MetricSpec(
        "counter", "Times that a backend server was passed over for what all daemons told."
    ),
    "gateway_backend_connections_total": MetricSpec("counter", "New connections to them."),
    "gateway_store_calls_total": MetricSpec("counter", "Requests to the store by path and status."),
    "gateway_programs_renewed_total": MetricSpec(
        "counter", "Programs written again before the store drops their oldest records."
    ),
    "gateway_log_trims_total": MetricSpec(
        "counter", "Times that records which no program needs were deleted from the store."
    ),
    "gateway_store_full": MetricSpec("gauge", "1 while the store has no room for appends."),
    "gateway_store_hedges_total": MetricSpec("counter", "Requests to it sent once more."),
    "gateway_limits_total": MetricSpec("counter", "Calls of limited accounts by what was decided."),
    "gateway_limit_ms": MetricSpec("histogram", "From a call of a limited account to its permit."),
    "gateway_partitions": MetricSpec("gauge", "Partitions of programs owned."),
}
