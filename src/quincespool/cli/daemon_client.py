"""Asks a daemon on its operator paths."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.cli.client import check_address
from quincespool.cli.client import request
from quincespool.cli.errors import CommandError

if TYPE_CHECKING:
    from quincespool.cli.client import Reply


def ask_daemon(daemon: str, method: str, target: str) -> object:
    """Sends one request to a daemon and returns the decoded body.

    Args:
      daemon: `IP:PORT` of its http address.
      method: HTTP method.
      target: Path and query, already quoted.

    Raises:
      CommandError: if the daemon cannot be asked, refuses, or answers something unexpected.
    """
    address = check_address(daemon, flag="daemon")
    answered = request(address, method, target)
    if answered.is_error():
        raise CommandError(f"{answered.error.detail}; is --daemon the http address of a daemon?")
    reply = answered.ok
    if not 200 <= reply.status < 300:
        raise CommandError(_refusal(address, reply))
    body = reply.json()
    if reply.body and body is None:
        raise CommandError(f"{address} answered no JSON; is --daemon the address of a daemon?")
    return body


def _refusal(address: str, reply: Reply) -> str:
    body = reply.json()
    error = body.get("error") if isinstance(body, dict) else None
    if not isinstance(error, dict):
        return f"{address} answered status {reply.status}; is --daemon the address of a daemon?"
    text = f"refused: {error.get('message') or error.get('code')}"
    if error.get("code"):
        text += f" ({error['code']})"
    if error.get("verdict"):
        text += f", {error['verdict']}"
    if reply.retry_after_s:
        text += f"; come back in {reply.retry_after_s:.0f} s"
    return text
