"""What the gateway needs of a platform's encoding."""

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
    """The head of a backend server's answer.

    Attributes:
      call_id: The call that it answers, as the backend server says.
      stamped: Whether it bears the receipt without which a success does not count.
      not_run: Whether the backend server states that the call has not run.
      headers: Those that the caller gets.
      idle_s: How long the connection may stay idle; None if it does not say.
    """

    status: int
    call_id: str
    stamped: bool
    not_run: bool
    headers: Headers
    idle_s: float | None


class AddressQuestion(NamedTuple):
    """A caller asks which addresses to use."""

    zone: str


class PlatformCodec(Protocol):
    """Encodes and decodes; holds no state."""

    CONFIGURATION_TOPIC: str
    CONFIGURATION_KEY: str
    BACKENDS_TOPIC: str
    DAEMONS_TOPIC: str

    def read_call(self, request: HttpRequest) -> Result[Call, RequestError]:
        """Returns the call in a caller's request."""

    def read_call_id(self, request: HttpRequest) -> str:
        """Returns the call id of a request, empty if it has none."""

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
        """Returns the headers of one attempt at a backend server.

        Args:
          call: With the headers that are passed on.
          account: Told in place of the caller's key; empty if there is none.
          backend_id: The only one that may run it.
          left_ms: How long it may take.
          priority: Among the calls that wait there; 0 goes first.
          after_event: Number of the last event that need not be sent again; None leaves that to
            what the caller has said.
        """

    def read_answer_head(self, status: int, pairs: Headers) -> AnswerHead:
        """Returns what the head of a backend server's answer says."""

    def write_refusal_headers(self, refusal: Refusal, call_id: str) -> Headers:
        """Returns the headers of an answer of the gateway's own."""

    def read_address_question(self, request: HttpRequest) -> AddressQuestion | None:
        """Returns what a caller asks of the directory, None if it is something else."""

    def write_addresses(self, addresses: list[str], valid_ms: int) -> bytes:
        """Returns the body of the directory's answer."""

    def is_readiness_question(self, request: HttpRequest) -> bool:
        """Whether the platform asks if the daemon is ready."""

    def read_configuration(self, value: bytes) -> Configuration:
        """Returns the configuration in a record; raises `msgspec.DecodeError`."""

    def read_backend(self, backend_id: str, value: bytes) -> BackendEntry:
        """Returns the entry of a backend server; raises `msgspec.DecodeError`."""

    def read_daemon(self, member_id: str, value: bytes) -> Daemon:
        """Returns the entry of a daemon; raises `msgspec.DecodeError`."""

    def write_daemon(self, daemon: Daemon) -> bytes:
        """Returns the record of a daemon's entry."""
