"""Grammar of the operators' language, with a data class per kind of command.

show members | show nodes | show policy SERVICE | show levels
show quarantine | show limits
show accounts | show shares | show servers SERVICE at NODE
why request ID | why class NAME at SERVICE | why node NAME
timeline [request ID] [node NAME] [dc NAME] [kind KIND] [last N]
history SERVICE
set policy SERVICE FIELD = VALUE [if revision N]
drain NODE | undrain NODE
release FINGERPRINT
verify change ID
"""

import dataclasses
from typing import Any

import lark

from burdockfront import errors

GRAMMAR = r"""
?start: show | why | timeline | history | set | drain | undrain | release
      | verify

show: "show" "members" -> show_members
    | "show" "nodes" -> show_nodes
    | "show" "levels" -> show_levels
    | "show" "quarantine" -> show_quarantine
    | "show" "limits" -> show_limits
    | "show" "accounts" -> show_accounts
    | "show" "servers" WORD "at" WORD -> show_servers
    | "show" "shares" -> show_shares
    | "show" "policy" WORD -> show_policy
why: "why" "request" WORD -> why_request
   | "why" "class" WORD "at" WORD -> why_class
   | "why" "node" WORD -> why_node
timeline: "timeline" filter*
filter: "request" WORD -> by_request
      | "node" WORD -> by_node
      | "dc" WORD -> by_data_center
      | "kind" WORD -> by_kind
      | "last" INT -> last
history: "history" WORD
set: "set" "policy" WORD WORD "=" value ["if" "revision" INT]
drain: "drain" WORD
undrain: "undrain" WORD
release: "release" FINGERPRINT
verify: "verify" "change" WORD

?value: NUMBER -> number
      | "true" -> true
      | "false" -> false
      | ESCAPED_STRING -> string
      | WORD -> word

FINGERPRINT: /[0-9a-f]{16}/
WORD: /[A-Za-z][A-Za-z0-9_.:-]*/
NUMBER: /-?[0-9]+(\.[0-9]+)?(?![A-Za-z0-9_.-])/
%import common.INT
%import common.ESCAPED_STRING
%import common.WS
%ignore WS
"""

_DISPLAY_NAMES = {
    "WORD": "a name",
    "FINGERPRINT": "a fingerprint of 16 hexadecimal digits",
    "INT": "a whole number",
    "NUMBER": "a number",
    "ESCAPED_STRING": 'a text in "quotes"',
    "EQUAL": "'='",
    "$END": "the end",
}


class LanguageError(errors.InvalidInputError):
    """A command can't be parsed; the message marks the offending word."""


@dataclasses.dataclass(frozen=True, slots=True)
class Show:
    """`show WHAT [NAME]`."""

    what: str
    name: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ShowServers:
    """`show servers SERVICE at NODE`."""

    service: str
    node: str


@dataclasses.dataclass(frozen=True, slots=True)
class Why:
    """`why KIND NAME [at SERVICE]`."""

    kind: str
    name: str
    service: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """`timeline FILTERS`."""

    request: str = ""
    node: str = ""
    data_center: str = ""
    kind: str = ""
    last: int = 200


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """`history SERVICE`."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetPolicy:
    """`set policy SERVICE FIELD = VALUE [if revision N]`."""

    service: str
    path: str
    value: Any
    revision: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """`drain NODE` or `undrain NODE`."""

    node: str
    draining: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """`release FINGERPRINT`."""

    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Verify:
    """`verify change ID`."""

    change_id: str


Command = (
    Show
    | ShowServers
    | Why
    | Timeline
    | History
    | SetPolicy
    | Drain
    | Release
    | Verify
)


class _ToCommand(lark.Transformer[lark.Token, Command]):
    """Transforms a parse tree into a command."""

    def show_members(self, _: Any) -> Show:
        return Show("members")

    def show_nodes(self, _: Any) -> Show:
        return Show("nodes")

    def show_levels(self, _: Any) -> Show:
        return Show("levels")

    def show_accounts(self, _: Any) -> Show:
        return Show("accounts")

    def show_shares(self, _: Any) -> Show:
        return Show("shares")

    def show_limits(self, _: Any) -> Show:
        return Show("limits")

    def show_quarantine(self, _: Any) -> Show:
        return Show("quarantine")

    def show_servers(self, items: Any) -> ShowServers:
        return ShowServers(str(items[0]), str(items[1]))

    def show_policy(self, items: Any) -> Show:
        return Show("policy", str(items[0]))

    def why_request(self, items: Any) -> Why:
        return Why("request", str(items[0]))

    def why_class(self, items: Any) -> Why:
        return Why("class", str(items[0]), str(items[1]))

    def why_node(self, items: Any) -> Why:
        return Why("node", str(items[0]))

    def by_request(self, items: Any) -> tuple[str, Any]:
        return "request", str(items[0])

    def by_node(self, items: Any) -> tuple[str, Any]:
        return "node", str(items[0])

    def by_data_center(self, items: Any) -> tuple[str, Any]:
        return "data_center", str(items[0])

    def by_kind(self, items: Any) -> tuple[str, Any]:
        return "kind", str(items[0])

    def last(self, items: Any) -> tuple[str, Any]:
        return "last", int(items[0])

    def timeline(self, items: Any) -> Timeline:
        return Timeline(**dict(items))

    def history(self, items: Any) -> History:
        return History(str(items[0]))

    def set(self, items: Any) -> SetPolicy:
        service, path, value, revision = items
        number = None if revision is None else int(revision)
        return SetPolicy(str(service), str(path), value, number)

    def drain(self, items: Any) -> Drain:
        return Drain(str(items[0]), True)

    def undrain(self, items: Any) -> Drain:
        return Drain(str(items[0]), False)

    def release(self, items: Any) -> Release:
        return Release(str(items[0]))

    def verify(self, items: Any) -> Verify:
        return Verify(str(items[0]))

    def number(self, items: Any) -> float | int:
        text = str(items[0])
        return float(text) if "." in text else int(text)

    def true(self, _: Any) -> bool:
        return True

    def false(self, _: Any) -> bool:
        return False

    def string(self, items: Any) -> str:
        return str(items[0])[1:-1]

    def word(self, items: Any) -> str:
        return str(items[0])


_PARSER = lark.Lark(GRAMMAR, parser="earley", maybe_placeholders=True)


def parse(text: str) -> Command:
    """Parses a command.

    Raises:
        LanguageError: The text is not a valid command; the message marks the
            offending word.
    """
    try:
        tree = _PARSER.parse(text)
    except lark.UnexpectedInput as error:
        raise LanguageError(_error_message(text, error)) from None
    command: Command = _ToCommand().transform(tree)
    return command


def _error_message(text: str, error: lark.UnexpectedInput) -> str:
    column = error.column if error.column and error.column > 0 else 0
    at_end = isinstance(error, lark.UnexpectedEOF) or column == 0
    offset = len(text) + 1 if at_end else column - 1
    return (
        f"{text}\n{' ' * offset}^ expected {_expected_tokens(error)}.\n"
        f"See 'burdockfront-ctl --help' for the language."
    )


def _expected_tokens(error: lark.UnexpectedInput) -> str:
    names: set[str] = set()
    for attribute in ("expected", "allowed"):
        found = getattr(error, attribute, None)
        if found:
            names |= {str(name) for name in found}
    words = {_display_name(name) for name in names if name != "WS"}
    return " or ".join(sorted(words)) or "another word"


def _display_name(name: str) -> str:
    return _DISPLAY_NAMES.get(name, f"'{name.lower()}'")
