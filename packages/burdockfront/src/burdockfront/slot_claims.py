"""Verification of a backend server's claim of more slots.

The number of slots that a backend server announces first is accepted, as there
is no evidence against it. A later increase is verified. A server that announces
40 slots and has 4 queues the other requests internally, first come first
served, without regard to priority: browsing waits there ahead of confirmations,
and the deep calls of confirmations meanwhile hold the slots of every layer
above. Confirmations then fail although the guard sheds nothing. The server's
own shedding is no usable signal, because it begins only when its internal queue
is full.

More slots are therefore accepted in steps, each of them a trial. At full
utilization, requests take as long as before if the slots exist, and
proportionally longer if they do not. A step that lengthens requests by more
than half of that proportion is reverted, and the next trial is delayed. A
smaller claim is accepted at once. The internal queue can thus never hold more
than one step, and only during a trial.
"""

import dataclasses

_STEP_SHARE = 0.25
_SAMPLES = 100
_FIRST_PAUSE_S = 5.0
_MAX_PAUSE_S = 80.0


@dataclasses.dataclass(slots=True)
class _Sample:
    """Service times of requests that ended while all slots were in use.

    Attributes:
        skipped: Requests left out because they may have been handed over
            before the last step.
        count: Number of requests in the sample.
        total_s: Sum of their service times.
    """

    skipped: int = 0
    count: int = 0
    total_s: float = 0.0

    @property
    def mean_s(self) -> float:
        return self.total_s / max(1, self.count)


class SlotClaims:
    """Accepted number of slots of one backend server.

    Args:
        claimed: The first announced number of slots.

    Attributes:
        accepted: Number of slots that may be used, including those of a trial.
    """

    def __init__(self, claimed: int):
        assert claimed >= 1, claimed
        self._claimed = claimed
        self._verified = claimed
        self.accepted = claimed
        self._step = 0
        self._baseline_s: float | None = None
        self._sample = _Sample()
        self._pause_s = _FIRST_PAUSE_S
        self._trial_after_s = 0.0

    @property
    def claimed(self) -> int:
        """Number of slots in the last announcement."""
        return self._claimed

    def claim(self, claimed: int) -> None:
        """Updates the claimed slots; a smaller number is accepted at once."""
        self._claimed = claimed
        if claimed <= self._verified:
            self._verified = claimed
            self._end_trial()
        self._set_step(min(self._step, self._claimed - self._verified))

    def completed(self, service_s: float, in_use: int, now_s: float) -> None:
        """Records a request that ended.

        Args:
            service_s: Time that the request spent at the backend server; 0 if
                its caller left before it was handed over.
            in_use: Slots in use, including that of the request. Requests at
                less than full utilization are no evidence.
            now_s: The current time.
        """
        if self._claimed <= self._verified or in_use < self.accepted:
            return
        if service_s <= 0.0:
            return
        sample = self._sample
        if sample.skipped < self.accepted:
            # Handed over before the last step, under fewer slots.
            sample.skipped += 1
            return
        sample.count += 1
        sample.total_s += service_s
        if sample.count >= _SAMPLES:
            self._evaluate(now_s)

    def on_shed(self, now_s: float) -> None:
        """Records that the server refused a request, and ends a trial.

        The server has no further slots. Without this its quick refusals would
        count as short service times.
        """
        if self._step:
            self._fail_trial(now_s)
        self._sample = _Sample()

    def _evaluate(self, now_s: float) -> None:
        mean_s = self._sample.mean_s
        self._sample = _Sample()
        if self._step == 0 or self._baseline_s is None:
            self._baseline_s = mean_s
            if now_s >= self._trial_after_s:
                self._begin_trial()
            return
        growth_without_slots = self._step / self._verified
        if mean_s <= self._baseline_s * (1 + growth_without_slots / 2):
            self._verified += self._step
            self._baseline_s = mean_s
            self._pause_s = _FIRST_PAUSE_S
            self._begin_trial()
            return
        self._fail_trial(now_s)

    def _begin_trial(self) -> None:
        step = max(1, int(self._verified * _STEP_SHARE))
        self._set_step(min(step, self._claimed - self._verified))

    def _fail_trial(self, now_s: float) -> None:
        self._trial_after_s = now_s + self._pause_s
        self._pause_s = min(_MAX_PAUSE_S, self._pause_s * 2)
        self._end_trial()

    def _end_trial(self) -> None:
        self._set_step(0)
        self._sample = _Sample()

    def _set_step(self, step: int) -> None:
        self._step = step
        self.accepted = self._verified + step
