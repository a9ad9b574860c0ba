"""Has each call allowed by the home of its account, and answers as the home of others.

An account's home is the owner of the partition into which its name falls, so the store's lease
makes sure that there is one. While the partition has no living owner, one of the daemons that are
alive acts for it. `quincespool.limits` decides; this module carries questions and answers.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from quincespool.gateway.accounts.permit_codec import read_question
from quincespool.gateway.accounts.permit_codec import read_verdict
from quincespool.gateway.accounts.permit_codec import write_not_home
from quincespool.gateway.accounts.permit_codec import write_question
from quincespool.gateway.accounts.permit_codec import write_verdict
from quincespool.gateway.clock import now_ms
from quincespool.gateway.futures import start_background_task
from quincespool.gateway.members.messages import PermitAnswer
from quincespool.gateway.members.messages import PermitQuestion
from quincespool.gateway.members.messages import PermitReturn
from quincespool.gateway.model import not_run
from quincespool.gateway.turns.ownership import partition_of
from quincespool.limits.bucket import Allowance
from quincespool.limits.home import Ask
from quincespool.limits.home import Denial
from quincespool.limits.home import Grant
from quincespool.limits.home import LimitsHome
from quincespool.limits.home import Term
from quincespool.limits.home_answers import HomeAnswers
from quincespool.limits.order import make_programs_first
from quincespool.policy.program_shapes import ProgramKind
from quincespool.policy.urgency import Rank
from quincespool.stable_hash import stable_hash

if TYPE_CHECKING:
    from quincespool.gateway.callers.routes import RouteTable
    from quincespool.gateway.decision_log import DecisionLog
    from quincespool.gateway.members.links import Link
    from quincespool.gateway.members.links import Links
    from quincespool.gateway.members.table import Members
    from quincespool.gateway.model import Account
    from quincespool.gateway.model import Call
    from quincespool.gateway.model import Daemon
    from quincespool.gateway.model import Decision
    from quincespool.gateway.model import Refusal
    from quincespool.gateway.store.interface import Partition
    from quincespool.gateway.turns.ownership import Ownership
    from quincespool.limits.home import Verdict
    from quincespool.net.metrics import Metrics

# A home answers in a round trip, on a busy host in some tens of milliseconds; after this long the
# call goes on without it rather than lose more of its time.
ANSWER_LIMIT_MS = 120
# A home that has not answered is not asked again for so long: each call would wait as long in vain.
MUTE_MS = 400
# Homes that one call tries, since the first may say that it is none any more.
MAX_HOMES = 2
# A daemon that acts for a home starts anew after so long: others may have acted meanwhile.
ACTING_TERM_MS = 10_000
# Parts of what operators allow beyond a limit that are for bursts larger than the account's own:
# programs make many calls in a second, then none. The rest is for homes that are new and know
# nothing of the last one, and for the moments in which two take themselves for the home.
SLACK_SHARE = 0.75
OVERAGE_SHARE = 0.8
LIMIT_STATUS = 429
# A caller whose account's home does not answer finds another one about then.
NO_HOME_RETRY_MS = 400


class LimitTerms(NamedTuple):
    """How operators look at limits.

    Attributes:
      window_ms: In any time as long, an account has its rate times that and its burst.
      slack_calls: Calls by which it may pass that.
      overage_share: Part of it by which it may pass it besides.
    """

    window_ms: int
    slack_calls: int
    overage_share: float


class Permit(NamedTuple):
    """Whether a call may run.

    Attributes:
      refusal: Its final answer if it may not.
      is_counted: Whether the account's home has counted it.
      is_pressed: Whether the account has used most of what it may have run.
    """

    refusal: Refusal | None
    is_counted: bool
    is_pressed: bool = False


class AccountLimits:
    """Both sides of accounts' limits at one daemon."""

    def __init__(
        self,
        *,
        member_id: str,
        partitions: list[Partition],
        routes: RouteTable,
        members: Members,
        ownership: Ownership,
        links: Links,
        log: DecisionLog,
        metrics: Metrics,
        terms: LimitTerms,
    ) -> None:
        """Makes the parts of one daemon.

        Args:
          member_id: Of this daemon.
          partitions: All of them, of which each account has one.
          routes: Have the accounts in force.
          members: Tell who owns what.
          ownership: Tells what this daemon owns.
          links: Carry questions and answers.
          log: Takes refusals.
          metrics: Count what was decided, not by account: there are too many of them.
          terms: How operators look at limits.
        """
        self._member_id = member_id
        self._partitions = partitions
        self._routes = routes
        self._members = members
        self._ownership = ownership
        self._links = links
        self._log = log
        self._metrics = metrics
        self._terms = terms
        self._home = LimitsHome(make_programs_first, window_ms=terms.window_ms)
        self._answers = HomeAnswers(window_ms=terms.window_ms)
        self._ids = itertools.count(1)
        self._pending: dict[int, tuple[Link, asyncio.Future[PermitAnswer]]] = {}
        self._mute_until_ms: dict[str, int] = {}
        self._returning: set[asyncio.Task[None]] = set()

    async def admit(self, call: Call, decision: Decision, *, until_ms: int) -> Permit:
        """Returns once the call may run, or is refused."""
        account = self._routes.account(decision.account)
        if account is None or not account.rate_per_s:
            return Permit(None, is_counted=False)
        began_ms = now_ms()
        may_begin = call.turn is not None and not call.turn.previous_id
        kind = ProgramKind(decision.route.name, Rank(decision.route.rank))
        ask = Ask(call.program_id, kind, may_begin)
        verdict = await self._ask(account, ask)
        if isinstance(verdict, Grant) and verdict.wait_ms >= until_ms - now_ms():
            self.give_back(decision)
            verdict = Denial(verdict.wait_ms)
        if isinstance(verdict, Grant):
            await self._wait(verdict.wait_ms, decision)
            refusal = None
        elif isinstance(verdict, Denial):
            retry_ms = verdict.retry_after_ms
            refusal = not_run("account_limit", status=LIMIT_STATUS, retry_after_ms=retry_ms)
        elif self._goes_unanswered(account):
            refusal = None
        else:
            refusal = not_run("no_account_home", retry_after_ms=NO_HOME_RETRY_MS)
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
        is_pressed = isinstance(verdict, Grant) and verdict.is_pressed
        return Permit(refusal, is_counted=is_granted, is_pressed=is_pressed)

    async def _wait(self, wait_ms: int, decision: Decision) -> None:
        """Waits for a call's place; one whose caller leaves meanwhile will not run."""
        if not wait_ms:
            return
        try:
            await asyncio.sleep(wait_ms / 1000)
        except asyncio.CancelledError:
            self.give_back(decision)
            raise

    def give_back(self, decision: Decision) -> None:
        """Takes back a call that its account's home has counted and no backend server has run."""
        account = self._routes.account(decision.account)
        if account is None or not account.rate_per_s:
            return
        home = self._home_of(account.name)
        if isinstance(home, Term):
            self._home.give_back(account.name, self._allowance(account))
        elif home is not None:
            start_background_task(self._return_to(home, account.name), self._returning)

    def on_message(self, link: Link, message: Any) -> None:
        """Takes a question or an answer of another daemon."""
        if isinstance(message, PermitQuestion):
            link.send(self._answer(message))
        elif isinstance(message, PermitReturn):
            account = self._routes.account(message.account)
            if account is not None:
                self._home.give_back(account.name, self._allowance(account))
        elif isinstance(message, PermitAnswer):
            pending = self._pending.get(message.permit_id)
            if pending is not None and not pending[1].done():
                pending[1].set_result(message)

    def on_lost(self, link: Link) -> None:
        """Ends the questions on a link."""
        for other, answer in list(self._pending.values()):
            if other is link and not answer.done():
                answer.cancel()

    def dump(self) -> dict[str, float]:
        """Returns the levels of the accounts that were asked for here, for people to read."""
        return self._home.levels()

    async def _ask(self, account: Account, ask: Ask) -> Verdict | None:
        """Returns what the account's home says, None if there is no answer."""
        for _ in range(MAX_HOMES):
            home = self._home_of(account.name)
            if home is None:
                return None
            home_id = self._member_id if isinstance(home, Term) else home.member_id
            told_calls = self._answers.told_calls(account.name, home_id, now_ms())
            ask = ask._replace(told_calls=told_calls)
            if isinstance(home, Term):
                verdict = self._decide(account, ask, home)
                self._answers.note(account.name, verdict, home_id, now_ms())
                return verdict
            answer = await self._ask_at(home, account.name, ask)
            if answer is None:
                return None
            told = read_verdict(answer)
            if told is not None:
                self._answers.note(account.name, told, home_id, now_ms())
                return told
        return None

    async def _ask_at(self, home: Daemon, name: str, ask: Ask) -> PermitAnswer | None:
        if now_ms() < self._mute_until_ms.get(home.member_id, 0):
            return None
        permit_id = next(self._ids)
        try:
            async with asyncio.timeout(ANSWER_LIMIT_MS / 1000):
                link = await self._links.get(home.peer_address)
                if link is None:
                    self._members.suspect(home.member_id)
                    return write_not_home(permit_id)
                answer: asyncio.Future[PermitAnswer] = asyncio.get_running_loop().create_future()
                self._pending[permit_id] = link, answer
                link.send(write_question(permit_id, name, ask))
                await asyncio.wait({answer})
                return None if answer.cancelled() else answer.result()
        except TimeoutError:
            self._mute_until_ms[home.member_id] = now_ms() + MUTE_MS
            return None
        finally:
            self._pending.pop(permit_id, None)

    def _answer(self, question: PermitQuestion) -> PermitAnswer:
        account = self._routes.account(question.account)
        home = self._home_of(question.account)
        if account is None or not isinstance(home, Term):
            return write_not_home(question.permit_id)
        verdict = self._decide(account, read_question(question), home)
        return write_verdict(question.permit_id, verdict)

    def _decide(self, account: Account, ask: Ask, term: Term) -> Verdict:
        if not account.rate_per_s:
            return Grant(0, 0, is_pressed=False)
        allowance = self._allowance(account)
        return self._home.ask(account.name, ask, allowance, term=term, now_ms=now_ms())

    def _home_of(self, name: str) -> Daemon | Term | None:
        """Returns an account's home, a term if it is here, None if there is none to be had."""
        partition = partition_of(f"account {name}", self._partitions)
        owned = self._ownership.serving(partition)
        if owned is not None:
            return Term(owned.epoch, owned.since_ms)
        owner = self._members.owner(partition, now_ms())
        if owner is not None and owner[0].member_id != self._member_id:
            return owner[0]
        return self._acting_home(name)

    def _acting_home(self, name: str) -> Daemon | Term | None:
        """Returns the home of an account whose partition has no owner that lives.

        Among those that hear half of all daemons or more, all agree on the one whose hash with the
        name is the highest. Hosts that are cut off from the others, each for itself or a few
        together, have none: each would give out the whole rate.
        """
        alive = [one for one in self._members.others if self._members.serves(one, now_ms())]
        if 2 * (len(alive) + 1) < len(self._members.entries):
            return None
        best = max(alive, key=lambda one: _rendezvous(name, one.member_id), default=None)
        if best is None or _rendezvous(name, self._member_id) > _rendezvous(name, best.member_id):
            return Term(-1 - now_ms() // ACTING_TERM_MS, now_ms())
        return best

    def _goes_unanswered(self, account: Account) -> bool:
        daemons = len(self._members.entries)
        return self._answers.lets_through(
            account.name, account.rate_per_s, daemons=daemons, now_ms=now_ms()
        )

    def _allowance(self, account: Account) -> Allowance:
        window_calls = account.rate_per_s * self._terms.window_ms / 1000 + account.burst
        beyond = SLACK_SHARE * self._terms.slack_calls
        beyond += OVERAGE_SHARE * self._terms.overage_share * window_calls
        return Allowance(account.rate_per_s, max(1.0, account.burst + beyond))

    async def _return_to(self, home: Daemon, name: str) -> None:
        link = await self._links.get(home.peer_address)
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
