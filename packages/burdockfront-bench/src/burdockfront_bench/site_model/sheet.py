"""What a site consists of, and what happens to it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Calls:
    """Calls that a request makes.

    Attributes:
        class_name: Of the calls.
        times: How many.
        together: All at once, not one after the other.
    """

    class_name: str
    times: int
    together: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RequestClass:
    """Requests of one kind.

    Attributes:
        name: Also the name of their route.
        service: Where they go.
        work_s: Slot time at a server of usual speed, before their calls.
        target_s: An answer within this time has its full value.
        deadline_s: How long their callers wait.
        rank: How much they matter; 0 most.
        worth: Value of an answer within the target.
        late_worth: Value of a later one, as a share.
        rate_per_s: How many callers send; 0: only servers do.
        confirms: They may run once at most.
        calls: What servers call for them.
    """

    name: str
    service: str
    work_s: float
    target_s: float
    deadline_s: float
    rank: int
    worth: float = 1.0
    late_worth: float = 0.3
    rate_per_s: float = 0.0
    confirms: bool = False
    calls: tuple[Calls, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Backend servers of one service, each beside a node.

    Attributes:
        name: Its name.
        servers: How many.
        slots: Requests that each works on at once.
        speeds: Of its servers, in turn; 1.0 is usual.
        knee: From this share of its slots on a server slows.
        knee_x: By this factor.
    """

    name: str
    servers: int
    slots: int
    speeds: tuple[float, ...] = (1.0,)
    knee: float = 1.0
    knee_x: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Trouble:
    """Something that lasts for a while.

    Attributes:
        kind: `burst` (of all callers), `slow`, `shed` (servers refuse a part
            of what they get), `lost` (nodes and servers are gone), `limit`
            (servers name on their answers how much they take), `leave` (they
            say there that they leave), `anew` (the processes of nodes are
            replaced, at the beginning), `hot` (a client account sends more),
            `spells` (of 0.6 s, in which servers are slow by the factor and
            their guards report it) or `waves` (demand swings by the part
            between data centres, every 15 s).
        at_s: From the start of traffic.
        for_s: How long.
        x: Factor, or the part that is refused, or requests a second.
        share: Of the servers that it strikes.
        service: Whose; empty: all.
        account: Which client account is hot.
    """

    kind: str
    at_s: float
    for_s: float
    x: float = 1.0
    share: float = 1.0
    service: str = ""
    account: str = ""

    def lasts(self, now_s: float) -> bool:
        """Whether it is on."""
        return self.at_s <= now_s < self.at_s + self.for_s


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account of callers.

    Attributes:
        name: Its name, which is also its key.
        weight: Part of the requests that belong to it, relative to the others.
    """

    name: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sheet:
    """A site.

    Attributes:
        services: Its services.
        classes: Kinds of requests.
        data_centers: Servers are spread over these in turn.
        accounts: Client accounts that requests belong to; none: no keys.
        near_s: One way within a data centre.
        far_s: One way to another one.
    """

    services: tuple[Service, ...]
    classes: tuple[RequestClass, ...]
    data_centers: tuple[str, ...] = ("dc1", "dc2")
    accounts: tuple[ClientAccount, ...] = ()
    near_s: float = 0.0001
    far_s: float = 0.001


def scarce() -> Sheet:
    """Returns a site whose deep service has four uneven servers.

    Its callers need three quarters of what these servers can do, and make four
    calls of them one after the other. It has a fifth of the size of a real one.
    """
    return Sheet(
        services=(
            Service("entry", 21, 20, (0.8, 1.0, 1.2)),
            Service("middle", 24, 20, (0.8, 1.0, 1.2)),
            Service("deep", 4, 17, (0.6, 1.0, 1.4), 0.95, 1.3),
        ),
        classes=(
            RequestClass(
                "order",
                "entry",
                0.01,
                0.6,
                1.2,
                1,
                rate_per_s=230.0,
                calls=(Calls("quote", 1),),
            ),
            RequestClass("look", "entry", 0.05, 0.3, 1.2, 2, rate_per_s=200.0),
            RequestClass(
                "quote", "middle", 0.02, 0.6, 1.2, 1, calls=(Calls("rule", 4),)
            ),
            RequestClass("rule", "deep", 0.05, 0.3, 1.0, 1),
        ),
        data_centers=("dc1", "dc2", "dc3"),
    )


def evening(size: int = 1) -> Sheet:
    """Returns a small evening of enrolments, whose fees service is short."""
    fee_calls = (Calls("fee-rule", 4),)
    roster = (Calls("roster", 1),)
    return Sheet(
        services=(
            Service("catalogue", 3 * size, 40, (0.6, 1.0, 1.4)),
            Service("enrolment", 4 * size, 30, (0.5, 1.0, 1.0, 1.5)),
            Service("timetable", 3 * size, 40, (0.7, 0.7, 1.6)),
            Service("fees", 4 * size, 8, (0.5, 1.0, 1.0, 1.5), 0.95, 1.3),
        ),
        classes=(
            RequestClass(
                "browse",
                "catalogue",
                0.09,
                1.2,
                5.0,
                2,
                rate_per_s=40.0 * size,
                calls=(Calls("ledger", 2, together=True),),
            ),
            RequestClass(
                "confirm",
                "enrolment",
                0.12,
                1.5,
                5.0,
                0,
                worth=3.0,
                late_worth=0.6,
                rate_per_s=60.0 * size,
                confirms=True,
                calls=roster,
            ),
            RequestClass(
                "timings", "timetable", 0.22, 0.6, 2.5, 2, rate_per_s=20 * size
            ),
            RequestClass(
                "schedule", "fees", 0.36, 1.0, 4.0, 2, rate_per_s=25.0 * size
            ),
            RequestClass(
                "ledger", "enrolment", 0.015, 1.0, 2.5, 1, calls=roster
            ),
            RequestClass(
                "roster", "timetable", 0.015, 0.8, 2.0, 1, calls=fee_calls
            ),
            RequestClass("fee-rule", "fees", 0.022, 0.3, 0.7, 1),
        ),
    )
