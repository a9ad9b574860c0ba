"""Requests a permit for each call from its account's limiter, and acts as limiter for accounts.

An account's limiter is the owner of the partition to which the account's name is hashed, so the
store's lease ensures that there is only one. While the partition has no live owner, one of the live
daemons acts as the limiter. `quincespool.limits` decides; this module sends requests and answers.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from quincespool.gateway.accounts.permit_codec import decode_request
from quincespool.gateway.accounts.permit_codec import decode_verdict
from quincespool.gateway.accounts.permit_codec import encode_not_limiter
from quincespool.gateway.accounts.permit_codec import encode_request
from quincespool.gateway.accounts.permit_codec import encode_verdict
from quincespool.gateway.clock import now_ms
from quincespool.gateway.futures import start_background_task
from quincespool.gateway.members.messages import PermitAnswer
from quincespool.gateway.members.messages import PermitQuestion
from quincespool.gateway.members.messages import PermitReturn
from quincespool.gateway.model import not_run
from quincespool.gateway.turns.ownership import partition_of
from quincespool.limits.account_limiter import AccountLimiter
from quincespool.limits.account_limiter import Denial
from quincespool.limits.account_limiter import Grant
from quincespool.limits.account_limiter import LimiterTerm
from quincespool.limits.account_limiter import PermitRequest
from quincespool.limits.admission_order import make_started_programs_first
from quincespool.limits.bucket import Allowance
from quincespool.limits.recent_permits import RecentPermits
from quincespool.policy.program_shapes import ProgramKind
from quincespool.policy.urgency import Rank
from quincespool.stable_hash import stable_hash

if TYPE_CHECKING:
    from quincespool.gateway.callers.routes import RouteTable
    from quincespool.gateway.decision_log import DecisionLog
    from quincespool.gateway.members.links import Link
    from quincespool.gateway.members.links import Links
    from quincespool.gateway.members.member_table import MemberTable
    from quincespool.gateway.model import Account
    from quincespool.gateway.model import Call
    from quincespool.gateway.model import Daemon
    from quincespool.gateway.model import Decision
    from quincespool.gateway.model import Refusal
    from quincespool.gateway.store.interface import Partition
    from quincespool.gateway.turns.ownership import Ownership
    from quincespool.limits.account_limiter import Verdict
    from quincespool.net.metrics import Metrics

# A limiter answers within a round trip, on a busy host within some tens of milliseconds. After this
# time the call is decided on without an answer, so that it isn't delayed further.
ANSWER_TIMEOUT_MS = 120
# Time for which no requests are sent to a limiter that has not answered: each call would wait for
# the timeout.
UNANSWERED_PAUSE_MS = 400
# Maximum number of daemons from which a permit for one call is requested: the first may answer that
# it is no longer the account's limiter.
MAX_LIMITERS = 2
# Length of a term of a daemon that acts as limiter without being the owner. Each new term starts
# with the initial calls, since other daemons may have acted as limiter in the meantime.
ACTING_TERM_MS = 10_000
# Shares of what operators allow beyond a limit that are used for bursts larger than the account's
# own, since programs make many calls in one second and then none. The rest is kept for new limiters
# that don't know how many calls the previous one has allowed, and for moments in which two daemons
# act as limiter.
SLACK_SHARE = 0.75
OVERAGE_SHARE = 0.8
LIMIT_STATUS = 429
# Time after which a caller whose account's limiter does not answer may retry: by then another
# daemon has usually become the limiter.
NO_LIMITER_RETRY_MS = 400


class LimitSettings(NamedTuple):
    """Settings by which operators check limits.

    Attributes:
      window_ms: Length of the window. In any window an account may run its rate times the length,
        plus its burst; that is its limit.
      slack_calls: Number of calls by which an account may exceed its limit in a window.
      overage_share: Share of its limit by which an account may exceed it in addition.
    """

    window_ms: int
    slack_calls: int
    overage_share: float


class Permit(NamedTuple):
    """Whether a call may run.

    Attributes:
      refusal: The final answer to the call if it may not run, otherwise None.
      is_counted: Whether the account's limiter has counted the call.
      is_near_limit: Whether the account has used half of its bucket or more.
    """

    refusal: Refusal | None
    is_counted: bool
    is_near_limit: bool = False


class AccountLimits:
    """Requests permits for the calls at one daemon, and answers other daemons' requests."""

    def __init__(
        self,
        *,
        member_id: str,
        partitions: list[Partition],
        routes: RouteTable,
        members: MemberTable,
        ownership: Ownership,
        links: Links,
        log: DecisionLog,
        metrics: Metrics,
        settings: LimitSettings,
    ) -> None:
        """Creates the limits of one daemon.

        Args:
          member_id: The id of this daemon.
          partitions: All partitions; the name of each account is hashed to one of them.
          routes: The configuration in force, with its accounts.
          members: The other daemons and the partitions that they own.
          ownership: The partitions that this daemon owns.
          links: The connections to other daemons.
          log: Records refusals.
          metrics: Counts outcomes, not by account: there are too many accounts.
          settings: How operators check limits.
        """
        self._member_id = member_id
        self._partitions = partitions
        self._routes = routes
        self._members = members
        self._ownership = ownership
        self._links = links
        self._log = log
        self._metrics = metrics
        self._settings = settings
        self._limiter = AccountLimiter(make_started_programs_first, window_ms=settings.window_ms)
        self._recent_permits = RecentPermits(window_ms=settings.window_ms)
        self._ids = itertools.count(1)
        self._pending: dict[int, tuple[Link, asyncio.Future[PermitAnswer]]] = {}
        self._paused_until_ms: dict[str, int] = {}
        self._return_tasks: set[asyncio.Task[None]] = set()

    async def admit(self, call: Call, decision: Decision, *, until_ms: int) -> Permit:
        """Waits until the call may run or is refused, and returns the permit.

        Args:
          call: The call.
          decision: The account and route of the call.
          until_ms: Steady clock until which the call may wait.
        """
        account = self._routes.account(decision.account)
        if account is None or not account.rate_per_s:
            return Permit(None, is_counted=False)
        began_ms = now_ms()
        may_begin = call.turn is not None and not call.turn.previous_id
        kind = ProgramKind(decision.route.name, Rank(decision.route.rank))
        request = PermitRequest(call.program_id, kind, may_begin)
        verdict = await self._request(account, request)
        if isinstance(verdict, Grant) and verdict.wait_ms >= until_ms - now_ms():
            self.return_permit(decision)
            verdict = Denial(verdict.wait_ms)
        if isinstance(verdict, Grant):
            await self._wait(verdict.wait_ms, decision)
            refusal = None
        elif isinstance(verdict, Denial):
            retry_ms = verdict.retry_after_ms
            refusal = not_run("account_limit", status=LIMIT_STATUS, retry_after_ms=retry_ms)
        elif self._admit_without_answer(account):
            refusal = None
        else:
            refusal = not_run("no_account_home", retry_after_ms=NO_LIMITER_RETRY_MS)
        self._metrics.count("gateway_limits_total", outcome=_outcome(verdict, refusal))
        self._metrics.observe("gateway_limit_ms", now_ms() - began_ms)
        if refusal is not None:
            self._log.write(
                "limit refused",
                call_id=call.call_id,
                program_id=call.program_id,
                account=account.name,
                may_begin=may_begin,
                reason=refusal.reason,
                retry_after_ms=refusal.retry_after_ms,
                rate_per_s=account.rate_per_s,
                burst=account.burst,
                configuration_version=self._routes.version,
            )
        is_granted = isinstance(verdict, Grant)
        is_near_limit = isinstance(verdict, Grant) and verdict.is_near_limit
        return Permit(refusal, is_counted=is_granted, is_near_limit=is_near_limit)

    async def _wait(self, wait_ms: int, decision: Decision) -> None:
        """Waits until a call may start; returns its permit if the caller disconnects meanwhile."""
        if not wait_ms:
            return
        try:
            await asyncio.sleep(wait_ms / 1000)
        except asyncio.CancelledError:
            self.return_permit(decision)
            raise

    def return_permit(self, decision: Decision) -> None:
        """Returns the permit of a call that was counted and that no backend server has run."""
        account = self._routes.account(decision.account)
        if account is None or not account.rate_per_s:
            return
        limiter = self._limiter_of(account.name)
        if isinstance(limiter, LimiterTerm):
            self._limiter.return_call(account.name, self._allowance(account))
        elif limiter is not None:
            start_background_task(self._send_return(limiter, account.name), self._return_tasks)

    def on_message(self, link: Link, message: Any) -> None:
        """Handles a request, an answer or a returned permit of another daemon."""
        if isinstance(message, PermitQuestion):
            link.send(self._answer(message))
        elif isinstance(message, PermitReturn):
            account = self._routes.account(message.account)
            if account is not None:
                self._limiter.return_call(account.name, self._allowance(account))
        elif isinstance(message, PermitAnswer):
            pending = self._pending.get(message.permit_id)
            if pending is not None and not pending[1].done():
                pending[1].set_result(message)

    def on_lost(self, link: Link) -> None:
        """Cancels the requests in flight on a lost link."""
        for other, answer in list(self._pending.values()):
            if other is link and not answer.done():
                answer.cancel()

    def dump(self) -> dict[str, float]:
        """Returns the bucket levels of the accounts that this daemon has limited, for dumps."""
        return self._limiter.levels()

    async def _request(self, account: Account, request: PermitRequest) -> Verdict | None:
        """Returns the verdict of the account's limiter, None if none is received."""
        for _ in range(MAX_LIMITERS):
            limiter = self._limiter_of(account.name)
            if limiter is None:
                return None
            limiter_id = self._member_id if isinstance(limiter, LimiterTerm) else limiter.member_id
            reported_calls = self._recent_permits.reported_calls(account.name, limiter_id, now_ms())
            request = request._replace(reported_calls=reported_calls)
            if isinstance(limiter, LimiterTerm):
                verdict = self._decide(account, request, limiter)
                self._recent_permits.record_verdict(account.name, verdict, limiter_id, now_ms())
                return verdict
            answer = await self._request_from(limiter, account.name, request)
            if answer is None:
                return None
            reported_verdict = decode_verdict(answer)
            if reported_verdict is not None:
                self._recent_permits.record_verdict(
                    account.name, reported_verdict, limiter_id, now_ms()
                )
                return reported_verdict
        return None

    async def _request_from(
        self, limiter: Daemon, name: str, request: PermitRequest
    ) -> PermitAnswer | None:
        if now_ms() < self._paused_until_ms.get(limiter.member_id, 0):
            return None
        permit_id = next(self._ids)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_MS / 1000):
                link = await self._links.get(limiter.peer_address)
                if link is None:
                    self._members.suspect(limiter.member_id)
                    return encode_not_limiter(permit_id)
                answer: asyncio.Future[PermitAnswer] = asyncio.get_running_loop().create_future()
                self._pending[permit_id] = link, answer
                link.send(encode_request(permit_id, name, request))
                await asyncio.wait({answer})
                return None if answer.cancelled() else answer.result()
        except TimeoutError:
            self._paused_until_ms[limiter.member_id] = now_ms() + UNANSWERED_PAUSE_MS
            return None
        finally:
            self._pending.pop(permit_id, None)

    def _answer(self, request_message: PermitQuestion) -> PermitAnswer:
        account = self._routes.account(request_message.account)
        limiter = self._limiter_of(request_message.account)
        if account is None or not isinstance(limiter, LimiterTerm):
            return encode_not_limiter(request_message.permit_id)
        verdict = self._decide(account, decode_request(request_message), limiter)
        return encode_verdict(request_message.permit_id, verdict)

    def _decide(self, account: Account, request: PermitRequest, term: LimiterTerm) -> Verdict:
        if not account.rate_per_s:
            return Grant(0, 0, is_near_limit=False)
        allowance = self._allowance(account)
        return self._limiter.request(account.name, request, allowance, term=term, now_ms=now_ms())

    def _limiter_of(self, name: str) -> Daemon | LimiterTerm | None:
        """Returns an account's limiter, None if unknown.

        If this daemon is the limiter, its current term is returned.
        """
        partition = partition_of(f"account {name}", self._partitions)
        owned = self._ownership.serving(partition)
        if owned is not None:
            return LimiterTerm(owned.epoch, owned.since_ms)
        owner = self._members.owner(partition, now_ms())
        if owner is not None and owner[0].member_id != self._member_id:
            return owner[0]
        return self._acting_limiter(name)

    def _acting_limiter(self, name: str) -> Daemon | LimiterTerm | None:
        """Returns the limiter of an account whose partition has no live owner.

        The live daemon with the highest hash of its id and the account's name is chosen (rendezvous
        hashing), so daemons that receive heartbeats from half of all daemons or more agree on it.
        Daemons that are cut off, alone or with a few others, choose none: otherwise each such group
        would allow the account's full rate.
        """
        alive = [one for one in self._members.others if self._members.serves(one, now_ms())]
        if 2 * (len(alive) + 1) < len(self._members.entries):
            return None
        best = max(alive, key=lambda one: _rendezvous(name, one.member_id), default=None)
        if best is None or _rendezvous(name, self._member_id) > _rendezvous(name, best.member_id):
            return LimiterTerm(-1 - now_ms() // ACTING_TERM_MS, now_ms())
        return best

    def _admit_without_answer(self, account: Account) -> bool:
        daemons = len(self._members.entries)
        return self._recent_permits.admit_without_answer(
            account.name, account.rate_per_s, daemons=daemons, now_ms=now_ms()
        )

    def _allowance(self, account: Account) -> Allowance:
        window_calls = account.rate_per_s * self._settings.window_ms / 1000 + account.burst
        beyond = SLACK_SHARE * self._settings.slack_calls
        beyond += OVERAGE_SHARE * self._settings.overage_share * window_calls
        return Allowance(account.rate_per_s, max(1.0, account.burst + beyond))

    async def _send_return(self, limiter: Daemon, name: str) -> None:
        link = await self._links.get(limiter.peer_address)
        if link is not None:
            link.send(PermitReturn(name))


def _outcome(verdict: Verdict | None, refusal: Refusal | None) -> str:
    if refusal is not None:
        return refusal.reason
    if verdict is None:
        return "unanswered"
    return "waited" if isinstance(verdict, Grant) and verdict.wait_ms else "granted"


def _rendezvous(name: str, member_id: str) -> int:
    return stable_hash(f"{name} {member_id}")
