"""What the gateway's parts tell one another: calls, routes, backend servers, answers."""

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
    """What may be repeated: idempotent calls at will, others never once they may have run."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class Turn(NamedTuple):
    """One model call of a program.

    Attributes:
      program_id: The program; from the front on with its account, as `scoped_program` writes it.
      previous_id: Call id of the turn that this one continues; empty for the first of its line.
      budget_tokens: What all turns of the program together may generate; None if unlimited.
      most_tokens: The most that this turn generates.
      program_left_ms: Time until the program should be finished; None if it did not say.
    """

    program_id: str
    previous_id: str
    budget_tokens: int | None
    most_tokens: int
    program_left_ms: int | None


class Call(NamedTuple):
    """A caller's request.

    Attributes:
      call_id: Unique for each attempt of a caller.
      host: Host name that the caller addressed; selects the route together with the path.
      headers: Those that the backend server gets as the caller sent them.
      left_ms: How long the caller waits, from when the request was read.
      turn: Set if the call belongs to a program and generates tokens.
      program_id: The caller's program, also for calls that generate no tokens; empty if none.
      key_digest: Of the key that the caller sent; empty if none.
      resumes_after: Number of the last event of a stream that its caller has from an earlier call;
        None if it begins anew.
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


class Share(NamedTuple):
    """A service and its weight among those of a route."""

    service: str
    weight: int


class Route(NamedTuple):
    """Where calls with a host name and a path prefix go, and how long they may take.

    Attributes:
      rank: Importance; 0 goes first.
      patience_ms: How long callers wait for a stream's next event before they leave.
      max_attempts: Backend servers that one call may be sent to.
      keeps_history: Whether turns carry only their new input and the gateway adds what came before.
      retention_ms: How long a whole turn can be continued from.
      is_public: Whether callers need no key.
      is_resumable: Whether a stream that was broken off may go on at another backend server.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    shares: tuple[Share, ...]
    timeout_ms: int
    patience_ms: int
    rank: int
    max_attempts: int
    keeps_history: bool
    retention_ms: int
    is_public: bool = False
    is_resumable: bool = False


class Service(NamedTuple):
    """A group of like backend servers.

    Attributes:
      tokens_per_event: Generated tokens in each event of a stream; 0 for plain services.
    """

    name: str
    tokens_per_event: int


class CallerLimits(NamedTuple):
    """Bounds on what one caller may send, and how slowly."""

    max_head_bytes: int = 65_536
    max_body_bytes: int = 8_000_000
    head_ms: int = 10_000
    idle_ms: int = 75_000


class Account(NamedTuple):
    """A client account.

    Attributes:
      rank: Importance of its calls, in place of that of the route; None leaves that one.
      rate_per_s: Calls a second that it may have run, at all daemons together; 0 if unlimited.
      burst: Calls beyond the rate that it may have run at once.
    """

    name: str
    rank: int | None
    rate_per_s: float
    burst: int


class Accounts(NamedTuple):
    """The client accounts of a configuration.

    Attributes:
      by_name: All of them.
      by_key: Name of the account of each key, by the key's digest.
    """

    by_name: dict[str, Account]
    by_key: dict[str, str]


class Configuration(NamedTuple):
    """Everything that operators set, as of one version.

    Attributes:
      accounts: None where callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    accounts: Accounts | None = None


class BackendEntry(NamedTuple):
    """What a backend server says of itself.

    Attributes:
      backend_id: Stays the same where a backend server may start again under it.
      leaving: Whether it finishes what it has and takes nothing new.
      cold_ms: How much longer it is slow after its start.
      born_ms: When it started, by its own clock; None where no backend server starts again under
        the id that it had.
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
    def life(self) -> BackendLife:
        """Tells this process from earlier ones under the same id."""
        return BackendLife(self.backend_id, self.born_ms)


class BackendLife(NamedTuple):
    """One process of a backend server, from its start to its end.

    What it held, and how it fared, says nothing of the next one under the same id.
    """

    backend_id: str
    born_ms: int | None

    def __str__(self) -> str:
        """Returns a name for logs and messages."""
        return self.backend_id if self.born_ms is None else f"{self.backend_id}@{self.born_ms}"


class Daemon(NamedTuple):
    """Where another daemon can be reached.

    Attributes:
      incarnation: Start time of its process; a higher one replaces a lower one.
      caller_address: For callers.
      peer_address: For other daemons, TCP and UDP.
    """

    member_id: str
    incarnation: int
    zone: str
    caller_address: str
    peer_address: str


class Refusal(NamedTuple):
    """A final answer that the gateway gives by itself.

    Attributes:
      verdict: Whether the call may have run.
      reason: Short and constant, for logs and metrics.
      retry_after_ms: When to come back; 0 says nothing of it.
    """

    status: int
    verdict: Verdict
    reason: str
    retry_after_ms: int = 0


class Decision(NamedTuple):
    """Where the configuration in force sends one call.

    Attributes:
      rank: Importance of the account's calls on the route.
      account: Name of the caller's account; empty if there is none.
      is_pressed: Whether the account has used most of what it may have run.
    """

    version: int
    route: Route
    service: Service
    rank: Rank
    account: str = ""
    is_pressed: bool = False


class TurnTerms(NamedTuple):
    """What the owner of a program needs to know of the decision on a turn; travels with it.

    Attributes:
      version: Of the configuration that was in force where the turn came in.
      account: Name of the caller's account; empty if there is none.
      route: Name of the route that the turn came in on.
      service: Name of the service whose engines run it.
      tokens_per_event: Generated tokens in each event of its stream.
      rank: Importance.
      timeout_ms: The longest that operators want it kept waiting.
      patience_ms: How long callers wait for a stream's next event before they leave.
      max_attempts: Engines that it may be sent to.
      keeps_history: Whether the gateway adds what came before the turn.
      retention_ms: How long the turn can be continued from.
      is_resumable: Whether it may go on at another engine after it was broken off.
      is_pressed: Whether the account has used most of what it may have run.
    """

    version: int
    account: str
    route: str
    service: str
    tokens_per_event: int
    rank: Rank
    timeout_ms: int
    patience_ms: int
    max_attempts: int
    keeps_history: bool
    retention_ms: int
    is_resumable: bool
    is_pressed: bool


def make_terms(decision: Decision) -> TurnTerms:
    """Returns the part of a decision that a turn's owner needs."""
    route, service = decision.route, decision.service
    return TurnTerms(
        version=decision.version,
        account=decision.account,
        route=route.name,
        service=service.name,
        tokens_per_event=service.tokens_per_event,
        rank=decision.rank,
        timeout_ms=route.timeout_ms,
        patience_ms=route.patience_ms,
        max_attempts=route.max_attempts,
        keeps_history=route.keeps_history,
        retention_ms=route.retention_ms,
        is_resumable=route.is_resumable,
        is_pressed=decision.is_pressed,
    )


def digest_key(key: str) -> str:
    """Returns what stands for a caller's key everywhere behind the front.

    A key that were kept itself would get into logs, dumps and messages.
    """
    return hashlib.blake2b(key.encode(), digest_size=16).hexdigest()


def scoped_program(account: str, program_id: str) -> str:
    """Returns a program's id among those of all accounts.

    Neither an account's name nor a program's id has spaces in it. Without the account, a caller of
    one account that names a program of another would go on with its history and its budget.
    """
    return f"{account} {program_id}" if account else program_id


def account_of(program_id: str) -> str:
    """Returns the account in what `scoped_program` has returned, empty if there is none."""
    account, space, _ = program_id.partition(" ")
    return account if space else ""


# Of a call that has met a fault of this program.
FAILED = "failed"


def not_run(reason: str, *, retry_after_ms: int = 0, status: int = 503) -> Refusal:
    """Returns the refusal of a call that has not run and never will."""
    return Refusal(status, Verdict.NOT_RUN, reason, retry_after_ms)


def may_have_run(reason: str, *, status: int = 502) -> Refusal:
    """Returns the final answer to a call whose effect is not known."""
    return Refusal(status, Verdict.MAY_HAVE_RUN, reason)
