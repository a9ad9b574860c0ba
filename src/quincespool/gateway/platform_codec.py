"""The interface to a platform's encoding of requests, headers and store records."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

if TYPE_CHECKING:
    from expression import Result

    from quincespool.gateway.model import BackendEntry
    from quincespool.gateway.model import Call
    from quincespool.gateway.model import Configuration
    from quincespool.gateway.model import Daemon
    from quincespool.gateway.model import Headers
    from quincespool.gateway.model import Refusal
    from quincespool.net.requests import HttpRequest
    from quincespool.net.requests import RequestError


class AnswerHead(NamedTuple):
    """The status and headers of a backend server's answer.

    Attributes:
      call_id: The id of the call that the backend server says it answers.
      stamped: Whether the answer carries the backend server's receipt; a successful answer without
        it is not accepted.
      not_run: Whether the backend server states that the call has not run.
      headers: Headers to forward to the caller.
      idle_s: How long the connection may stay idle; None if the answer does not say.
    """

    status: int
    call_id: str
    stamped: bool
    not_run: bool
    headers: Headers
    idle_s: float | None


class AddressRequest(NamedTuple):
    """A caller's request for the addresses that it should use.

    Attributes:
      zone: The caller's availability zone; empty if the request names none.
    """

    zone: str


class PlatformCodec(Protocol):
    """Encodes and decodes the formats that a platform defines; holds no state."""

    CONFIGURATION_TOPIC: str
    CONFIGURATION_KEY: str
    BACKENDS_TOPIC: str
    DAEMONS_TOPIC: str

    def read_call(self, request: HttpRequest) -> Result[Call, RequestError]:
        """Returns the call that a caller's request describes, or why the request is invalid."""

    def read_call_id(self, request: HttpRequest) -> str:
        """Returns the call id of a request; empty if it has none."""

    def write_attempt_headers(
        self,
        call: Call,
        *,
        account: str,
        backend_id: str,
        left_ms: int,
        priority: int | None,
        after_event: int | None = None,
    ) -> Headers:
        """Returns the request headers of one attempt at a backend server.

        Args:
          call: The call; its own headers are included.
          account: Account name that is sent in place of the caller's API key; empty if none.
          backend_id: The only backend server that may run the call.
          left_ms: How long the attempt may take.
          priority: Priority among the calls that wait at the backend server; 0 is the highest.
          after_event: Number of the last event that need not be sent again; None to use the one
            that the caller named, if any.
        """

    def read_answer_head(self, status: int, pairs: Headers) -> AnswerHead:
        """Returns the decoded status and headers of a backend server's answer."""

    def write_refusal_headers(self, refusal: Refusal, call_id: str) -> Headers:
        """Returns the headers of an error answer that the gateway itself generates."""

    def read_address_request(self, request: HttpRequest) -> AddressRequest | None:
        """Returns the request for addresses; None if the request is for something else."""

    def write_addresses(self, addresses: list[str], valid_ms: int) -> bytes:
        """Returns the body of the answer to a request for addresses.

        Args:
          addresses: The addresses to use.
          valid_ms: How long the caller may use them before it asks again.
        """

    def is_readiness_request(self, request: HttpRequest) -> bool:
        """Returns whether a request is the platform's readiness check."""

    def read_configuration(self, value: bytes) -> Configuration:
        """Returns the configuration in a record.

        Raises:
          msgspec.DecodeError: If the record cannot be decoded.
        """

    def read_backend(self, backend_id: str, value: bytes) -> BackendEntry:
        """Returns the entry of a backend server.

        Raises:
          msgspec.DecodeError: If the record cannot be decoded.
        """

    def read_daemon(self, member_id: str, value: bytes) -> Daemon:
        """Returns the entry of a daemon.

        Raises:
          msgspec.DecodeError: If the record cannot be decoded.
        """

    def write_daemon(self, daemon: Daemon) -> bytes:
        """Returns a daemon's entry, encoded for the store."""
