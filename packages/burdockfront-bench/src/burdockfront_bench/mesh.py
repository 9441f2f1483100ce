"""The Evening Class Enrolment Mesh, scaled to one machine.

The graph and the proportions are the brief's: four services of four upstreams
each, fees with a fifth of the others' slots. Slots are a tenth of the brief's
(40 to 4, 8 to 1), so that four upstreams of sleeping stand-ins saturate at a
few hundred requests per second. Confirmations pass three layers.
"""

from burdockfront_bench import cluster


def gandhinagar(upstreams: int = 4) -> list[cluster.Service]:
    """Returns the services, with `upstreams` backend servers each."""
    return [
        cluster.Service(
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
        cluster.Service(
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
        cluster.Service(
            "timetable",
            upstreams,
            4,
            {"GET /batches": {"work_s": 0.03, "calls": []}},
        ),
        cluster.Service(
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
