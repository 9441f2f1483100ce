"""What a run of a site came to."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Tally:
    """What became of the requests of one kind."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What a run came to.

    Attributes:
        tallies: By kind of request.
        worth: Value of the answers, as a share of what all could have had.
        useful: Share of the used slot time that went into good answers.
        over_limit: Servers that got more than they had named.
        after_leaving: Requests for servers that had said that they leave.
        usage: Share of the slot time of each server that was used.
        far_calls: Calls to other data centres.
        accounts: By client account and kind of request.
    """

    tallies: dict[str, Tally]
    worth: float
    useful: float
    over_limit: int = 0
    after_leaving: int = 0
    usage: dict[str, float] = dataclasses.field(default_factory=dict)
    far_calls: int = 0
    accounts: dict[tuple[str, str], Tally] = dataclasses.field(
        default_factory=dict
    )
