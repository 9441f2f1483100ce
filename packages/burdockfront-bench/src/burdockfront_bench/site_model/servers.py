"""Backend servers of the model: slots, speeds, calls, troubles."""

import asyncio
import random
import time
from collections.abc import Awaitable
from collections.abc import Callable

from burdockfront import outcomes
from burdockfront import self_reports
from burdockfront_bench.site_model import sheet as sheet_lib
from burdockfront_bench.site_model import terms as terms_lib
from burdockfront_client import calls
from burdockfront_node import backend

# The logarithm of work deviates by this.
_SPREAD = 0.5
_OK = 200
_FAILED = 500
_LATE = 504
_RETRY_S = 0.5

# Sends a call of a server, and returns whether it was answered well.
SendCall = Callable[[sheet_lib.RequestClass, str, float], Awaitable[bool]]
# Returns the troubles of a kind that strike a server now.
Struck = Callable[[str], list[sheet_lib.Trouble]]


class ModelServer:
    """One backend server, in place of the way to a real one.

    Args:
        service: Its service.
        speed: 1.0 is usual.
        classes: Kinds of requests, by name.
        rng: Source of randomness.
        struck: Tells of troubles.
        terms: Hears what reached it, and what it named.
    """

    def __init__(
        self,
        service: sheet_lib.Service,
        speed: float,
        classes: dict[str, sheet_lib.RequestClass],
        rng: random.Random,
        struck: Struck,
        terms: terms_lib.TermsLog,
    ):
        self._service = service
        self._speed = speed
        self._classes = classes
        self._rng = rng
        self._struck = struck
        self._terms = terms
        self._in_use = 0
        self.send_call: SendCall | None = None
        # Slot time used, for requests that were answered well and others.
        self.useful_s = 0.0
        self.wasted_s = 0.0
        self.arrivals = 0

    async def run(
        self,
        announced: backend.Announcement,
        attempt: calls.Attempt,
        nonce: str | None,
        limit_bytes: int,
    ) -> outcomes.Answer:
        """Works on a request, and makes its calls."""
        self.arrivals += 1
        now_s = time.monotonic()
        self._terms.arrived(
            terms_lib.Arrival(
                announced.address, attempt.context.attempt_id, now_s
            )
        )
        for trouble in self._struck("shed"):
            if self._rng.random() < trouble.x:
                return outcomes.not_run(outcomes.Reason.REJECTED, _RETRY_S)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        status = _LATE
        self._in_use += 1
        try:
            async with asyncio.timeout(attempt.context.remaining_s):
                status = await self._work(attempt)
        except TimeoutError:
            status = _LATE
        finally:
            self._in_use -= 1
            spent_s = loop.time() - began_s
            if status == _OK:
                self.useful_s += spent_s
            else:
                self.wasted_s += spent_s
        answer = outcomes.Answer(outcomes.Outcome.DONE, status)
        answer.notice = self._say()
        limit_per_s = answer.notice.limit_per_s
        if limit_per_s is None:
            self._terms.named_none(announced.address)
        else:
            self._terms.named(announced.address, limit_per_s, time.monotonic())
        return answer

    def _say(self) -> self_reports.BackendNotice:
        """Returns what it says of itself on an answer now."""
        limits = [trouble.x for trouble in self._struck("limit")]
        return self_reports.BackendNotice(
            bool(self._struck("leave")), min(limits, default=None)
        )

    def pace(self) -> float:
        """Returns how long work takes now, relative to its usual time."""
        pace = 1.0
        if self._in_use > self._service.knee * self._service.slots:
            pace *= self._service.knee_x
        for trouble in self._struck("spells"):
            pace *= trouble.x
        return pace

    async def _work(self, attempt: calls.Attempt) -> int:
        request_class = self._classes[attempt.context.class_name]
        await asyncio.sleep(self._work_s(request_class.work_s))
        request_id = attempt.context.request_id
        deadline_s = attempt.call.deadline_s
        number = 0
        for group in request_class.calls:
            wanted = []
            for _ in range(group.times):
                number += 1
                called = self._classes[group.class_name]
                call_id = f"{request_id}.{number}"
                wanted.append((called, call_id, deadline_s))
            if not await self._send_all(wanted, group.together):
                return _FAILED
        return _OK

    async def _send_all(
        self,
        wanted: list[tuple[sheet_lib.RequestClass, str, float]],
        together: bool,
    ) -> bool:
        assert self.send_call is not None, "set when the node is built"
        if together:
            sent = [self.send_call(*one) for one in wanted]
            return all(await asyncio.gather(*sent))
        for one in wanted:
            if not await self.send_call(*one):
                return False
        return True

    def _work_s(self, usual_s: float) -> float:
        factor = self._rng.lognormvariate(-_SPREAD * _SPREAD / 2, _SPREAD)
        work_s = usual_s * factor / self._speed
        work_s *= self.pace()
        for trouble in self._struck("slow"):
            work_s *= trouble.x
        return work_s
