"""Which parts see which events.

Rare events go to all parts, in order. Those that come with every call, token or datagram go only
to the parts that handle them; a test checks that no other part would have done anything with them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.core import events as ev
from quincespool.core import messages as msg

if TYPE_CHECKING:
    from quincespool.core.events import Event

REDUCER = "reducer"
MEMBERSHIP = "membership"
CATALOGUE = "catalogue"
QUARANTINE = "quarantine"
LEDGER = "ledger"
COMMIT = "commit"
CLAIMS = "claims"
CHECKPOINTS = "checkpoints"
ACCOUNTS = "accounts"
KEEPER = "keeper"
OWNER = "owner"
FRONTDOOR = "frontdoor"

ALL_PARTS = (
    REDUCER,
    MEMBERSHIP,
    CATALOGUE,
    QUARANTINE,
    LEDGER,
    COMMIT,
    CLAIMS,
    CHECKPOINTS,
    ACCOUNTS,
    KEEPER,
    OWNER,
    FRONTDOOR,
)

_BY_EVENT: dict[type, tuple[str, ...]] = {
    ev.CallReceived: (FRONTDOOR,),
    ev.EndReceived: (FRONTDOOR,),
    ev.WhereReceived: (FRONTDOOR,),
    ev.AuditReceived: (FRONTDOOR,),
    ev.CallerGone: (FRONTDOOR,),
    ev.DatagramReceived: (MEMBERSHIP,),
    ev.ExchangeHead: (KEEPER,),
    ev.ExchangeData: (KEEPER,),
    ev.ExchangeEnd: (KEEPER,),
    ev.ExchangeFailed: (KEEPER,),
    ev.LedgerAdvanced: (COMMIT, CLAIMS, ACCOUNTS, KEEPER, OWNER),
    ev.AccountDecided: (OWNER,),
}

_BY_MESSAGE: dict[type, tuple[str, ...]] = {
    msg.ForwardCall: (OWNER,),
    msg.ForwardEnd: (OWNER,),
    msg.ForwardAudit: (OWNER,),
    msg.ForwardGone: (OWNER,),
    msg.ForwardText: (FRONTDOOR,),
    msg.ForwardAnswer: (FRONTDOOR,),
    msg.Dispatch: (KEEPER,),
    msg.DispatchText: (OWNER,),
    msg.DispatchDone: (OWNER,),
    msg.DispatchCancel: (KEEPER,),
    msg.KeeperElsewhere: (OWNER,),
    msg.CommitGroup: (COMMIT,),
    msg.CommitRefused: (COMMIT,),
    msg.BackendSummary: (OWNER,),
    msg.SummaryAsked: (KEEPER,),
    msg.ProgramsAsked: (OWNER,),
    msg.ProgramsOver: (KEEPER,),
    msg.AccountAsked: (ACCOUNTS,),
    msg.AccountGranted: (ACCOUNTS,),
    msg.AccountElsewhere: (ACCOUNTS,),
}


def parts_for(event: Event) -> tuple[str, ...]:
    """Returns the names of the parts that handle an event, in order."""
    if isinstance(event, ev.MessageReceived):
        return _BY_MESSAGE.get(type(event.message), ALL_PARTS)
    if isinstance(event, ev.TimerFired):
        return (event.part,)
    return _BY_EVENT.get(type(event), ALL_PARTS)
