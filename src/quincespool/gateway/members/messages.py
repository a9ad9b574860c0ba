"""Messages between gateway daemons; `schema/gateway.capnp` has the same structs."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple
from typing import get_args

import quincespool.schema
from quincespool.net.struct_codec import StructCodec


class PartitionClaim(NamedTuple):
    """A partition that the sender owns, and the epoch under which it writes to it."""

    topic: str
    number: int
    epoch: int


class Heartbeat(NamedTuple):
    """State of the sender, sent as a datagram; each one replaces the sender's previous one.

    Attributes:
      incarnation: Start time of the sender's process.
      sequence: Number of the heartbeat within the incarnation.
      generation: Generation of the consumer group that the sender knows.
      engine_id: An engine whose speed differs from other engines; empty if none is reported.
      engine_event_us: Mean time between the events of a stream of that engine, in microseconds.
      retired_claims: Partitions that the sender has given up and writes until another daemon takes
        them over.
    """

    incarnation: int
    sequence: int
    draining: bool
    configuration_version: int
    generation: int
    claims: tuple[PartitionClaim, ...]
    store_reachable: bool
    engine_id: str = ""
    engine_event_us: int = 0
    retired_claims: tuple[PartitionClaim, ...] = ()


class HeaderPair(NamedTuple):
    """Name and value of one HTTP header."""

    name: str
    value: str


class RelayCall(NamedTuple):
    """A turn that is relayed to the owner of its program; -1 stands for an absent number.

    Attributes:
      kind: Kind of the route, for daemons of earlier releases; turns are always streams.
    """

    relay_id: int
    call_id: str
    method: str
    host: str
    target: str
    headers: tuple[HeaderPair, ...]
    body: bytes
    left_ms: int
    program_id: str
    previous_id: str
    budget_tokens: int
    most_tokens: int
    program_left_ms: int
    configuration_version: int
    kind: str
    timeout_ms: int
    patience_ms: int
    rank: int
    max_attempts: int
    keeps_history: bool
    retention_ms: int
    service: str
    tokens_per_event: int
    account: str
    route: str
    resumable: bool
    resumes_after: int
    route_rank: int
    pressed: bool


class RelayCancel(NamedTuple):
    """Cancels a relayed call: its caller has disconnected, or the sender has stopped waiting."""

    relay_id: int


class RelayHead(NamedTuple):
    """Status and headers of the answer to a relayed call."""

    relay_id: int
    status: int
    headers: tuple[HeaderPair, ...]


class RelayPiece(NamedTuple):
    """A chunk of the answer's body."""

    relay_id: int
    data: bytes


class RelayEnd(NamedTuple):
    """Ends a complete answer."""

    relay_id: int


class RelayRefused(NamedTuple):
    """Refusal by the owner itself; after a `RelayHead` it means that the answer is incomplete."""

    relay_id: int
    status: int
    verdict: str
    reason: str
    retry_after_ms: int


class SettleTurn(NamedTuple):
    """A record of a turn whose daemon has lost ownership of the partition while it ran.

    Attributes:
      budget_tokens: Token budget of the turn's program; -1 if unlimited.
    """

    settle_id: int
    topic: str
    number: int
    record: bytes
    budget_tokens: int


class TurnSettled(NamedTuple):
    """Outcome of a `SettleTurn`, a value of `Settlement`."""

    settle_id: int
    outcome: str


class FindTurn(NamedTuple):
    """Requests the history of a turn from whichever daemon owns its partition.

    Attributes:
      certain: Whether daemons that do not have the turn answer too, with the partitions that they
        are confirmed to own.
      account: Account that the turn must belong to; empty where there are no accounts.
      claimed: Whether daemons that do not have the turn answer too, with the partitions that they
        own by their lease, without a request to the store.
    """

    find_id: int
    turn_id: str
    certain: bool
    account: str
    claimed: bool = False


class TurnFound(NamedTuple):
    """The history of a turn.

    Attributes:
      history: The texts of the turn and of all turns before it.
      retention_ms: How long from now later turns can continue from the turn.
    """

    find_id: int
    history: bytes
    retention_ms: int


class TurnForeign(NamedTuple):
    """The requested turn exists in another account; the requested account may have one as well."""

    find_id: int


class ConfigurationQuestion(NamedTuple):
    """Requests a configuration newer than `version`; the sender cannot read it from the store."""

    version: int


class ConfigurationCopy(NamedTuple):
    """A complete configuration with its version; API keys are replaced by their digests.

    Attributes:
      data: Encoded by `configuration_copies.write_configuration_copy`.
    """

    data: bytes


class PermitQuestion(NamedTuple):
    """Requests permission to run a call from the limiter of its account.

    Attributes:
      program_id: Empty for a call that belongs to no program.
      may_begin: Whether the call may be the first of its program.
      kind: Name of the route; programs of one route are expected to be alike.
      told_calls: Calls that the account had left according to the limiter's last answer; -1 if
        there was no answer.
      rank: Priority of the route; 0 is the highest.
    """

    permit_id: int
    account: str
    program_id: str
    may_begin: bool
    kind: str
    told_calls: int
    rank: int


class PermitAnswer(NamedTuple):
    """Whether the call may run.

    Attributes:
      outcome: A value of `permit_codec.PermitOutcome`.
      after_ms: How long an admitted call waits before it runs; for a refused call, the time until
        it may be admitted.
      is_pressed: Whether the account is near its limit.
      left_calls: Calls that the account has left at its limiter.
    """

    permit_id: int
    outcome: str
    after_ms: int
    is_pressed: bool
    left_calls: int


class PermitReturn(NamedTuple):
    """Returns the permit of an admitted call that has not reached a backend server."""

    account: str


class TurnAbsent(NamedTuple):
    """The turn is in none of these partitions of the sender.

    Attributes:
      claimed: Whether the sender owns them by its lease; if not, the store has just confirmed it.
    """

    find_id: int
    partitions: tuple[PartitionClaim, ...]
    claimed: bool = False


class LinkProbe(NamedTuple):
    """Traffic that lets the kernel detect a silent link; the receiver ignores it."""

    sent_ms: int


class CrashNotice(NamedTuple):
    """A backend server lost its connection while it ran a request with this fingerprint."""

    fingerprint: str
    backend_id: str


class BackendReport(NamedTuple):
    """A call of the sender failed at this backend server, or is far slower than usual.

    Attributes:
      born_ms: Start time of the process that received the call; -1 where backend servers do not
        publish it.
      late_ms: How long the call has waited for its answer to begin; -1 if it has failed.
    """

    backend_id: str
    born_ms: int
    late_ms: int


class SilenceNotice(NamedTuple):
    """The sender watches this daemon and considers it crashed, or is it and has ended.

    The daemon itself gets a watcher's notice too; if it is alive, it answers with a heartbeat to
    all daemons.
    """

    member_id: str
    incarnation: int


class SilenceQuestion(NamedTuple):
    """Requests a heartbeat: the sender watches the receiver and has missed some of its heartbeats.

    Attributes:
      incarnation: Incarnation in the receiver's last heartbeat; the receiver answers even if its
        incarnation has changed.
    """

    incarnation: int


Datagram = Heartbeat | CrashNotice | BackendReport | SilenceNotice | SilenceQuestion
LinkMessage = (
    RelayCall
    | RelayCancel
    | RelayHead
    | RelayPiece
    | RelayEnd
    | RelayRefused
    | SettleTurn
    | TurnSettled
    | FindTurn
    | TurnFound
    | TurnAbsent
    | TurnForeign
    | ConfigurationQuestion
    | ConfigurationCopy
    | PermitQuestion
    | PermitAnswer
    | PermitReturn
    | LinkProbe
)

CODEC = StructCodec(
    Path(quincespool.schema.__file__).with_name("gateway.capnp"),
    (*get_args(Datagram), *get_args(LinkMessage)),
    # Traffic between zones is charged by the byte.
    packed=True,
)

# Value of a number that was not given.
_NOT_SET = -1


def write_optional(value: int | None) -> int:
    """Encodes an optional number for a message; -1 stands for None."""
    return _NOT_SET if value is None else value


def read_optional(value: int) -> int | None:
    """Decodes a number that `write_optional` has encoded."""
    return None if value == _NOT_SET else value
