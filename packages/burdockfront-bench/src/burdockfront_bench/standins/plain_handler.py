"""What stand-ins have in common that answer requests themselves."""

from burdockfront import errors
from burdockfront_node.internal import messages

_BODY_BYTES = 1_000_000


class PlainHandler:
    """One request of a connection at a time, with bodies of a usual size."""

    def body_limit_bytes(self, target: str) -> int:
        """Returns the largest body."""
        return _BODY_BYTES

    def may_overlap(self, request: messages.Request) -> bool:
        """Returns that a request waits for the one before it."""
        return False

    def body_wait_s(self, head: messages.Request) -> float:
        """Returns how long a large body may wait for memory."""
        return messages.DEFAULT_BODY_WAIT_S

    def refuse(
        self,
        error: errors.InvalidInputError,
        head: messages.Request | None = None,
    ) -> messages.Response:
        """Returns the answer to a request that was not read whole."""
        return messages.Response(400, (), str(error).encode())
