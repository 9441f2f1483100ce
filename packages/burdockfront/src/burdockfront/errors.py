"""Exception hierarchy.

Every message states what was expected, what was received and what to do next,
because its reader usually does not know the code.
"""


class BurdockfrontError(Exception):
    """Base class of all errors raised by burdockfront."""


class InvalidInputError(BurdockfrontError):
    """External input does not have the documented form."""


class SettingsError(InvalidInputError):
    """A setting is missing, unknown or out of range."""


class PolicyError(InvalidInputError):
    """A policy document is not valid."""


class UnknownVariantError(InvalidInputError):
    """A registry has no variant of the given name."""

    def __init__(self, family: str, name: str, known: list[str]):
        super().__init__(
            f"unknown {family} {name!r}; expected one of "
            f"{', '.join(sorted(known))}. Correct the name, or register a "
            f"variant with @{family}.register({name!r})."
        )


class AuthenticationError(BurdockfrontError):
    """A key or signature is wrong."""


class ForgedContextError(AuthenticationError):
    """A request context does not carry a valid signature."""

    def __init__(self) -> None:
        super().__init__(
            "the request context is not signed by a node of this system; "
            "callers must not set Burdockfront-Context. Remove the header, "
            "or check that all nodes share the same peer keys."
        )


class TicketError(BurdockfrontError):
    """A ticket can't be used."""


class MalformedTicketError(TicketError):
    """A ticket was not issued by this system."""

    def __init__(self) -> None:
        super().__init__(
            "the Idempotency-Key is not a ticket of this system; take one "
            "with POST /tickets/SERVICE (or from the Burdockfront-Ticket "
            "header of an earlier answer) and use it for one confirmation."
        )


class RevisionConflictError(BurdockfrontError):
    """The document was changed since the expected revision."""

    def __init__(self, document: str, expected: int, found: int):
        super().__init__(
            f"{document} is at revision {found}, the command expected "
            f"{expected}: nothing was changed. Read both versions with "
            f"'show policy {document}', then repeat with "
            f"'if revision {found}'."
        )
        self.document = document
        self.expected = expected
        self.found = found


class PlatformError(BurdockfrontError):
    """A request to the platform's key-value service failed."""


class PlatformUnavailableError(PlatformError):
    """The platform's service did not answer, or must not be called now."""


class WriteUnsettledError(PlatformError):
    """It is not known whether a write took effect."""

    def __init__(self, write_id: str):
        super().__init__(
            f"write {write_id} got no answer and reading it back failed, so "
            f"it may or may not have taken effect. Run 'verify change "
            f"{write_id}' once the platform service answers; don't repeat "
            f"the command before that."
        )
        self.write_id = write_id


class LeaseLostError(BurdockfrontError):
    """The lease has expired, so its holder must not act any more."""


class DispatchError(BurdockfrontError):
    """A call ended without a valid answer."""
