"""The call graphs of the brief, scaled to one machine.

The graphs and the proportions are the brief's. Slots are a tenth of the
brief's (40 to 4, 8 and 13 to 1), so that a few upstreams of sleeping stand-ins
saturate at a few hundred requests per second. Confirmations pass three layers
and end in the scarce service.
"""

import dataclasses
from collections.abc import Callable

from burdockfront import registry
from burdockfront_bench import callers
from burdockfront_bench import layouts

GRAPHS = registry.Registry("call graph")


@dataclasses.dataclass(frozen=True, slots=True)
class Graph:
    """A call graph and what its callers ask.

    Attributes:
        services: Its services.
        data_centers: Machines are spread over these in turn.
        mix: Kinds of requests; the one named `confirm` must not repeat.
    """

    services: list[layouts.Service]
    data_centers: list[str]
    mix: list[callers.Kind]


def graph(name: str) -> Graph:
    """Returns a graph by name.

    Raises:
        UnknownVariantError: No graph has this name.
    """
    make: Callable[[], Graph] = GRAPHS.get(name)
    return make()


@GRAPHS.register("gandhinagar")
def _gandhinagar() -> Graph:
    """Evening classes: browse the catalogue, confirm a seat."""
    return Graph(gandhinagar(), ["dc1"], gandhinagar_mix())


@GRAPHS.register("lima")
def _lima() -> Graph:
    """Catch quota: browse offers and landings, confirm a transfer."""
    mix = [
        callers.Kind("browse", "GET", "/market/offers", 0.55),
        callers.Kind("history", "GET", "/landings/history", 0.25),
        callers.Kind("confirm", "POST", "/transfers/confirm", 0.20),
    ]
    return Graph(lima(), ["dc1", "dc2", "dc3"], mix)


def gandhinagar_mix() -> list[callers.Kind]:
    """Returns what the learners of Gandhinagar ask."""
    return [
        callers.Kind("browse", "GET", "/catalogue/classes", 0.55),
        callers.Kind("overview", "GET", "/enrolment/overview", 0.30),
        callers.Kind("confirm", "POST", "/enrolment/confirm", 0.15),
    ]


def gandhinagar(upstreams: int = 4) -> list[layouts.Service]:
    """Returns the services, with `upstreams` backend servers each."""
    return [
        layouts.Service(
            "catalogue",
            upstreams,
            4,
            {
                "GET /classes": {
                    "work_s": 0.03,
                    "calls": ["GET timetable /batches"],
                },
                "GET /price": {"work_s": 0.01, "calls": []},
            },
        ),
        layouts.Service(
            "enrolment",
            upstreams,
            4,
            {
                "POST /confirm": {
                    "work_s": 0.02,
                    "calls": ["POST fees /charge"],
                },
                "GET /overview": {
                    "work_s": 0.02,
                    "calls": ["GET fees /schedule"],
                },
            },
        ),
        layouts.Service(
            "timetable",
            upstreams,
            4,
            {"GET /batches": {"work_s": 0.03, "calls": []}},
        ),
        layouts.Service(
            "fees",
            upstreams,
            1,
            {
                "POST /charge": {
                    "work_s": 0.01,
                    "calls": ["GET catalogue /price"],
                },
                "GET /schedule": {
                    "work_s": 0.01,
                    "calls": ["GET catalogue /price"],
                },
            },
            queue=4,
        ),
    ]


def lima(upstreams: int = 3) -> list[layouts.Service]:
    """Returns the services, with `upstreams` backend servers each."""
    return [
        layouts.Service(
            "market",
            upstreams,
            4,
            {
                "GET /offers": {
                    "work_s": 0.03,
                    "calls": ["GET limits /remaining"],
                },
            },
        ),
        layouts.Service(
            "transfers",
            upstreams,
            4,
            {
                "POST /confirm": {
                    "work_s": 0.02,
                    "calls": ["POST limits /debit"],
                },
            },
        ),
        layouts.Service(
            "limits",
            upstreams,
            4,
            {
                "GET /remaining": {"work_s": 0.02, "calls": []},
                "POST /debit": {
                    "work_s": 0.01,
                    "calls": ["GET landings /history"],
                },
            },
        ),
        layouts.Service(
            "landings",
            upstreams,
            1,
            {"GET /history": {"work_s": 0.015, "calls": []}},
            queue=4,
        ),
    ]
