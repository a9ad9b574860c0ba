"""Data types that the gateway's modules share: calls, routes, backend servers, refusals."""

from __future__ import annotations

import hashlib
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.verdict import Verdict

if TYPE_CHECKING:
    from quincespool.policy.urgency import Rank

Headers = tuple[tuple[str, str], ...]


class CallKind(StrEnum):
    """Whether a call may be retried: idempotent ones always, others only if they have not run."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class Turn(NamedTuple):
    """One model call of a program.

    Attributes:
      program_id: The program's id; the request handler prefixes it with the caller's account, see
        `scoped_program`.
      previous_id: Call id of the turn that this one continues; empty if it continues none.
      budget_tokens: Tokens that all turns of the program together may generate; None if unlimited.
      max_tokens: Upper bound on the tokens that this turn generates.
      program_left_ms: Time until the program's deadline; None if the caller gave no deadline.
    """

    program_id: str
    previous_id: str
    budget_tokens: int | None
    max_tokens: int
    program_left_ms: int | None


class Call(NamedTuple):
    """A caller's request.

    Attributes:
      call_id: Unique for each attempt of a caller.
      host: Host name that the caller addressed; selects the route together with the path.
      headers: Headers that are forwarded to the backend server unchanged.
      left_ms: How long the caller waits for the answer, counted from when the request was read.
      turn: Set if the call belongs to a program and generates tokens.
      program_id: The caller's program, also for calls that generate no tokens; empty if none.
      key_digest: Digest of the API key that the caller sent; empty if it sent none.
      resumes_after: Number of the last stream event that the caller received from an earlier call;
        None if the stream starts from its first event.
    """

    call_id: str
    method: str
    host: str
    target: str
    headers: Headers
    body: bytes
    left_ms: int
    turn: Turn | None
    program_id: str = ""
    key_digest: str = ""
    resumes_after: int | None = None


class WeightedService(NamedTuple):
    """A service of a route and its weight among the route's services."""

    service: str
    weight: int


class Route(NamedTuple):
    """The services for calls with a host name and a path prefix, and limits of these calls.

    Attributes:
      max_event_gap_ms: How long callers wait for a stream's next event before they disconnect.
      rank: Priority; 0 is the highest.
      max_attempts: Number of backend servers that one call may be sent to.
      keeps_history: Whether turns carry only their new input and the gateway prepends the program's
        history.
      retention_ms: How long later turns can continue from a completed turn.
      is_public: Whether callers may omit the API key.
      is_resumable: Whether an interrupted stream may be resumed at another backend server.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    weighted_services: tuple[WeightedService, ...]
    timeout_ms: int
    max_event_gap_ms: int
    rank: int
    max_attempts: int
    keeps_history: bool
    retention_ms: int
    is_public: bool = False
    is_resumable: bool = False


class Service(NamedTuple):
    """A group of interchangeable backend servers.

    Attributes:
      tokens_per_event: Generated tokens in each event of a stream; 0 for services that generate no
        tokens.
    """

    name: str
    tokens_per_event: int


class CallerLimits(NamedTuple):
    """Limits on the size of a caller's requests and on how slowly it may send them.

    Attributes:
      max_head_bytes: Size of the request line and headers.
      max_body_bytes: Size of the body.
      head_timeout_ms: Time to send the request line and headers.
      idle_timeout_ms: How long a connection may stay idle between requests.
    """

    max_head_bytes: int = 65_536
    max_body_bytes: int = 8_000_000
    head_timeout_ms: int = 10_000
    idle_timeout_ms: int = 75_000


class Account(NamedTuple):
    """A client account.

    Attributes:
      rank: Priority of its calls, which overrides the route's; None to use the route's.
      rate_per_s: Calls per second that it may run, across all daemons; 0 if unlimited.
      burst: Calls that it may run at once in excess of the rate.
    """

    name: str
    rank: int | None
    rate_per_s: float
    burst: int


class Accounts(NamedTuple):
    """The client accounts of a configuration.

    Attributes:
      by_name: All accounts, by name.
      by_key: Account names, by the digests of their API keys.
    """

    by_name: dict[str, Account]
    by_key: dict[str, str]


class Configuration(NamedTuple):
    """One version of the configuration that operators write.

    Attributes:
      accounts: None if callers need no API keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    accounts: Accounts | None = None


class BackendEntry(NamedTuple):
    """The entry in the store in which a backend server describes itself.

    Attributes:
      backend_id: May stay the same when the backend server restarts.
      leaving: Whether it drains: it finishes its calls in progress and accepts no new ones.
      cold_ms: How much longer it is slow because it has just started.
      born_ms: When it started, by its own clock; None on platforms where a restarted backend server
        always gets a new id.
    """

    backend_id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    cold_ms: int
    born_ms: int | None = None

    @property
    def incarnation(self) -> BackendIncarnation:
        """Identifies this process among all that have used the same backend id."""
        return BackendIncarnation(self.backend_id, self.born_ms)


class BackendIncarnation(NamedTuple):
    """One process of a backend server, from its start to its end.

    The cache and the failures of one incarnation do not apply to the next one with the same id.
    """

    backend_id: str
    born_ms: int | None

    def __str__(self) -> str:
        """Returns the name that logs and messages use."""
        return self.backend_id if self.born_ms is None else f"{self.backend_id}@{self.born_ms}"


class Daemon(NamedTuple):
    """The addresses of a daemon.

    Attributes:
      incarnation: Start time of its process in microseconds, by the time of day of its host. The
        newest entry in the store replaces earlier ones, even if its incarnation is lower.
      caller_address: Address for callers.
      peer_address: Address for other daemons, both TCP and UDP.
    """

    member_id: str
    incarnation: int
    zone: str
    caller_address: str
    peer_address: str


class Refusal(NamedTuple):
    """A final error answer that the gateway itself generates.

    Attributes:
      verdict: Whether the call may have run.
      reason: Short constant text for logs and metrics.
      retry_after_ms: When the caller should retry; 0 if the answer carries no such hint.
    """

    status: int
    verdict: Verdict
    reason: str
    retry_after_ms: int = 0


class Decision(NamedTuple):
    """The routing decision for one call, by the configuration in force.

    Attributes:
      version: Version of that configuration.
      rank: Priority of the account's calls on the route.
      account: Name of the caller's account; empty if there is none.
      is_near_limit: Whether the account has used half of its token bucket or more.
    """

    version: int
    route: Route
    service: Service
    rank: Rank
    account: str = ""
    is_near_limit: bool = False


class TurnParameters(NamedTuple):
    """The part of a routing decision that the owner of a program needs; sent along with the turn.

    Attributes:
      version: Version of the configuration that was in force at the daemon that received the turn.
      account: Name of the caller's account; empty if there is none.
      route: Name of the route that the turn was received on.
      service: Name of the service whose engines run it.
      tokens_per_event: Generated tokens in each event of its stream.
      rank: Priority; 0 is the highest.
      timeout_ms: The longest that the route's calls may take.
      max_event_gap_ms: How long callers wait for a stream's next event before they disconnect.
      max_attempts: Number of engines that it may be sent to.
      keeps_history: Whether the gateway prepends the program's history to the turn's input.
      retention_ms: How long later turns can continue from the turn once it is complete.
      is_resumable: Whether an interrupted stream may be resumed at another engine.
      is_near_limit: Whether the account has used half of its token bucket or more.
    """

    version: int
    account: str
    route: str
    service: str
    tokens_per_event: int
    rank: Rank
    timeout_ms: int
    max_event_gap_ms: int
    max_attempts: int
    keeps_history: bool
    retention_ms: int
    is_resumable: bool
    is_near_limit: bool


def make_turn_parameters(decision: Decision) -> TurnParameters:
    """Returns the part of a routing decision that a turn's owner needs."""
    route, service = decision.route, decision.service
    return TurnParameters(
        version=decision.version,
        account=decision.account,
        route=route.name,
        service=service.name,
        tokens_per_event=service.tokens_per_event,
        rank=decision.rank,
        timeout_ms=route.timeout_ms,
        max_event_gap_ms=route.max_event_gap_ms,
        max_attempts=route.max_attempts,
        keeps_history=route.keeps_history,
        retention_ms=route.retention_ms,
        is_resumable=route.is_resumable,
        is_near_limit=decision.is_near_limit,
    )


def digest_key(key: str) -> str:
    """Returns the digest that replaces a caller's API key once its request has been read.

    The key itself would appear in logs, dumps and messages between daemons.
    """
    return hashlib.blake2b(key.encode(), digest_size=16).hexdigest()


def scoped_program(account: str, program_id: str) -> str:
    """Returns a program id that is unique across accounts.

    Neither account names nor program ids contain spaces. Without the account, a caller of one
    account that names a program of another would continue its history and use its budget.
    """
    return f"{account} {program_id}" if account else program_id


def account_of(program_id: str) -> str:
    """Returns the account of an id that `scoped_program` returned; empty if there is none."""
    account, space, _ = program_id.partition(" ")
    return account if space else ""


# Reason of the refusal when a call failed because of a bug in the gateway.
FAILED = "failed"
# Reason of the refusal when the host has no memory left for a call.
MEMORY_SHORT = "memory_short"
# Reason of the refusal when the time limit of a call is over.
TIMEOUT = "timeout"


def not_run(reason: str, *, retry_after_ms: int = 0, status: int = 503) -> Refusal:
    """Returns the refusal of a call that has not run and will not."""
    return Refusal(status, Verdict.NOT_RUN, reason, retry_after_ms)


def may_have_run(reason: str, *, status: int = 502) -> Refusal:
    """Returns the refusal of a call that may have run, with an unknown result."""
    return Refusal(status, Verdict.MAY_HAVE_RUN, reason)
