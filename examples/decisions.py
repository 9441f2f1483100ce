"""Uses the decision package in a program without a daemon.

A worker pool with two slots admits jobs by importance, runs each ticket at most
once, and limits the retries of a job over all its steps. Run it:

    python examples/decisions.py
"""

import time

from burdockfront import admission
from burdockfront import allowance
from burdockfront import context
from burdockfront import ledger
from burdockfront import limits
from burdockfront import outcomes
from burdockfront import policy
from burdockfront import tickets


def job_context(name: str, rank: int) -> context.RequestContext:
    """Returns the context of a job; rank 0 is the most important."""
    return context.RequestContext(
        request_id=name,
        attempt_id=name,
        class_name="job",
        rank=rank,
        ordinal=0,
        depth=0,
        remaining_s=5.0,
        allowance=2,
    )


def admit_by_importance() -> list[str]:
    """Returns the jobs in the order in which they got a slot."""
    now_s = time.monotonic()
    rules = policy.AdmissionPolicy(kind="level", queue_s=1.0, ramp_s=0.0)
    limit = limits.ConcurrencyLimit(slots=2, ramp_s=0.0, now_s=now_s)
    pool = admission.create(rules, limit, now_s)
    started: list[str] = []
    for name, rank in (("a", 1), ("b", 1), ("browse", 1), ("confirm", 0)):
        started += pool.offer(name, job_context(name, rank), now_s).started
    while pool.in_use:
        started += pool.release(0.1, now_s).started
    return started


def run_once() -> list[str]:
    """Returns the decisions of the ledger for two attempts of one ticket."""
    job_ledger = ledger.Ledger("me", "this-process")
    ticket = tickets.Ticket("t-1", "jobs", "me", "this-process", 1e12)
    decisions = [job_ledger.begin(ticket, time.time()).decision.value]
    job_ledger.hand_over(ticket.nonce)
    answer = outcomes.Answer(outcomes.Outcome.DONE, 200, body=b"seat 12")
    job_ledger.finish(ticket.nonce, answer)
    decisions.append(job_ledger.begin(ticket, time.time()).decision.value)
    return decisions


def retry_within_allowance() -> int:
    """Returns the number of retries that a job and its step have together."""
    job = allowance.AllowancePool(2)
    step = allowance.AllowancePool(job.lend("step"))
    retries = 0
    while step.use():
        retries += 1
    job.return_unused("step", step.units)
    while job.use():
        retries += 1
    return retries


def main() -> None:
    """Prints the results of the three examples."""
    print("slots went to:", ", ".join(admit_by_importance()))
    print("two attempts of one ticket:", ", ".join(run_once()))
    print("retries of a job and its step together:", retry_within_allowance())


if __name__ == "__main__":
    main()
