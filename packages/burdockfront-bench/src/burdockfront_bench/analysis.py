"""What a run means: goodput of whole requests, waste, recovery.

Definitions, the same for all controls:

* A whole request is good if it was answered `done` by a backend server
  without error, within the caller's deadline.
* Goodput share: good requests per second during the trigger, divided by
  those before it. Above 1 when capacity lets more through than the base load.
* Good share: good requests of those offered during the trigger. Without a
  surge it says more than the goodput share, whose base is a few seconds of
  random arrivals.
* Waste: slot-seconds spent on requests that were not good, as a share of all.
* Recovery: time from the end of the trigger to the first of four windows in
  a row (2 s) that are normal: at least 95% of arrivals are good, and p95 of
  good ones is at most 5% above the highest window before the trigger.
"""

import collections
import dataclasses
from typing import Any

from burdockfront_bench import callers
from burdockfront_bench import scenario as scenario_lib

_WINDOW_S = 0.5
_STEADY_WINDOWS = 4
_SKIP_S = 1.0
_GOOD_SHARE = 0.95
_SLACK = 1.05


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Figures of one run.

    Attributes:
        scenario: Its name.
        control: Which control was in force.
        offered_per_s: Arrivals during the trigger.
        goodput_share: See the module.
        good_share: See the module.
        confirm_offered_per_s: Confirmations offered during the trigger.
        confirm_good_share: Good ones of those offered.
        waste_share: See the module.
        recovery_s: See the module; None if not within the run.
        recovery_by_goodput_s: The same without the bound on p95.
        retries_per_request: Retries by burdockfront per whole request.
        most_starts: Most times that one request started at one service.
        doubled: Confirmations that a backend server ran more than once.
        unknown: Requests that ended `unknown`.
        mixed_up: Answers that were somebody else's.
        p50_ms: Of good requests during the trigger.
        p99_ms: Of good requests during the trigger.
    """

    scenario: str
    control: str
    offered_per_s: float
    goodput_share: float
    good_share: float
    confirm_offered_per_s: float
    confirm_good_share: float
    waste_share: float
    recovery_s: float | None
    recovery_by_goodput_s: float | None
    retries_per_request: float
    most_starts: int
    doubled: int
    unknown: int
    mixed_up: int
    p50_ms: float
    p99_ms: float


def good(result: callers.Result, deadline_s: float) -> bool:
    """Whether a whole request was of use to its caller."""
    return result.outcome == "done" and result.elapsed_s <= deadline_s


def summarize(
    scenario: scenario_lib.Scenario,
    control: str,
    results: list[callers.Result],
    ledgers: dict[str, list[dict[str, Any]]],
    retries: int,
    deadline_s: float,
) -> Summary:
    """Returns the figures of one run.

    Args:
        scenario: What was run.
        control: Which control was in force.
        results: One per whole request.
        ledgers: What backend servers counted, by service.
        retries: Retries that the routers made.
        deadline_s: Patience of callers.
    """
    begin_s = scenario.before_s
    end_s = begin_s + scenario.trigger_s
    before = [r for r in results if _SKIP_S <= r.at_s < begin_s]
    during = [r for r in results if begin_s <= r.at_s < end_s]
    good_before = sum(good(r, deadline_s) for r in before)
    base_per_s = good_before / (begin_s - _SKIP_S)
    good_during = [r for r in during if good(r, deadline_s)]
    confirms = [r for r in during if r.kind == "confirm"]
    times_ms = sorted(1000 * r.elapsed_s for r in good_during) or [0.0]
    good_ids = {r.request_id for r in results if good(r, deadline_s)}
    return Summary(
        scenario=scenario.name,
        control=control,
        offered_per_s=len(during) / scenario.trigger_s,
        goodput_share=len(good_during) / scenario.trigger_s / base_per_s,
        good_share=_share(len(good_during), len(during)),
        confirm_offered_per_s=len(confirms) / scenario.trigger_s,
        confirm_good_share=_share(
            sum(good(r, deadline_s) for r in confirms), len(confirms)
        ),
        waste_share=_waste(ledgers, good_ids),
        recovery_s=recovery_s(scenario, results, deadline_s),
        recovery_by_goodput_s=recovery_s(
            scenario, results, deadline_s, any_latency=True
        ),
        retries_per_request=_share(retries, len(results)),
        most_starts=_most_starts(ledgers),
        doubled=_doubled(ledgers),
        unknown=sum(r.outcome == "unknown" for r in results),
        mixed_up=sum(r.mixed_up for r in results),
        p50_ms=times_ms[len(times_ms) // 2],
        p99_ms=times_ms[int(len(times_ms) * 0.99)],
    )


def recovery_s(
    scenario: scenario_lib.Scenario,
    results: list[callers.Result],
    deadline_s: float,
    any_latency: bool = False,
) -> float | None:
    """Returns the recovery time, or None if not within the run."""
    begin_s = scenario.before_s
    end_s = begin_s + scenario.trigger_s
    last_s = end_s + scenario.after_s
    before = windows(results, _SKIP_S, begin_s, deadline_s)
    bound_s = max(w.p95_s for w in before) * _SLACK
    steady = 0
    for window in windows(results, end_s, last_s, deadline_s):
        fast = any_latency or window.p95_s <= bound_s
        normal = fast and window.good_share >= _GOOD_SHARE
        steady = steady + 1 if normal else 0
        if steady == _STEADY_WINDOWS:
            return window.begin_s - (_STEADY_WINDOWS - 1) * _WINDOW_S - end_s
    return None


def endings(
    scenario: scenario_lib.Scenario, results: list[callers.Result]
) -> list[str]:
    """Returns how requests ended that arrived during the trigger.

    One line per kind, outcome and reason, the most frequent first: what the
    shares of a summary are made of.
    """
    begin_s = scenario.before_s
    end_s = begin_s + scenario.trigger_s
    counted = collections.Counter(
        (r.kind, r.outcome, r.reason or "-")
        for r in results
        if begin_s <= r.at_s < end_s
    )
    return [
        f"{count:6d} {kind} {outcome} {reason}"
        for (kind, outcome, reason), count in counted.most_common()
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """Figures of half a second of arrivals."""

    begin_s: float
    offered: int
    good: int
    good_confirms: int
    confirms: int
    p95_s: float

    @property
    def good_share(self) -> float:
        """Share of arrivals that were good."""
        return _share(self.good, self.offered)


def windows(
    results: list[callers.Result],
    from_s: float,
    to_s: float,
    deadline_s: float,
) -> list[Window]:
    """Cuts a stretch of arrivals into windows."""
    found = []
    begin_s = from_s
    while begin_s + _WINDOW_S <= to_s + 1e-9:
        end_s = begin_s + _WINDOW_S
        inside = [r for r in results if begin_s <= r.at_s < end_s]
        kept = [r for r in inside if good(r, deadline_s)]
        confirms = [r for r in inside if r.kind == "confirm"]
        times_s = sorted(r.elapsed_s for r in kept)
        found.append(
            Window(
                begin_s,
                len(inside),
                len(kept),
                sum(good(r, deadline_s) for r in confirms),
                len(confirms),
                times_s[int(len(times_s) * 0.95)] if times_s else 9.9,
            )
        )
        begin_s = end_s
    return found


def table(summaries: list[Summary]) -> str:
    """Returns the figures as a Markdown table."""
    lines = [
        "| scenario | control | offered/s | goodput share | good share | "
        "confirms good | "
        "waste | recovery s | by goodput s | retries/req | most starts | "
        "doubled | unknown | p50 ms | p99 ms |",
        "|" + "---|" * 15,
    ]
    for s in summaries:
        recovery = _or_not_in_run(s.recovery_s)
        by_goodput = _or_not_in_run(s.recovery_by_goodput_s)
        lines.append(
            f"| {s.scenario} | {s.control} | {s.offered_per_s:.0f} | "
            f"{s.goodput_share:.2f} | {s.good_share:.3f} | "
            f"{s.confirm_good_share:.3f} | "
            f"{s.waste_share:.3f} | {recovery} | {by_goodput} | "
            f"{s.retries_per_request:.3f} | {s.most_starts} | {s.doubled} | "
            f"{s.unknown} | {s.p50_ms:.0f} | {s.p99_ms:.0f} |"
        )
    return "\n".join(lines)


def _or_not_in_run(value_s: float | None) -> str:
    return "not in run" if value_s is None else f"{value_s}"


def _waste(
    ledgers: dict[str, list[dict[str, Any]]], good_ids: set[str]
) -> float:
    total_s = 0.0
    wasted_s = 0.0
    for parts in ledgers.values():
        for ledger in parts:
            for request_id, (_, spent_s) in ledger["work"].items():
                total_s += spent_s
                if request_id not in good_ids:
                    wasted_s += spent_s
    return _share(wasted_s, total_s)


def _most_starts(ledgers: dict[str, list[dict[str, Any]]]) -> int:
    most = 0
    for parts in ledgers.values():
        starts: dict[str, float] = {}
        for ledger in parts:
            for request_id, (count, _) in ledger["work"].items():
                starts[request_id] = starts.get(request_id, 0) + count
        most = max(most, int(max(starts.values(), default=0)))
    return most


def _doubled(ledgers: dict[str, list[dict[str, Any]]]) -> int:
    runs: dict[str, int] = {}
    for parts in ledgers.values():
        for ledger in parts:
            for key, count in ledger["runs"].items():
                runs[key] = runs.get(key, 0) + count
    return sum(count > 1 for count in runs.values())


def _share(part: float, whole: float) -> float:
    return part / whole if whole else 0.0
