"""Bytes between data centres that a request costs below the layer it is at.

A call that leaves its data centre moves bytes over a dear way. Where a deep
service is missing or pressed in one data centre, every call of it leaves: eight
of them for one browse that stayed. Sent elsewhere at the top, the same request
costs one way. So each node learns how many kilobytes the requests at its
backend server cost below, and says so on its answers; whoever chooses a guard
takes it into account.

Nothing on a call says which request it is made for. What is known is which
requests were at the backend server when it made the call. Each call is shared
out among them in proportion to how often requests of their class were found to
call, which is estimated from the same shares (expectation maximisation for a
sum of Poisson streams). Classes that make no calls lose their shares within
seconds: their number goes up and down without the calls following it.
"""

import dataclasses
import math

# Long enough to hear of each class on a node with tens of requests a second;
# short enough to follow the loss and return of a server.
_MEMORY_S = 3.0
# The plain estimate (1.0) still gave two calls to a class without any after
# 20 s of 70 requests a second; above 2.0 it would not settle. With 1.5 the
# error is below a tenth of a call after 8 s, in four drawn streams of requests.
_OVER_RELAXED = 1.5
# A guard that is avoided for its detours is asked again after this. Nobody
# would find out otherwise that the service below it is back.
_BELIEVED_S = 5.0
# What a class is taken for that was hardly seen: a call in a tenth of a second.
_PRIOR_CALLS = 1.0
_PRIOR_BUSY_S = 0.1


@dataclasses.dataclass(slots=True)
class _Class:
    """Sums that fade, but for the number of requests at work now."""

    at_work: int = 0
    busy_s: float = 0.0
    runs: float = 0.0
    calls: float = 0.0
    far_kb: float = 0.0

    def calls_per_s(self) -> float:
        """Returns how often a request of this class calls while at work."""
        calls = self.calls + _PRIOR_CALLS
        return calls / (self.busy_s + _PRIOR_BUSY_S)


class TransferCostTracker:
    """What one node learned of the requests at its backend server.

    Args:
        now_s: The current time.
    """

    def __init__(self, now_s: float):
        self._classes: dict[str, _Class] = {}
        self._at_s = now_s

    def record_start(self, class_name: str, now_s: float) -> None:
        """Notes that a request is handed to the backend server."""
        self._fade(now_s)
        known = self._classes.setdefault(class_name, _Class())
        known.at_work += 1
        known.runs += 1.0

    def record_end(self, class_name: str, now_s: float) -> None:
        """Notes that the backend server is done with a request."""
        self._fade(now_s)
        known = self._classes[class_name]
        assert known.at_work > 0, "a request ends once"
        known.at_work -= 1

    def record_call(self, far_kb: float, now_s: float) -> None:
        """Notes a call that the backend server made.

        Args:
            far_kb: Kilobytes between data centres, there and below.
            now_s: The current time.
        """
        self._fade(now_s)
        at_work = [known for known in self._classes.values() if known.at_work]
        weights = [
            known.at_work * known.calls_per_s() ** _OVER_RELAXED
            for known in at_work
        ]
        total = sum(weights)
        for known, weight in zip(at_work, weights, strict=True):
            share = weight / total
            known.calls += share
            known.far_kb += share * far_kb

    def record_call_of(
        self, class_name: str, far_kb: float, now_s: float
    ) -> None:
        """Notes a call that is known to be made for a request of a class."""
        self._fade(now_s)
        known = self._classes.setdefault(class_name, _Class())
        known.calls += 1.0
        known.far_kb += far_kb

    def kb_per_request(self, class_name: str) -> float:
        """Returns the kilobytes that a request of a class costs below."""
        known = self._classes.get(class_name)
        if known is None:
            return 0.0
        return known.far_kb / max(1.0, known.runs)

    def _fade(self, now_s: float) -> None:
        elapsed_s = now_s - self._at_s
        if elapsed_s <= 0.0:
            return
        self._at_s = now_s
        kept = math.exp(-elapsed_s / _MEMORY_S)
        for known in self._classes.values():
            known.busy_s = known.busy_s * kept + known.at_work * elapsed_s
            known.runs *= kept
            known.calls *= kept
            known.far_kb *= kept


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    far_kb: float
    at_s: float


class ReportedTransferCosts:
    """What guards said of the bytes below them, at the asking side."""

    def __init__(self) -> None:
        self._heard: dict[tuple[str, str], _Heard] = {}

    def record_report(
        self, node_id: str, class_name: str, far_kb: float, now_s: float
    ) -> None:
        """Takes what a guard said on an answer."""
        self._heard[(node_id, class_name)] = _Heard(far_kb, now_s)

    def kb_of(self, node_id: str, class_name: str, now_s: float) -> float:
        """Returns what a guard said; 0.0 if that is long ago, or never."""
        heard = self._heard.get((node_id, class_name))
        if heard is None or now_s - heard.at_s > _BELIEVED_S:
            return 0.0
        return heard.far_kb

    def forget(self, node_id: str) -> None:
        """Drops what is known of a guard that is gone."""
        for key in [key for key in self._heard if key[0] == node_id]:
            del self._heard[key]
