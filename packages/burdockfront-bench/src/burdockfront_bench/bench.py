"""All measurements: `make bench`.

Timing is judged as ratios within one run, never as absolute bounds: machines
are noisy and differ.
"""

import pathlib

import cyclopts
import uvloop

from burdockfront_bench import burst
from burdockfront_bench import callpath
from burdockfront_bench import exchange_scale
from burdockfront_bench import experiment
from burdockfront_bench import scale
from burdockfront_bench import slopes

app = cyclopts.App(help=__doc__)
_OUT = pathlib.Path("out")


@app.command(name="callpath")
def run_callpath(seconds: float = 15.0, seed: int = 1) -> None:
    """Measures what burdockfront adds to a call.

    Args:
        seconds: Length of each rate.
        seed: Seed of arrivals.
    """
    rows = uvloop.run(callpath.measure([60.0, 200.0, 400.0], seconds, seed))
    print(callpath.table(rows))


@app.command(name="all")
def run_all() -> None:
    """Runs the call path, all scenarios under all controls, and the scale."""
    run_callpath()
    experiment.main(out=_OUT)
    scale.main(out=_OUT)
    burst.main(out=_OUT)
    slopes.main()


app.command(experiment.main, name="scenarios")
app.command(scale.main, name="scale")
app.command(burst.main, name="burst")
app.command(slopes.main, name="slopes")
app.command(exchange_scale.main, name="exchange")

if __name__ == "__main__":
    app()
