"""Fair shares of client accounts at one node: answers, log and status.

See `burdockfront.fair_shares` for the decisions.
"""

import time
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

from prometheus_client import core

from burdockfront import context as context_lib
from burdockfront import fair_shares
from burdockfront import outcomes
from burdockfront import routes
from burdockfront import timeline

# Minimum time between two log lines about the named accounts.
_LOG_INTERVAL_S = 1.0


class AccountShares:
    """Connects the share meter of the guard with the reports from below.

    Args:
        resolver: The active route table, which has the accounts.
        tracker: Accounts above their share of the services called here.
        recorder: Records changes of the named accounts.
        may_name: Whether this guard may name accounts. Defaults to always.

    Attributes:
        meter: Finds the accounts above their share at this guard.
        tracker: Accounts above their share of the services called here.
    """

    def __init__(
        self,
        resolver: routes.RouteResolver,
        tracker: fair_shares.ShareTracker,
        recorder: timeline.Recorder,
        may_name: Callable[[], bool] = lambda: True,
    ):
        self.meter = fair_shares.ShareMeter(
            lambda: resolver.accounts.in_use and may_name()
        )
        self.tracker = tracker
        self._resolver = resolver
        self._recorder = recorder
        self._logged: frozenset[str] = frozenset()
        self._logged_s = 0.0
        none: dict[str, float] = {}
        self._merged_of = (none, none, none)

    def add_to(
        self, answer: outcomes.Answer, class_name: str, now_s: float
    ) -> None:
        """Sets the accounts above their share of the services of a class.

        Args:
            answer: The guard's answer.
            class_name: Class of the request.
            now_s: The current time.
        """
        named = self.meter.over_share
        age_s = 0.0
        below = self.tracker.over_share_below(class_name, now_s)
        if below is not None:
            ratios, at_s = below
            # The age of the report from below, so that it does not outlive its
            # lifetime by being passed on. This guard's own report has no age.
            age_s = now_s - at_s
            named = self._merged(named, ratios) if named else ratios
        if named:
            answer.over_share = named
            answer.over_share_age_s = age_s

    def _merged(
        self, own: dict[str, float], below: dict[str, float]
    ) -> dict[str, float]:
        """Returns the merged reports, which few answers change.

        Both reports are replaced, never modified, so they are compared by
        identity.
        """
        if self._merged_of[0] is not own or self._merged_of[1] is not below:
            merged = fair_shares.merged(own, below)
            self._merged_of = (own, below, merged)
        return self._merged_of[2]

    def log_change(self, now_s: float) -> None:
        """Records a change of the accounts that this guard names."""
        named = self.meter.over_share
        if named.keys() == self._logged:
            return
        if now_s - self._logged_s < _LOG_INTERVAL_S:
            return
        self._logged = frozenset(named)
        self._logged_s = now_s
        self._recorder.record(
            time.time(),
            "guard.shares",
            over_share=self.names_of(named),
        )

    def refusal_detail(
        self, context: context_lib.RequestContext, now_s: float
    ) -> dict[str, Any]:
        """Returns why a request of an account above its share was refused.

        Returns:
            The account's ratio and the services that name it, lowest first;
            empty if the request was sent under no ratio above 1.
        """
        tag, ratio = fair_shares.parse_mark(context.account_tag)
        if ratio <= 1.0:
            return {}
        short = [
            service
            for service, ratios in self.tracker.reports(now_s).items()
            if tag in ratios
        ]
        return {"over_share": ratio, "short_services": sorted(short)}

    async def status(self, message: dict[str, Any]) -> dict[str, Any]:
        """Returns the accounts named by this guard and those it heard of."""
        reports = self.tracker.reports(time.monotonic())
        return {
            "short": self.meter.active,
            "over_share": self.names_of(self.meter.over_share),
            "heard": {
                service: self.names_of(ratios)
                for service, ratios in reports.items()
            },
        }

    def metrics(self) -> Iterator[core.Metric]:
        """Yields the number of named accounts, and the largest ratio."""
        named = self.meter.over_share
        yield core.GaugeMetricFamily(
            "burdockfront_shares_named",
            "client accounts above their share of this node's service",
            value=len(named),
        )
        yield core.GaugeMetricFamily(
            "burdockfront_shares_largest_ratio",
            "largest demand of a client account relative to its share",
            value=max(named.values(), default=0.0),
        )
        yield core.CounterMetricFamily(
            "burdockfront_shares_applied",
            "new requests of client accounts above their share",
            value=self.tracker.applied,
        )

    def names_of(self, ratios: dict[str, float]) -> dict[str, float]:
        """Returns the ratios by account name, or by tag if it is unknown."""
        names = self._resolver.accounts.names_by_tag
        return {names.get(tag, tag): ratio for tag, ratio in ratios.items()}
