"""The example runs and gives the results that it documents."""

import pathlib
import runpy

_EXAMPLE = pathlib.Path(__file__).parents[2] / "examples" / "decisions.py"


def test_decisions_example():
    example = runpy.run_path(str(_EXAMPLE))
    order = example["admit_by_importance"]()
    assert order == ["a", "b", "confirm", "browse"]
    assert example["run_once"]() == ["run", "replay"]
    assert example["retry_within_allowance"]() == 2
