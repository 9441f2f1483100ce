"""How far a backend server's growing claim of slots is believed.

What a backend server announces first is taken at its word: nothing speaks
against it. A claim that grows later is another matter. A server that says 40
and has 4 queues the rest inside itself, first come first served, where no
priority reaches: browsing waits there before confirmations, and the deep
calls of confirmations hold the slots of every layer above meanwhile.
Symptom: confirmations fail though the guard sheds nothing. Its own shedding
tells nothing, because it begins only when that inner queue is full.

So more slots are believed in steps, and each step is a trial: requests at
full use take as long as before if the slots are there, and longer in
proportion if they are not. A step that made them take longer by more than
half of that proportion is taken back, and the next trial waits. A claim that
shrinks is believed at once. This is enough because the inner queue can then
never hold more than one step, and that only during a trial.
"""

import dataclasses

_STEP_SHARE = 0.25
_SAMPLES = 100
_FIRST_PAUSE_S = 5.0
_MAX_PAUSE_S = 80.0


@dataclasses.dataclass(slots=True)
class _Sample:
    """Times of requests that ended while all believed slots were in use."""

    skipped: int = 0
    count: int = 0
    total_s: float = 0.0

    @property
    def mean_s(self) -> float:
        return self.total_s / max(1, self.count)


class SlotClaims:
    """Slots of one backend server, as far as they are believed.

    Args:
        claimed: What it announced first.
    """

    def __init__(self, claimed: int):
        assert claimed >= 1, claimed
        self._claimed = claimed
        self._proven = claimed
        self._step = 0
        self._usual_s: float | None = None
        self._sample = _Sample()
        self._pause_s = _FIRST_PAUSE_S
        self._trial_after_s = 0.0

    @property
    def claimed(self) -> int:
        """Slots that it announced last."""
        return self._claimed

    @property
    def accepted(self) -> int:
        """Slots that may be used now, a trial's among them."""
        return self._proven + self._step

    def claim(self, claimed: int) -> None:
        """Takes what it announces now."""
        self._claimed = claimed
        if claimed <= self._proven:
            self._proven = claimed
            self._end_trial()
        self._step = min(self._step, self._claimed - self._proven)

    def completed(self, service_s: float, in_use: int, now_s: float) -> None:
        """Learns from a request that ended.

        Args:
            service_s: How long the backend server had it; 0 if its caller
                left before it was handed over.
            in_use: Slots in use, this one among them. Requests of a server
                that is not fully used prove nothing.
            now_s: The current time.
        """
        if self._claimed <= self._proven or in_use < self.accepted:
            return
        if service_s <= 0.0:
            return
        sample = self._sample
        if sample.skipped < self.accepted:
            # Handed over before the last step, so not under this number.
            sample.skipped += 1
            return
        sample.count += 1
        sample.total_s += service_s
        if sample.count >= _SAMPLES:
            self._judge(now_s)

    def on_shed(self, now_s: float) -> None:
        """Learns that the server refused work: more slots are not there.

        Without this its quick refusals would count as quick service.
        """
        if self._step:
            self._fail_trial(now_s)
        self._sample = _Sample()

    def _judge(self, now_s: float) -> None:
        mean_s = self._sample.mean_s
        self._sample = _Sample()
        if self._step == 0 or self._usual_s is None:
            self._usual_s = mean_s
            if now_s >= self._trial_after_s:
                self._begin_trial()
            return
        growth_without_slots = self._step / self._proven
        if mean_s <= self._usual_s * (1 + growth_without_slots / 2):
            self._proven += self._step
            self._usual_s = mean_s
            self._pause_s = _FIRST_PAUSE_S
            self._begin_trial()
            return
        self._fail_trial(now_s)

    def _begin_trial(self) -> None:
        wanted = max(1, int(self._proven * _STEP_SHARE))
        self._step = min(wanted, self._claimed - self._proven)

    def _fail_trial(self, now_s: float) -> None:
        self._trial_after_s = now_s + self._pause_s
        self._pause_s = min(_MAX_PAUSE_S, self._pause_s * 2)
        self._end_trial()

    def _end_trial(self) -> None:
        self._step = 0
        self._sample = _Sample()
